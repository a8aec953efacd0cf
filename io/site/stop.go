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

// Times of stopping.
const (
	// callersGone is how long a host that stops still takes connections: most callers have asked for new addresses by
	// then, and the others find the port closed and go to another address.
	callersGone = addressLife + 1200*time.Millisecond
	// longUntil is how long a host that stops takes requests that may outlast its grace: the platform takes their end for the
	// stop's when they came within 3 s of the signal, and half a second is left for the way.
	longUntil = 2500 * time.Millisecond
	// endMargin is how long before the end of the grace the last answers are cut.
	endMargin = 400 * time.Millisecond
	// leaderGone is how long a control host that stops goes on answering while the others elect a leader.
	leaderGone = 1200 * time.Millisecond
)

// quiet drops what the standard library logs of broken connections; each request logs its own end.
var quiet = log.New(io.Discard, "", 0)

// drain ends what runs, within the grace.
func (h *host) drain(ctx context.Context) {
	begun := time.Now()
	h.Log.WithField("grace", h.Grace.String()).Info("stopping")
	if h.voter != nil {
		h.voter.Stop()
		pause(ctx, min(leaderGone, h.Grace/4))
	}
	if h.front == nil {
		return
	}
	now := clock.Boot()
	h.front.Drain(front.DrainDeadlines{AdmitLongUntil: now.Add(min(longUntil, h.Grace/2)), CloseAt: now.Add(h.Grace - endMargin)})
	pause(ctx, min(callersGone, h.Grace/2)-time.Since(begun))
	ctx, cancel := context.WithTimeout(ctx, h.Grace-endMargin-time.Since(begun))
	defer cancel()
	err := h.front.Server.Shutdown(ctx)
	h.Log.WithField("whole", err == nil).WithField("took", time.Since(begun).String()).Info("drained")
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// watch reads the settings again when it is told to, or when the file has changed.
func (h *host) watch(ctx context.Context, signals <-chan os.Signal) error {
	tick := time.NewTicker(reloadEvery)
	defer tick.Stop()
	changed := h.modified()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-signals:
		case <-tick.C:
			if now := h.modified(); now.Equal(changed) {
				continue
			}
		}
		changed = h.modified()
		h.reload()
	}
}

func (h *host) modified() time.Time {
	info, err := os.Stat(h.File)
	if err != nil {
		return time.Time{} // looked at again a second later
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
