package link

import (
	"context"
	"net"
	"sync"
	"testing"

	"github.com/coder/websocket"
	"gotest.tools/v3/assert"

	"shallotgap/io/logs"
)

// Connections that come while a mesh stops must not start goroutines while it waits for them to end (the race detector finds it).
func TestConnectionsWhileMeshStops(t *testing.T) {
	common, err := logs.New(t.Output(), "a", "error")
	assert.NilError(t, err)
	for range 30 {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		m := New(common, Config{Self: Hello{Host: "a"}, Handler: &counter{}, Listener: l})
		ctx, cancel := context.WithCancel(t.Context())
		var dialling sync.WaitGroup
		for range 8 {
			dialling.Go(func() {
				for range 3 {
					if ws, _, err := websocket.Dial(ctx, "ws://"+l.Addr().String()+"/", nil); err == nil {
						_ = ws.CloseNow()
					}
				}
				cancel()
			})
		}
		err = m.Run(ctx)
		cancel()
		dialling.Wait()
		assert.NilError(t, err)
	}
}
