package site

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"
)

// A stopping host kept connections that were used lately open until its very last moment, so that the system killed its process at the end of the
// grace period. It closes them once it has ended all requests.
func TestFinishClosesConnectionsInTime(t *testing.T) {
	const answer = 50 * time.Millisecond
	cases := map[string]struct {
		linger, quiet, limit time.Duration
		whole                bool
		least, most          time.Duration
	}{
		"connections rest":           {linger: 200 * time.Millisecond, quiet: 5 * time.Second, limit: 10 * time.Second, whole: true, least: 200 * time.Millisecond, most: 3 * time.Second},
		"requests have been ended":   {linger: 10 * time.Second, quiet: 300 * time.Millisecond, limit: 10 * time.Second, whole: true, least: 300 * time.Millisecond, most: 3 * time.Second},
		"a request is not yet ended": {linger: 10 * time.Second, quiet: time.Millisecond, limit: 10 * time.Second, whole: true, least: time.Millisecond, most: 3 * time.Second},
		"the time is over":           {linger: 10 * time.Second, quiet: 0, limit: 0, least: 0, most: 3 * time.Second},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			ctx, end := context.WithCancel(context.Background())
			defer end()
			group, ctx := errgroup.WithContext(ctx)
			h := &host{group: group}
			l, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			assert.NilError(t, l.Close())
			began := make(chan struct{}, 1)
			s, err := h.serve(ctx, Listen(l.Addr().String()), http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
				began <- struct{}{}
				select {
				case <-r.Context().Done():
				case <-time.After(answer):
				}
			}))
			assert.NilError(t, err)
			answered := make(chan error, 1)
			go func() {
				resp, err := http.Get("http://" + l.Addr().String())
				if err == nil {
					_, err = io.Copy(io.Discard, resp.Body)
					_ = resp.Body.Close()
				}
				answered <- err
			}()
			<-began
			limit, stop := context.WithTimeout(ctx, c.limit)
			defer stop()
			quiet, cancel := context.WithTimeout(limit, c.quiet)
			defer cancel()
			start := time.Now()
			whole := s.finish(limit, quiet, c.linger)
			took := time.Since(start)
			assert.Equal(t, whole, c.whole)
			assert.Assert(t, took >= c.least && took < c.most, "took %v", took)
			if c.whole {
				assert.NilError(t, <-answered)
			}
		})
	}
}
