package site

import (
	"context"
	"errors"
	"net/http"
	"syscall"
	"time"
)

// metricsRetry is the interval of tries to listen for readers of metrics: less than the usual interval of their reads.
const metricsRetry = 500 * time.Millisecond

// serveMetrics serves the metrics. A host without them still serves callers, so it does not end if the port is taken, as it may be for a moment
// by a connection of another process: it tries again until the port is free.
func (h *host) serveMetrics(ctx context.Context) error {
	if h.Metrics == "" {
		return nil
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		if err := h.meter.WriteText(w); err != nil {
			h.Log.WithField("step", "metrics").WithError(err).Warn("reader-left")
		}
	})
	_, err := h.serve(ctx, h.Metrics, mux)
	if !errors.Is(err, syscall.EADDRINUSE) {
		return err
	}
	h.Log.WithField("step", "metrics").WithField("address", string(h.Metrics)).WithError(err).Warn("port-taken")
	h.group.Go(func() error {
		tick := time.NewTicker(metricsRetry)
		defer tick.Stop()
		for errors.Is(err, syscall.EADDRINUSE) {
			select {
			case <-ctx.Done():
				return nil
			case <-tick.C:
			}
			_, err = h.serve(ctx, h.Metrics, mux)
		}
		return err
	})
	return nil
}
