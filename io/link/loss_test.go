package link

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"

	"gotest.tools/v3/assert"

	"shallotgap/io/logs"
)

// looks is a context that counts how often a wait looks at it, and ends after many.
type looks struct {
	context.Context
	end context.CancelFunc
	n   atomic.Int32
}

const manyLooks = 1000

func (l *looks) Done() <-chan struct{} {
	if l.n.Add(1) == manyLooks {
		l.end()
	}
	return l.Context.Done()
}

// A connection that was closed is still listed until its reader has noticed, which takes long when the reader's queue is
// full. Whoever waits for the loss of the link waits for that, without using the processor meanwhile.
func TestWaitForTheLossOfAClosedConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		common, err := logs.New(t.Output(), "a", "error")
		assert.NilError(t, err)
		m := New(common, Config{Self: Hello{Host: "a"}, Handler: &counter{}})
		c := newConn(nil)
		c.peer = Hello{Host: "b"}
		m.up(c)
		close(c.closed)
		base, end := context.WithCancel(t.Context())
		defer end()
		ctx := &looks{Context: base, end: end}
		ended := false
		go func() {
			m.awaitLoss(ctx, "b")
			ended = true
		}()
		synctest.Wait() // until it is blocked, or has ended after many looks
		assert.Assert(t, ctx.n.Load() < manyLooks, "the wait looked %d times", ctx.n.Load())
		assert.Assert(t, !ended)
		m.down(c)
		synctest.Wait()
		assert.Assert(t, ended)
	})
}
