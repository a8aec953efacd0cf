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
	"shallotgap/io/host"
	"shallotgap/io/logs"
)

// Bounds of a drain.
const (
	markTimeout = 3 * time.Second
	lookEvery   = 50 * time.Millisecond
	// closeTimeout is the least time that running requests get when the drain took all of its own.
	closeTimeout = time.Second
)

// restartMark begins the edit ids of the stops that processes plan for themselves.
const restartMark = "restart/"

// drainer ends a host that is told to stop: the same drain as for a planned stop, bounded by a setting.
type drainer struct {
	logs.Common
	host   *host.Host
	server *http.Server
}

// run waits for the order to stop and carries it out; it returns when the process may end.
func (d *drainer) run(ctx context.Context) {
	select {
	case <-ctx.Done():
		_ = d.server.Close()
		return
	case <-d.host.Stop:
	}
	d.Log.WithField("timeout", d.host.Settings.DrainTimeout.String()).Info("draining")
	bounded, cancel := context.WithTimeout(ctx, d.host.Settings.DrainTimeout)
	defer cancel()
	if d.mark(bounded) {
		d.awaitSafe(bounded)
	}
	d.close(ctx, bounded)
}

// close ends the HTTP side once the running requests have ended, or when the time is over.
func (d *drainer) close(ctx, bounded context.Context) {
	if bounded.Err() != nil {
		late, cancel := context.WithTimeout(ctx, closeTimeout)
		defer cancel()
		bounded = late
	}
	err := d.server.Shutdown(bounded)
	if err != nil {
		_ = d.server.Close()
	}
	d.Log.WithField("whole", strconv.FormatBool(err == nil)).Info("drained")
}

// mark plans a stop of this host, unless there is one; false when it is refused or no majority answers.
func (d *drainer) mark(ctx context.Context) bool {
	if _, planned := d.stop(ctx); planned {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, markTimeout)
	defer cancel()
	id := ident.EditID(restartMark + string(d.host.Settings.Name) + "/" + strconv.FormatUint(uint64(d.host.Incarnation), 16))
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

// stop returns the stop that takes this host away, and whether there is one.
func (d *drainer) stop(ctx context.Context) (drain.Stop, bool) {
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

func (d *drainer) awaitSafe(ctx context.Context) {
	ticker := time.NewTicker(lookEvery)
	defer ticker.Stop()
	for {
		if s, _ := d.stop(ctx); s.Phase == drain.Safe {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// comeBack withdraws the stop that an earlier run of this host planned for itself.
func (d *drainer) comeBack(ctx context.Context) {
	ticker := time.NewTicker(lookEvery)
	defer ticker.Stop()
	for !d.back(ctx) {
		select {
		case <-ctx.Done():
			return
		case <-d.host.Stop:
			return
		case <-ticker.C:
		}
	}
}

// back reports whether no stop of an earlier run is left.
func (d *drainer) back(ctx context.Context) bool {
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
	if !strings.HasPrefix(string(old.Edit), restartMark) {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, markTimeout)
	defer cancel()
	m := drain.Mark{ID: "back/" + old.Edit, Target: drain.Host, Name: string(name), Withdraw: true}
	res, err := d.host.Propose(ctx, state.Command{Mark: &m})
	return err == nil && res.Mark != nil
}
