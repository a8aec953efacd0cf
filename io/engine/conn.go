package engine

import (
	"bytes"
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"shallotgap/core/lease"
	"shallotgap/io/dial"
)

// errCutRequest is the error of an answer without a length whose connection ended before all of the request was written.
var errCutRequest = errors.New("the connection ended before the request was written")

// exchangeConn is a connection on which an endpoint may answer before it has read the request. The kernel reports a reset once: if a write gets
// the error, reads return io.EOF, as if the endpoint had ended its answer. So a read that reaches the end waits until the request is written, or
// fails with the error of the write. A write that fails after bytes of the request went out returns once the connection is closed: a whole answer
// may have come, which net/http would give up for the error.
type exchangeConn struct {
	net.Conn
	mu      sync.Mutex // held while bytes are written
	changed *sync.Cond // after each write, and once the connection is closed
	body    *sentBody  // of the current request; nil before the first one
	wrote   bool       // bytes of the current request went out
	failed  error      // of a write
	closed  bool
}

func newExchangeConn(c net.Conn) *exchangeConn {
	e := &exchangeConn{Conn: c}
	e.changed = sync.NewCond(&e.mu)
	return e
}

// begin begins the next request on the connection.
func (c *exchangeConn) begin(body *sentBody) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.body, c.wrote = body, false
}

// Write sends p.
func (c *exchangeConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	defer c.changed.Broadcast()
	n, err := c.Conn.Write(p)
	c.wrote = c.wrote || n > 0
	if err == nil {
		return n, nil
	}
	c.failed = err
	c.changed.Broadcast()
	for c.wrote && !c.closed {
		c.changed.Wait()
	}
	return n, err
}

// Read receives bytes of the answer.
func (c *exchangeConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for c.failed == nil && !c.closed && c.body != nil && c.body.left.Load() > 0 {
		c.changed.Wait()
	}
	switch {
	case c.failed != nil:
		err = fmt.Errorf("%w: %w", errCutRequest, c.failed)
	case c.closed:
		err = errCutRequest
	}
	return n, err
}

// Close closes the connection.
func (c *exchangeConn) Close() error {
	err := c.Conn.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	c.changed.Broadcast()
	return err
}

// checkTimeout is how long a connection that only checks whether an endpoint listens may take: some round trips.
const checkTimeout = 150 * time.Millisecond

// errCrashed is the error of an answer that ended with its connection because the endpoint did.
var errCrashed = errors.New("the endpoint has ended")

// checkEnd returns an error if an answer that ended with its connection, without any other mark, broke off: the connections of a process that is
// killed end like those of a sound one, but nothing listens at its address then. An endpoint that leaves may end right after its last answer.
func checkEnd(ctx context.Context, e lease.Owned, resp *http.Response) error {
	if !dial.IsEndless(resp) || e.Leaving {
		return nil
	}
	u, err := url.Parse(e.URL)
	if err != nil {
		return err
	}
	d := net.Dialer{Timeout: checkTimeout}
	conn, err := d.DialContext(ctx, "tcp", net.JoinHostPort(u.Hostname(), cmp.Or(u.Port(), u.Scheme)))
	if errors.Is(err, syscall.ECONNREFUSED) {
		return fmt.Errorf("%w: %w", errCrashed, err)
	}
	if err == nil {
		_ = conn.Close() // it was opened to see whether it opens
	}
	return nil // without a path nothing is known
}

// sentBody is the body of a request, which is passed to the connection at its own pace.
type sentBody struct {
	io.Reader
	left atomic.Int64 // bytes that were not passed on yet
}

func newSentBody(data []byte) *sentBody {
	b := &sentBody{Reader: bytes.NewReader(data)}
	b.left.Store(int64(len(data)))
	return b
}

// Read passes bytes on.
func (b *sentBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	b.left.Add(-int64(n))
	return n, err
}

// Close implements io.Closer.
func (b *sentBody) Close() error { return nil }
