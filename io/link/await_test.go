package link

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"

	"gotest.tools/v3/assert"

	"shallotgap/io/logs"
)

// pollCounter is a context that counts calls of Done and is cancelled after maxPolls of them, which ends a busy loop.
type pollCounter struct {
	context.Context
	end context.CancelFunc
	n   atomic.Int32
}

const maxPolls = 1000

func (p *pollCounter) Done() <-chan struct{} {
	if p.n.Add(1) == maxPolls {
		p.end()
	}
	return p.Context.Done()
}

// A closed connection stays registered until its reader removes it, which takes long while the handler blocks the reader.
// awaitLinkDown must block until then and not spin on the closed connection.
func TestAwaitLinkDownBlocks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		common, err := logs.New(t.Output(), "a", "error")
		assert.NilError(t, err)
		m := New(common, Config{Self: Hello{Host: "a"}, Handler: &counter{}})
		c := newConn(nil, nil)
		c.peer = Hello{Host: "b"}
		m.addConn(c)
		close(c.closed)
		base, end := context.WithCancel(t.Context())
		defer end()
		ctx := &pollCounter{Context: base, end: end}
		ended := false
		go func() {
			m.awaitLinkDown(ctx, "b")
			ended = true
		}()
		synctest.Wait() // until the goroutine blocks or has been cancelled
		assert.Assert(t, ctx.n.Load() < maxPolls, "awaitLinkDown called Done %d times", ctx.n.Load())
		assert.Assert(t, !ended)
		m.removeConn(c)
		synctest.Wait()
		assert.Assert(t, ended)
	})
}
