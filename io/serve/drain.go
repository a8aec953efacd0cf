package serve

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"

	"shallotgap/core/drain"
	"shallotgap/core/ident"
	"shallotgap/core/state"
	"shallotgap/core/world"
	"shallotgap/io/entry"
	"shallotgap/io/host"
	"shallotgap/io/logs"
)

// Timeouts and intervals of a drain.
const (
	proposeTimeout = 3 * time.Second
	pollInterval   = 50 * time.Millisecond
	// closeTimeout is how long running requests may take after the drain has used up its own timeout.
	closeTimeout = time.Second
	// answerTimeout is how long the answers to requests that were ended may take.
	answerTimeout = 300 * time.Millisecond
)

// restartPrefix is the prefix of the edit IDs of stops that a host plans for its own shutdown. It distinguishes these
// stops from those that operators plan.
const restartPrefix = "restart/"

// drainer shuts down a host after a stop signal: it drains the host as for a planned stop, within the configured drain
// timeout.
type drainer struct {
	logs.Common
	host   *host.Host
	server *http.Server
	entry  *entry.Server
}

// run waits until the Stop channel of the host is closed, drains the host and returns when the process may exit.
func (d *drainer) run(ctx context.Context) {
	select {
	case <-ctx.Done():
		_ = d.server.Close()
		return
	case <-d.host.Stop:
	}
	d.Log.WithField("timeout", d.host.Settings.DrainTimeout.String()).Info("draining")
	drainCtx, cancel := context.WithTimeout(ctx, d.host.Settings.DrainTimeout)
	defer cancel()
	if d.planStop(drainCtx) {
		d.awaitSafe(drainCtx)
	}
	d.close(ctx, drainCtx)
}

// close shuts down the HTTP server once the running requests have ended, or when drainCtx expires. If drainCtx has
// already expired, the running requests get closeTimeout.
func (d *drainer) close(ctx, drainCtx context.Context) {
	if drainCtx.Err() != nil {
		extended, cancel := context.WithTimeout(ctx, closeTimeout)
		defer cancel()
		drainCtx = extended
	}
	err := d.server.Shutdown(drainCtx)
	if err != nil {
		d.entry.EndRequests()
		answering, cancel := context.WithTimeout(ctx, answerTimeout)
		defer cancel()
		if d.server.Shutdown(answering) != nil {
			_ = d.server.Close()
		}
	}
	d.Log.WithField("whole", strconv.FormatBool(err == nil)).Info("drained")
}

// planStop plans a stop of this host, unless one is in progress. It returns false when the stop is rejected or no quorum
// answers.
func (d *drainer) planStop(ctx context.Context) bool {
	if _, planned := d.activeStop(ctx); planned {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	id := ident.EditID(restartPrefix + string(d.host.Settings.Name) + "/" + strconv.FormatUint(uint64(d.host.Incarnation), 16))
	res, err := d.host.Propose(ctx, state.Command{Mark: &drain.Mark{ID: id, Target: drain.Host, Name: string(d.host.Settings.Name)}})
	log := d.Log.WithField("step", "drain")
	switch {
	case err != nil:
		log.WithError(err).Warn("stop-unknown")
	case res.Mark == nil:
		log.WithField("cause", res.Err).Warn("stop-unknown")
	case !res.Mark.Accepted:
		log.WithField("cause", res.Mark.Reason).Warn("stop-refused")
	case res.Mark.Stop.Edit != id:
		log.WithField("cause", "a later stop is planned").Warn("stop-refused")
	default:
		return true
	}
	return false
}

// activeStop returns the stop in progress that covers this host, and whether there is one.
func (d *drainer) activeStop(ctx context.Context) (drain.Stop, bool) {
	var found drain.Stop
	ok := false
	_ = d.host.View(ctx, func(w *world.World) {
		for _, s := range w.State().Stops.List() {
			if s.CoversHost(d.host.Settings.Name) && s.Phase != drain.Planned {
				found, ok = s, true
			}
		}
	})
	return found, ok
}

// awaitSafe waits until the stop has reached the phase Safe, in which the host may end, or until ctx is cancelled.
func (d *drainer) awaitSafe(ctx context.Context) {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		if s, _ := d.activeStop(ctx); s.Phase == drain.Safe {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// withdrawOldStop withdraws the stop that an earlier run of this host planned for itself, and retries until it
// succeeds.
func (d *drainer) withdrawOldStop(ctx context.Context) {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for !d.tryWithdraw(ctx) {
		select {
		case <-ctx.Done():
			return
		case <-d.host.Stop:
			return
		case <-ticker.C:
		}
	}
}

// tryWithdraw makes one attempt to withdraw the stop of an earlier run, and reports whether no such stop is left.
func (d *drainer) tryWithdraw(ctx context.Context) bool {
	serving := false
	var old drain.Stop
	name := d.host.Settings.Name
	err := d.host.View(ctx, func(w *world.World) {
		serving = w.Serving()
		old, _ = w.State().Stops.Get(drain.IDOf(drain.Host, string(name)))
	})
	if err != nil || !serving {
		return false
	}
	if !strings.HasPrefix(string(old.Edit), restartPrefix) {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	m := drain.Mark{ID: "back/" + old.Edit, Target: drain.Host, Name: string(name), Withdraw: true}
	res, err := d.host.Propose(ctx, state.Command{Mark: &m})
	return err == nil && res.Mark != nil
}
