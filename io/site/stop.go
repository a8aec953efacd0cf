package site

import (
	"context"
	"io"
	"log"
	"os"
	"time"

	"shallotgap/core/grace"
	"shallotgap/io/clock"
)

// Periods of a host's stop, from the stop signal on.
const (
	// callerDrainTime is how long a stopping host still accepts connections. By then, most callers have fetched a new address
	// list; the others find the port closed and connect to another address.
	callerDrainTime = addressTTL + 1200*time.Millisecond
	// drainMargin is how long before the end of the grace period the remaining requests are ended, and exitMargin how long before it the
	// process ends, so that their answers still arrive.
	drainMargin = 400 * time.Millisecond
	exitMargin  = 150 * time.Millisecond
	// leaderHandoverTime is how long a stopping control host continues to serve while the others elect a leader.
	leaderHandoverTime = 1200 * time.Millisecond
)

// discardLog drops the HTTP server's log lines about broken connections, since each request logs its own end.
var discardLog = log.New(io.Discard, "", 0)

// drain gives up the leadership and finishes the running requests, all within the grace period.
func (h *host) drain(ctx context.Context) {
	start := time.Now()
	h.Log.WithField("grace", h.Grace.String()).Info("stopping")
	if h.front != nil {
		h.front.Drain(grace.Stop{CloseAt: clock.Boot().Add(h.Grace - drainMargin)})
	}
	if h.voter != nil {
		h.voter.Stop()
		sleep(ctx, min(leaderHandoverTime, h.Grace/4))
	}
	if h.front == nil || h.Callers == "" {
		return
	}
	sleep(ctx, min(callerDrainTime, h.Grace/2)-time.Since(start))
	ctx, cancel := context.WithTimeout(ctx, h.Grace-exitMargin-time.Since(start))
	defer cancel()
	err := h.front.Server.Shutdown(ctx)
	relayed := h.paths.AwaitRelayed(ctx)
	h.Log.WithField("whole", err == nil && relayed).WithField("took", time.Since(start).String()).Info("drained")
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// watchSettings reloads the settings after a signal or a change of the file.
func (h *host) watchSettings(ctx context.Context, signals <-chan os.Signal) error {
	tick := time.NewTicker(reloadPollInterval)
	defer tick.Stop()
	modTime := h.settingsModTime()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-signals:
		case <-tick.C:
			if latest := h.settingsModTime(); latest.Equal(modTime) {
				continue
			}
		}
		modTime = h.settingsModTime()
		h.reload()
	}
}

func (h *host) settingsModTime() time.Time {
	info, err := os.Stat(h.File)
	if err != nil {
		return time.Time{} // checked again after reloadPollInterval
	}
	return info.ModTime()
}

func (h *host) reload() {
	c, err := h.edge.Reload()
	if err != nil {
		h.Log.WithField("step", "reload").WithField("file", h.File).WithError(err).Error("settings-kept")
		return
	}
	if h.front != nil {
		h.front.Reseed(c.Seeds)
	}
	if h.voter != nil {
		h.voter.Reseed(c.Seeds)
	}
	h.Log.WithField("file", h.File).WithField("seeds", len(c.Seeds)).Info("reloaded")
}
