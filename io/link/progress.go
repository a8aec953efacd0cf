package link

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"shallotgap/core/ident"
	"shallotgap/io/clock"
)

// writePiece is the number of bytes that a connection writes under one deadline: at most a tenth of writeTimeout on the slowest links.
const writePiece = 16 << 10

// progressConn bounds the time without progress of a connection, not the time of a message: a large message may take many seconds
// on a slow link.
type progressConn struct {
	net.Conn
	readAt atomic.Int64 // time of the last read that returned bytes, as ident.Time
}

func newProgressConn(c net.Conn) *progressConn {
	p := &progressConn{Conn: c}
	p.touch()
	return p
}

// touch restarts the time without bytes from the peer.
func (c *progressConn) touch() { c.readAt.Store(int64(clock.Boot())) }

// silence returns how long no bytes have arrived.
func (c *progressConn) silence(now ident.Time) time.Duration {
	return time.Duration(int64(now) - c.readAt.Load())
}

// Read notes the arrival of bytes.
func (c *progressConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.touch()
	}
	return n, err
}

// Write fails once a piece of b can't be written within writeTimeout.
func (c *progressConn) Write(b []byte) (int, error) {
	written := 0
	for written < len(b) {
		if err := c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
			return written, err
		}
		n, err := c.Conn.Write(b[written:min(len(b), written+writePiece)])
		written += n
		if err != nil {
			return written, err
		}
	}
	return written, nil
}

// progressListener wraps accepted connections.
type progressListener struct{ net.Listener }

// Accept returns the next connection.
func (l progressListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return newProgressConn(c), nil
}

// acceptedKey is the key of an accepted connection in the context of its requests.
type acceptedKey struct{}

// withAccepted makes an accepted connection known to the handler of its requests.
func withAccepted(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, acceptedKey{}, c)
}
