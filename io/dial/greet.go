package dial

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"
)

// Greeting is a GET request that is sent first on a connection. Check returns an error if its response shows that the connection must
// not carry the request.
type Greeting struct {
	Target string
	Header http.Header
	Check  func(status int, body []byte) error
}

const (
	greetTimeout     = 400 * time.Millisecond // endpoints answer a greeting without a slot
	maxGreetingBytes = 1 << 20
)

var errNotKept = errors.New("the endpoint does not keep the connection after the greeting")

// acquireGreeted returns a connection that has carried the greeting of a request. Endpoints close some connections after a response, so
// it tries a second one then.
func (c *Client) acquireGreeted(ctx context.Context, r Request) (*conn, error) {
	for try := 1; ; try++ {
		cn, err := c.acquire(ctx, r)
		if err != nil {
			return nil, &Error{Step: "connect", Peer: r.Address, Err: err}
		}
		err = cn.greet(ctx, r)
		if err == nil {
			return cn, nil
		}
		_ = cn.Close()
		if try == 2 || !errors.Is(err, errNotKept) {
			return nil, &Error{Step: "greet", Peer: r.Address, Err: err}
		}
	}
}

// greet exchanges the greeting of a request, unless the connection has carried one. No byte of the request itself is sent before.
func (c *conn) greet(ctx context.Context, r Request) error {
	if r.Greeting == nil || c.greeted {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, greetTimeout)
	defer cancel()
	resp := &Response{conn: c, written: make(chan error, 1)}
	resp.stopWatch = context.AfterFunc(ctx, func() { _ = c.Close() })
	defer resp.stopWatch()
	if err := resp.exchange(Request{Method: http.MethodGet, Target: r.Greeting.Target, Host: r.Address, Header: r.Greeting.Header}); err != nil {
		return err
	}
	body, err := io.ReadAll(io.LimitReader(resp, maxGreetingBytes))
	switch {
	case err != nil:
		return fmt.Errorf("read greeting: %w", err)
	case !resp.complete || resp.Close || ctx.Err() != nil || c.reader.Buffered() > 0:
		return errNotKept
	}
	if err := r.Greeting.Check(resp.StatusCode, body); err != nil {
		return err
	}
	c.greeted = true
	return nil
}
