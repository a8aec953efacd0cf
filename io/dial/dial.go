// Package dial sends requests to endpoints over kept connections, one request at a time on each.
//
// It is used in place of the standard library's transport because that sends a request again by itself when a kept
// connection breaks; here each send is the caller's decision, and an error tells whether any byte may have arrived.
package dial

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"shallotgap/core/ident"
	"shallotgap/io/clock"
)

// Bounds of connections.
const (
	connectTimeout = 400 * time.Millisecond // an endpoint that is up answers within a few round trips
	userTimeout    = 3 * time.Second        // bytes that stay unacknowledged for this long break the connection
	idleLife       = 4 * time.Second        // of a kept connection whose endpoint names no timeout
	idleMargin     = 500 * time.Millisecond // before the endpoint's own timeout
	maxIdle        = 32                     // kept connections to one endpoint
	bufferSize     = 4 << 10
	// inlineBody is the size up to which a body is written before the answer is read; longer ones are written meanwhile.
	inlineBody = 4 << 10
	sweepEvery = time.Second
)

// Request is one request to an endpoint.
type Request struct {
	// Key separates the connections of two instances at one address.
	Key     string
	Address string
	Method  string
	Target  string // path and query as the caller wrote them
	Host    string
	Header  http.Header
	Body    []byte
	// HasBody is set for requests that carry a length, even if it is 0.
	HasBody bool
	// MaxIdle bounds the time for which the connection may have been idle; 0 for any, negative for a fresh one.
	MaxIdle time.Duration
}

// Error tells at which step a request failed.
type Error struct {
	Step string
	Peer string
	// Sent is true when bytes of the request may have arrived, so that the endpoint may have run it.
	Sent bool
	Err  error
}

// Error returns "step peer: cause".
func (e *Error) Error() string { return fmt.Sprintf("%s %s: %v", e.Step, e.Peer, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Client keeps the connections.
type Client struct {
	mu             sync.Mutex
	idle           map[string][]*conn
	swept          ident.Time
	opened, reused int64
}

// New returns a client without connections.
func New() *Client { return &Client{idle: map[string][]*conn{}} }

// Counts returns the number of new connections and of requests on kept ones.
func (c *Client) Counts() (opened, reused int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.opened, c.reused
}

// conn is one connection.
type conn struct {
	net.Conn
	br     *bufio.Reader
	usedAt ident.Time
	life   time.Duration
}

// Response is the head of an answer whose body is still to be read.
type Response struct {
	*http.Response
	client *Client
	conn   *conn
	key    string
	stop   func() bool
	// written is closed when the whole request was written.
	written chan error
	whole   bool
	closed  bool
}

// Do sends a request and returns when the head of the answer is there. The context ends the exchange at any time,
// also while the body is read.
func (c *Client) Do(ctx context.Context, r Request) (*Response, error) {
	cn, err := c.take(ctx, r)
	if err != nil {
		return nil, &Error{Step: "connect", Peer: r.Address, Err: err}
	}
	a := &Response{client: c, conn: cn, key: r.Key, written: make(chan error, 1)}
	a.stop = context.AfterFunc(ctx, func() { _ = cn.Close() })
	if err := a.exchange(r); err != nil {
		sent := !errors.Is(err, errNothingSent)
		a.abort()
		if ctx.Err() != nil {
			err = context.Cause(ctx)
		}
		return nil, &Error{Step: "exchange", Peer: r.Address, Sent: sent, Err: err}
	}
	return a, nil
}

var errNothingSent = errors.New("no byte was sent")

// exchange writes the request and reads the head of the answer.
func (a *Response) exchange(r Request) error {
	data := head(r)
	if len(r.Body) <= inlineBody {
		data = append(data, r.Body...)
		n, err := a.conn.Write(data)
		if err != nil && n == 0 {
			return fmt.Errorf("%w: %w", errNothingSent, err)
		}
		if err != nil {
			return fmt.Errorf("write: %w", err)
		}
		a.written <- nil
	} else {
		go func() {
			_, err := (&net.Buffers{data, r.Body}).WriteTo(a.conn.Conn)
			a.written <- err
		}()
	}
	for {
		resp, err := http.ReadResponse(a.conn.br, &http.Request{Method: r.Method})
		if err != nil {
			return fmt.Errorf("read head: %w", err)
		}
		if resp.StatusCode >= 200 {
			a.Response = resp
			return nil
		}
	}
}

// head returns the request line and the headers.
func head(r Request) []byte {
	var b strings.Builder
	b.WriteString(r.Method + " " + r.Target + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	_ = r.Header.Write(&b) // a strings.Builder does not fail
	if r.HasBody {
		b.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	return []byte(b.String())
}

// Read reads the body; io.EOF means that all of it came.
func (a *Response) Read(p []byte) (int, error) {
	n, err := a.Body.Read(p)
	if errors.Is(err, io.EOF) {
		a.whole = true
	}
	return n, err
}

// Complete reports whether all of the body was read.
func (a *Response) Complete() bool { return a.whole }

// Finish gives the connection back if it can serve another request, and closes it otherwise. It may be called twice.
func (a *Response) Finish() {
	if a.closed {
		return
	}
	if !a.whole || a.Close || !a.stop() || !a.wrote() || a.conn.br.Buffered() > 0 {
		a.abort()
		return
	}
	a.closed = true
	a.conn.life = keepAlive(a.Header)
	a.client.keep(a.key, a.conn)
}

// wrote reports whether the request was written whole; an endpoint may answer before it has read all of it.
func (a *Response) wrote() bool {
	select {
	case err := <-a.written:
		return err == nil
	default:
		return false
	}
}

func (a *Response) abort() {
	a.closed = true
	a.stop()
	_ = a.conn.Close()
}

// Abort closes the connection, which tells the endpoint to stop working.
func (a *Response) Abort() {
	if !a.closed {
		a.abort()
	}
}

// keepAlive returns how long an idle connection may be used again.
func keepAlive(h http.Header) time.Duration {
	for _, part := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if n, err := strconv.Atoi(value); err == nil && strings.EqualFold(name, "timeout") {
			return max(0, time.Duration(n)*time.Second-idleMargin)
		}
	}
	return idleLife
}

func (c *Client) take(ctx context.Context, r Request) (*conn, error) {
	now := clock.Boot()
	for r.MaxIdle >= 0 {
		cn := c.pop(r.Key, now)
		if cn == nil {
			break
		}
		if r.MaxIdle > 0 && now.Sub(cn.usedAt) > r.MaxIdle || !cn.sound() {
			_ = cn.Close()
			continue
		}
		return cn, nil
	}
	d := net.Dialer{Timeout: connectTimeout, KeepAlive: userTimeout, Control: setUserTimeout}
	raw, err := d.DialContext(ctx, "tcp", r.Address)
	if err != nil {
		return nil, err
	}
	c.mu.Lock()
	c.opened++
	c.mu.Unlock()
	return &conn{Conn: raw, br: bufio.NewReaderSize(raw, bufferSize)}, nil
}

func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
	return errors.Join(err, failed)
}

// pop returns the connection that was used last; those that were idle for too long are closed.
func (c *Client) pop(key string, now ident.Time) *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sweep(now)
	list := c.idle[key]
	if len(list) == 0 {
		return nil
	}
	cn := list[len(list)-1]
	c.idle[key] = list[:len(list)-1]
	c.reused++
	return cn
}

func (c *Client) keep(key string, cn *conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	cn.usedAt = clock.Boot()
	if cn.life <= 0 || len(c.idle[key]) >= maxIdle {
		_ = cn.Close()
		return
	}
	c.idle[key] = append(c.idle[key], cn)
}

// sweep closes the connections whose time is over. The caller holds the lock.
func (c *Client) sweep(now ident.Time) {
	if now.Sub(c.swept) < sweepEvery {
		return
	}
	c.swept = now
	for key, list := range c.idle {
		kept := list[:0]
		for _, cn := range list {
			if now.Sub(cn.usedAt) < cn.life {
				kept = append(kept, cn)
			} else {
				_ = cn.Close()
			}
		}
		c.idle[key] = kept
		if len(kept) == 0 {
			delete(c.idle, key)
		}
	}
}

// sound reports whether a kept connection is open and nothing came on it since its last answer: an end, a reset or an
// answer that nobody asked for.
func (c *conn) sound() bool {
	if c.life <= clock.Boot().Sub(c.usedAt) {
		return false
	}
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, err := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = errors.Is(err, unix.EAGAIN)
		return true
	})
	return err == nil && quiet
}
