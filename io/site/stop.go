package site

import (
	"context"
	"io"
	"log"
	"os"
	"time"

	"shallotgap/io/clock"
	"shallotgap/io/front"
)

// Periods of a host's stop, from the stop signal on.
const (
	// callerDrainTime is how long a stopping host still accepts connections. By then, most callers have fetched a new address
	// list; the others find the port closed and connect to another address.
	callerDrainTime = addressTTL + 1200*time.Millisecond
	// longRequestWindow is how long a stopping host accepts requests that may outlast its grace period. The platform
	// attributes an aborted request to the stop if it arrived within 3 s of the signal; 0.5 s of that is left for network delay.
	longRequestWindow = 2500 * time.Millisecond
	// drainMargin is how long before the end of the grace period the remaining responses are aborted.
	drainMargin = 400 * time.Millisecond
	// leaderHandoverTime is how long a stopping control host continues to serve while the others elect a leader.
	leaderHandoverTime = 1200 * time.Millisecond
)

// discardLog drops the HTTP server's log lines about broken connections, since each request logs its own end.
var discardLog = log.New(io.Discard, "", 0)

// drain gives up the leadership and finishes the running requests, all within the grace period.
func (h *host) drain(ctx context.Context) {
	start := time.Now()
	h.Log.WithField("grace", h.Grace.String()).Info("stopping")
	if h.voter != nil {
		h.voter.Stop()
		sleep(ctx, min(leaderHandoverTime, h.Grace/4))
	}
	if h.front == nil || h.Callers == "" {
		return
	}
	now := clock.Boot()
	h.front.Drain(front.DrainDeadlines{AdmitLongUntil: now.Add(min(longRequestWindow, h.Grace/2)), CloseAt: now.Add(h.Grace - drainMargin)})
	sleep(ctx, min(callerDrainTime, h.Grace/2)-time.Since(start))
	ctx, cancel := context.WithTimeout(ctx, h.Grace-drainMargin-time.Since(start))
	defer cancel()
	err := h.front.Server.Shutdown(ctx)
	h.Log.WithField("whole", err == nil).WithField("took", time.Since(start).String()).Info("drained")
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
