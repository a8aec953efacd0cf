// Package serve assembles one entry host: its HTTP server, its links to other hosts and its decision loop.
package serve

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"golang.org/x/sync/errgroup"

	"shallotgap/io/admin"
	"shallotgap/io/entry"
	"shallotgap/io/host"
	"shallotgap/io/logs"
)

// Limits on callers' connections.
const (
	headerTimeout = 5 * time.Second
	idleTimeout   = 2 * time.Minute
	maxHeader     = 64 << 10 // bytes
)

// Run serves until ctx is cancelled, which aborts running requests, until c.Stop is closed and the host has drained, or
// until a component fails.
func Run(ctx context.Context, common logs.Common, c host.Config) error {
	h, err := host.New(common, c)
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	callers := entry.New(common, h)
	callers.Register(mux)
	admin.New(common, h).Register(mux)
	server := &http.Server{Handler: &entry.Gate{Next: mux, Tokens: c.Settings.Tokens}, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeader}
	ctx, end := context.WithCancel(ctx)
	defer end()
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return h.Run(ctx) })
	group.Go(func() error {
		if err := server.Serve(c.Callers); err != nil && !errors.Is(err, http.ErrServerClosed) {
			return fmt.Errorf("serve callers: %w", err)
		}
		return nil
	})
	d := &drainer{Common: common, host: h, server: server, entry: callers}
	group.Go(func() error {
		d.run(ctx)
		// The decision loop ends last, because HTTP handlers wait for its replies.
		end()
		return nil
	})
	group.Go(func() error {
		d.withdrawOldStop(ctx)
		return nil
	})
	common.Log.WithField("listen", c.Callers.Addr().String()).Info("serving")
	return group.Wait()
}
