package engine

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"sync/atomic"

	"shallotgap/core/world"
	"shallotgap/io/relay"
)

// errUsedForRefusal is the error of a request that was to go out on a connection that has carried a refusal. Nothing was sent.
var errUsedForRefusal = errors.New("the connection has carried a refusal")

// pooledConn is a connection that requests share one after the other. After a refusal it carries no further request: the endpoint may write
// the refusal once more, which would count as the answer to that request. The status is read here, since net/http gives the connection to
// the next request before it returns the response.
type pooledConn struct {
	*exchangeConn
	begun   atomic.Bool // a request has begun since the last read
	refused atomic.Bool
	unfit   atomic.Bool // the connection had carried a refusal when the current request began
	status  []byte      // the beginning of the response; only Read uses it
}

// statusClass is the position of the first digit of the status in a response, as in "HTTP/1.1 404".
const statusClass = len("HTTP/1.1 ")

// begin begins the next request on the connection.
func (c *pooledConn) begin(body *sentBody) {
	c.exchangeConn.begin(body)
	c.unfit.Store(c.refused.Load())
	c.begun.Store(true)
}

// Write sends p unless the connection has carried a refusal of an earlier request.
func (c *pooledConn) Write(p []byte) (int, error) {
	if c.unfit.Load() {
		return 0, errUsedForRefusal
	}
	return c.exchangeConn.Write(p)
}

// Read notes a refusal.
func (c *pooledConn) Read(p []byte) (int, error) {
	n, err := c.exchangeConn.Read(p)
	if c.begun.CompareAndSwap(true, false) {
		c.status = c.status[:0]
	}
	if missing := statusClass + 1 - len(c.status); missing > 0 {
		c.status = append(c.status, p[:min(n, missing)]...)
		if len(c.status) > statusClass && c.status[statusClass] == '4' {
			c.refused.Store(true)
		}
	}
	return n, err
}

func dialPooled(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &pooledConn{exchangeConn: newExchangeConn(conn)}, nil
}

// beginOn tells the connection that a request gets that the request begins.
func beginOn(conn net.Conn, body *sentBody) {
	if secure, ok := conn.(*tls.Conn); ok {
		conn = secure.NetConn()
	}
	switch c := conn.(type) {
	case *pooledConn:
		c.begin(body)
	case *guardedConn:
		c.begin(body)
	}
}

// send sends a request, on another connection if the first one has carried a refusal.
func send(ctx context.Context, client *http.Client, d world.Dispatch, call relay.Call) (*http.Response, error) {
	for {
		req, err := newRequest(ctx, d, call)
		if err != nil {
			return nil, errors.Join(errNoRequest, err)
		}
		resp, err := client.Do(req)
		if !errors.Is(err, errUsedForRefusal) || ctx.Err() != nil {
			return resp, err
		}
	}
}

// errNoRequest is wrapped by the error of a request that could not be built.
var errNoRequest = errors.New("the request can't be built")
