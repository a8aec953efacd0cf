package fleet

import (
	"net"
	"sync/atomic"
	"time"
)

// delayedConn imitates a slow link: it delays all writes by a fixed time and counts the written bytes.
type delayedConn struct {
	net.Conn
	delay       time.Duration
	bytesSent   *atomic.Int64 // nil if the bytes are not counted
	pending     chan delayedWrite
	writeFailed chan struct{} // closed after a failed write
}

// delayedWrite is data that is written to the connection once it is due.
type delayedWrite struct {
	due  time.Time
	data []byte
}

// maxPendingWrites is the number of delayed writes after which Write blocks.
const maxPendingWrites = 4096

// newDelayedConn wraps a connection and starts the goroutine that performs its delayed writes.
func newDelayedConn(conn net.Conn, delay time.Duration, bytesSent *atomic.Int64) *delayedConn {
	delayed := &delayedConn{
		Conn: conn, delay: delay, bytesSent: bytesSent,
		pending: make(chan delayedWrite, maxPendingWrites), writeFailed: make(chan struct{}),
	}
	go delayed.writePending()
	return delayed
}

// writePending writes the pending data in order, each when it is due, until a write fails.
func (c *delayedConn) writePending() {
	defer close(c.writeFailed)
	for w := range c.pending {
		<-time.After(time.Until(w.due))
		if _, err := c.Conn.Write(w.data); err != nil {
			return
		}
	}
}

// Write copies the data and returns at once. An error of the connection is reported by a later Write.
func (c *delayedConn) Write(p []byte) (int, error) {
	if c.bytesSent != nil {
		c.bytesSent.Add(int64(len(p)))
	}
	select {
	case c.pending <- delayedWrite{due: time.Now().Add(c.delay), data: append([]byte(nil), p...)}:
		return len(p), nil
	case <-c.writeFailed:
		return 0, net.ErrClosed
	}
}
