package site

import (
	"context"
	"errors"
	"io"
	"log"
	"os"
	"time"

	"golang.org/x/sync/errgroup"

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
	// callerLinger is how long a kept connection of a caller stays open after its last answer: callers that use it again mostly do so at once.
	callerLinger = time.Second
	// callFinishTime is how long the calls of operators and endpoints that a stopping host has read may take: longer than calls.Timeout.
	callFinishTime = time.Second
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
	group := errgroup.Group{}
	group.Go(func() error { return h.finishCalls(ctx, start) })
	if h.callers != nil {
		group.Go(func() error { return h.finishRequests(ctx, start) })
	}
	err := group.Wait()
	h.Log.WithField("whole", err == nil).WithField("took", time.Since(start).String()).Info("drained")
}

// errUnanswered is a stop that ended before all that the host had read was answered.
var errUnanswered = errors.New("requests were left without an answer")

// finishCalls answers the calls of operators and endpoints that the host has read, and takes no further ones.
func (h *host) finishCalls(ctx context.Context, start time.Time) error {
	ctx, cancel := context.WithTimeout(ctx, min(callFinishTime, h.Grace-exitMargin-time.Since(start)))
	defer cancel()
	whole := h.calls.finish(ctx, ctx, 0)
	if !h.directory.finish(ctx, ctx, 0) || !whole {
		return errUnanswered
	}
	return nil
}

// finishRequests answers the requests of callers, and those that it sends for other hosts, until the end of the grace period.
func (h *host) finishRequests(ctx context.Context, start time.Time) error {
	sleep(ctx, min(callerDrainTime, h.Grace/2)-time.Since(start))
	ctx, cancel := context.WithTimeout(ctx, h.Grace-exitMargin-time.Since(start))
	defer cancel()
	quiet, end := context.WithTimeout(ctx, h.Grace-drainMargin-time.Since(start))
	defer end()
	whole := h.callers.finish(ctx, quiet, callerLinger)
	if !h.paths.AwaitRelayed(ctx) || !whole {
		return errUnanswered
	}
	return nil
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
