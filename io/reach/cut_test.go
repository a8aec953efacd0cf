package reach

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"shallotgap/core/ident"
	"shallotgap/core/reach"
)

// cuttingProxy passes connections on to an address, but only the first bytes of what it answers, and returns its own address.
func cuttingProxy(t *testing.T, address string, limit func() int64) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				up, err := net.Dial("tcp", address)
				if err != nil {
					return
				}
				defer func() { _ = up.Close() }()
				go func() { _, _ = io.Copy(up, c) }()
				_, _ = io.Copy(c, io.LimitReader(up, limit()))
			}()
		}
	}()
	return l.Addr().String()
}

// A relay that stops anywhere in its reply, also in its own head, gives no answer that looks whole, and the endpoint may have run the request.
func TestRelayThatStopsInItsReply(t *testing.T) {
	for name, answer := range map[string]http.HandlerFunc{
		"an answer with a length": func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "6")
			_, _ = io.WriteString(w, "abcdef")
		},
		"a stream": func(w http.ResponseWriter, _ *http.Request) {
			for _, text := range []string{"abc", "def"} {
				_, _ = io.WriteString(w, text)
				_ = http.NewResponseController(w).Flush()
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			e := newEndpoint(t, "e1", answer)
			_, up := newClient(t, nil)
			var limit atomic.Int64 // the proxy reads it
			proxy := cuttingProxy(t, string(up.Host), limit.Load)
			wholes := 0
			for ; wholes == 0; limit.Add(1) {
				assert.Assert(t, limit.Load() < 4096, "no answer was whole")
				c, _ := newClient(t, refused) // a relay that failed is left out for a while
				c.SetRelays([]reach.Relay{{Host: ident.HostID(proxy)}})
				ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
				resp, err := c.Do(ctx, e.request("x"))
				if err == nil {
					body, readErr := io.ReadAll(resp)
					if readErr == nil && resp.Complete() {
						assert.Equal(t, string(body), "abcdef", "%d bytes of the reply", limit.Load())
						wholes++
					}
					resp.Abort()
				}
				cancel()
			}
		})
	}
}
