package dial_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"shallotgap/io/dial"
)

// A request failed for want of a new connection, though another request had given one back meanwhile.
func TestReturnedConnection(t *testing.T) {
	for name, c := range map[string]struct {
		maxIdle  time.Duration
		returned bool
		served   bool
	}{
		"a connection is given back":    {0, true, true},
		"the request wants a fresh one": {-1, true, false},
		"none is given back":            {0, false, false},
	} {
		t.Run(name, func(t *testing.T) {
			address, _ := serve(t, func(c net.Conn, _ *bufio.Reader, _ int32) { _, _ = io.WriteString(c, okResponse) })
			var opened atomic.Int32
			opening, fail := make(chan struct{}), make(chan struct{})
			client := dial.New(dial.Config{Open: func(ctx context.Context, network, address string) (net.Conn, error) {
				if opened.Add(1) == 1 {
					return (&net.Dialer{}).DialContext(ctx, network, address)
				}
				close(opening)
				<-fail
				return nil, context.DeadlineExceeded
			}})
			first, err := client.Do(t.Context(), request(address))
			assert.NilError(t, err)
			result := make(chan error)
			go func() {
				r := request(address)
				r.ID, r.MaxIdle = "second", c.maxIdle
				resp, err := client.Do(t.Context(), r)
				if err == nil {
					resp.Abort()
				}
				result <- err
			}()
			<-opening
			if c.returned {
				_, err = io.ReadAll(first)
				assert.NilError(t, err)
				first.Finish()
			} else {
				first.Abort()
			}
			close(fail)
			err = <-result
			assert.Equal(t, err == nil, c.served, "%v", err)
		})
	}
}
