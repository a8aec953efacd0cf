// Package serve assembles one entry host: its HTTP side, its links and its decision loop.
package serve

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"golang.org/x/sync/errgroup"

	"shallotgap/io/admin"
	"shallotgap/io/entry"
	"shallotgap/io/host"
	"shallotgap/io/logs"
)

// Bounds of callers' connections.
const (
	headerTimeout = 5 * time.Second
	idleTimeout   = 2 * time.Minute
	maxHeader     = 64 << 10 // bytes
	closeTimeout  = 10 * time.Second
)

// Run serves until the context ends or a part fails.
func Run(ctx context.Context, common logs.Common, c host.Config) error {
	h, err := host.New(common, c)
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	entry.New(common, h).Register(mux)
	admin.New(common, h).Register(mux)
	server := &http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeader}
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return h.Run(ctx) })
	group.Go(func() error {
		if err := server.Serve(c.Callers); err != nil && ctx.Err() == nil {
			return fmt.Errorf("serve callers: %w", err)
		}
		return nil
	})
	group.Go(func() error {
		<-ctx.Done()
		closeCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), closeTimeout)
		defer cancel()
		if err := server.Shutdown(closeCtx); err != nil {
			return server.Close()
		}
		return nil
	})
	common.Log.WithField("listen", c.Callers.Addr().String()).Info("serving")
	return group.Wait()
}
