// Package dial is an HTTP/1.1 client for endpoints with a pool of keep-alive connections and no automatic retries.
//
// It replaces http.Transport, which resends a request by itself when a reused connection breaks. Here only the calling
// code resends, and an error says whether bytes of the request may have reached the endpoint.
package dial

import (
	"bufio"
	"bytes"
	"cmp"
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
	"shallotgap/io/quota"
)

// Timeouts and limits of connections.
const (
	connectTimeout = 400 * time.Millisecond // a reachable endpoint accepts within a few round trips
	// tcpUserTimeout is TCP_USER_TIMEOUT: data that is not acknowledged for so long breaks the connection. It also decides when keep-alive
	// probes give up, whatever their count, at the first probe that is due after it. So a silent peer is noticed after DeadPeerTimeout,
	// whether the connection is busy or idle, and one that is silent for a second or two is not taken for dead.
	tcpUserTimeout     = 3 * time.Second
	keepAliveIdle      = time.Second
	keepAliveInterval  = time.Second
	defaultIdleTimeout = 4 * time.Second        // used if the response has no Keep-Alive timeout
	idleMargin         = 500 * time.Millisecond // subtracted from the endpoint's Keep-Alive timeout
	maxIdlePerKey      = 32                     // idle connections per pool key
	bufferSize         = 4 << 10
	maxHeadBytes       = 256 << 10 // limit of a response's header, with all responses that announce another one
	// maxInlineBody is the largest body in bytes that is written before reading the response. Longer bodies are written
	// concurrently, because an endpoint may respond before it has read all of the body.
	maxInlineBody = 4 << 10
	sweepInterval = time.Second
)

// DeadPeerTimeout is the time after which a connection to a silent peer breaks.
const DeadPeerTimeout = max(tcpUserTimeout, keepAliveIdle+keepAliveInterval) + keepAliveInterval

// keepAliveProbes is the number of keep-alive probes on kernels that don't let tcpUserTimeout decide.
const keepAliveProbes = int((tcpUserTimeout - keepAliveIdle) / keepAliveInterval)

// Request is one request to an endpoint.
type Request struct {
	// ID is the id that the endpoint repeats in its answer. A connection that has carried a refusal of a request does not carry the request
	// again: the endpoint may write the refusal once more. Without an id a connection is not kept after any refusal.
	ID string
	// Key selects the pool of idle connections: one per endpoint instance, since a restart may reuse the address.
	Key     string
	Address string
	Method  string
	Target  string // path and query, unchanged from the caller's request line
	Host    string
	Header  http.Header
	Body    []byte
	// HasBody adds a Content-Length header, even for an empty body.
	HasBody bool
	// MaxIdle is the longest idle time of a reused connection: 0 means no limit, a negative value forces a new connection.
	MaxIdle time.Duration
	// ConnectWithin is how long opening a connection may take; 0 for connectTimeout.
	ConnectWithin time.Duration
	// Greeting is sent first on a connection that has carried none; nil for none.
	Greeting *Greeting
	// OnEnd is called once the connection is no longer in use by the request; nil for none.
	OnEnd func()
	// OnRead is called when bytes arrive; nil for none.
	OnRead func()
	// CheckEnd is called when a body has ended with its connection, without any other mark of its end. An error means that the endpoint did not end
	// it; nil for no check.
	CheckEnd func() error
}

// Error is a request that got no response.
type Error struct {
	Step string // phase of the failure: "connect", "exchange" or, while the body is read, "read"
	Peer string // address of the endpoint
	// Sent is true when bytes of the request may have arrived, so the endpoint may have run the request.
	Sent bool
	Err  error
}

// Error formats the error as "step peer: cause".
func (e *Error) Error() string { return fmt.Sprintf("%s %s: %v", e.Step, e.Peer, e.Err) }

// Unwrap returns the underlying error.
func (e *Error) Unwrap() error { return e.Err }

// Opener opens a connection to an endpoint.
type Opener func(ctx context.Context, network, address string) (net.Conn, error)

// Config holds the settings of a client.
type Config struct {
	// Open opens connections; nil for TCP with the timeouts of this package. It is a setting so that tests can cut paths.
	Open Opener
	// Memory bounds the answers that are held at a time, with those of other clients that share it; nil for no bound.
	Memory *quota.Pool
}

// Client sends requests and pools idle connections.
type Client struct {
	Config
	mu             sync.Mutex
	idle           map[string][]*conn
	sweptAt        ident.Time
	opened, reused int64
}

// New returns a client without open connections.
func New(c Config) *Client {
	if c.Open == nil {
		c.Open = openTCP
	}
	return &Client{Config: c, idle: map[string][]*conn{}}
}

// openTCP opens a connection that breaks when the peer acknowledges no data for tcpUserTimeout.
func openTCP(ctx context.Context, network, address string) (net.Conn, error) {
	d := net.Dialer{Control: setUserTimeout, KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveProbes}}
	return d.DialContext(ctx, network, address)
}

// Connect opens a connection to an endpoint, within a timeout.
func (c *Client) Connect(ctx context.Context, address string, timeout time.Duration) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return c.Open(ctx, "tcp", address)
}

// Counts returns the number of connections opened and of idle connections taken from the pool, since the start.
func (c *Client) Counts() (opened, reused int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.opened, c.reused
}

// conn is a connection to an endpoint, in use by one request or idle in the pool.
type conn struct {
	net.Conn
	reader      *bufio.Reader
	headLeft    int64 // bytes that the header may still take; 0 or more only while it is read
	head        headScanner
	lastUsed    ident.Time // when the connection was last put into the pool
	idleTimeout time.Duration
	greeted     bool     // a Greeting was answered as it should be
	refused     []string // ids of the requests that were refused on the connection
	onRead      func()   // of the request that uses the connection
	lease       *quota.Lease
}

// noHeadLimit is the value of conn.headLeft while no header is read.
const noHeadLimit = -1

var errHeadTooLong = errors.New("the response header is too long")

// Read reads from the connection; it fails once a header is malformed or exceeds maxHeadBytes, as bytes that are no answer may come without end.
func (c *conn) Read(p []byte) (int, error) {
	if c.headLeft == 0 {
		return 0, errHeadTooLong
	}
	if c.headLeft != noHeadLimit {
		p = p[:min(int64(len(p)), c.headLeft)]
	}
	n, err := c.Conn.Read(p)
	if c.headLeft != noHeadLimit {
		c.headLeft -= int64(n)
		if headErr := c.head.scan(p[:n]); headErr != nil {
			return 0, headErr
		}
		if holdErr := c.holdHead(); holdErr != nil {
			return 0, holdErr
		}
	}
	if n > 0 && c.onRead != nil {
		c.onRead()
	}
	return n, err
}

// Response is a response whose header has been read; the body is read from the connection with Read.
type Response struct {
	*http.Response
	client    *Client
	conn      *conn
	held      quota.Bytes // memory of the header
	key, id   string
	stopWatch func() bool // unregisters the function that closes the connection when the context ends
	// written receives the result of writing the request, once; writeErr is the result, if wasWritten.
	written    chan error
	wasWritten bool
	writeErr   error
	// endless is true for a body that ends with the connection, checkEnd is Request.CheckEnd until it has been called, and endErr what the end
	// lacks.
	endless  bool
	checkEnd func() error
	endErr   error
	complete bool
	closed   bool
	refusal  bool // the status on the wire is an error
	onEnd    func()
	// idle is how long the connection may stay idle once the response has been read.
	idle time.Duration
}

// Do sends a request and returns once the response header has been read. Cancelling the context closes the connection
// at any time, also while the body is being read.
func (c *Client) Do(ctx context.Context, r Request) (*Response, error) {
	cn, err := c.acquireGreeted(ctx, r)
	if err != nil {
		return nil, err
	}
	cn.onRead, cn.lease = r.OnRead, c.Memory.Open(func() { _ = cn.Close() })
	resp := &Response{client: c, conn: cn, key: r.Key, id: r.ID, written: make(chan error, 1), onEnd: r.OnEnd, checkEnd: r.CheckEnd}
	resp.stopWatch = context.AfterFunc(ctx, func() { _ = cn.Close() })
	if err := resp.exchange(r); err != nil {
		sent := !errors.Is(err, errNothingSent)
		resp.abort()
		switch {
		case ctx.Err() != nil:
			err = context.Cause(ctx)
		case cn.lease.Evicted():
			err = quota.ErrEvicted
		}
		return nil, &Error{Step: "exchange", Peer: r.Address, Sent: sent, Err: err}
	}
	return resp, nil
}

var errNothingSent = errors.New("no byte of the request was sent")

// exchange writes the request and reads the response header, skipping 1xx responses.
func (resp *Response) exchange(r Request) error {
	data := requestHead(r)
	if len(r.Body) <= maxInlineBody {
		data = append(data, r.Body...)
		n, err := resp.conn.Write(data)
		if err != nil && n == 0 {
			return fmt.Errorf("%w: %w", errNothingSent, err)
		}
		if err != nil {
			return fmt.Errorf("write: %w", err)
		}
		resp.written <- nil
	} else {
		go func() {
			_, err := (&net.Buffers{data, r.Body}).WriteTo(resp.conn.Conn)
			resp.written <- err
		}()
	}
	resp.conn.headLeft, resp.conn.head = maxHeadBytes, headScanner{}
	defer func() { resp.conn.headLeft = noHeadLimit }()
	for {
		httpResp, err := http.ReadResponse(resp.conn.reader, &http.Request{Method: r.Method})
		if err != nil {
			return fmt.Errorf("read response header: %w", err)
		}
		if isInterim(httpResp.StatusCode) {
			continue
		}
		if err := CheckHead(httpResp.StatusCode, httpResp.Header); err != nil {
			return fmt.Errorf("read response header: %w", err)
		}
		resp.held = resp.conn.headMemory()
		resp.Response, resp.idle, resp.refusal = httpResp, idleTimeout(httpResp.Header), httpResp.StatusCode >= http.StatusBadRequest
		resp.endless = IsEndless(httpResp)
		return nil
	}
}

// requestHead returns the encoded request line and header.
func requestHead(r Request) []byte {
	var b strings.Builder
	b.WriteString(r.Method + " " + r.Target + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	_ = r.Header.Write(&b) // writes to a strings.Builder never fail
	if r.HasBody {
		b.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	return []byte(b.String())
}

var errCutRequest = errors.New("the connection ended before the request was written")

// Read reads the body; io.EOF means that the complete body was received. A reset connection reads like one that has ended once a write to it
// has failed, so that a body without a length is complete only if the request was written.
func (resp *Response) Read(p []byte) (int, error) {
	n, err := resp.Body.Read(p)
	if errors.Is(err, io.EOF) && resp.endless {
		err = resp.verifyEnd()
	}
	switch {
	case errors.Is(err, io.EOF):
		resp.complete = true
	case err != nil && resp.conn.lease.Evicted():
		err = quota.ErrEvicted
	}
	return n, err
}

// verifyEnd returns io.EOF if the end of the connection is that of the body, and the reason otherwise.
func (resp *Response) verifyEnd() error {
	if err := resp.awaitWritten(); err != nil {
		return fmt.Errorf("%w: %w", errCutRequest, err)
	}
	if resp.checkEnd != nil {
		resp.endErr, resp.checkEnd = resp.checkEnd(), nil
	}
	return cmp.Or(resp.endErr, io.EOF)
}

// Unread has the next reads return bytes that were read before.
func (resp *Response) Unread(data []byte) {
	resp.Body = unreadBody{Reader: io.MultiReader(bytes.NewReader(data), resp.Body), Closer: resp.Body}
}

// unreadBody is a body with bytes put back before it.
type unreadBody struct {
	io.Reader
	io.Closer
}

// End returns what marks the end of the body on the connection over which it came: "length", "chunk" or, without any mark, "connection".
func (resp *Response) End() string {
	switch {
	case resp.endless:
		return "connection"
	case resp.ContentLength >= 0:
		return "length"
	}
	return "chunk"
}

// Complete reports whether the body was read up to io.EOF.
func (resp *Response) Complete() bool { return resp.complete }

// Finish returns the connection to the pool if it is reusable and closes it otherwise. Calling it again has no effect.
func (resp *Response) Finish() {
	if resp.closed {
		return
	}
	if !resp.complete || resp.Close || !resp.stopWatch() || !resp.requestWritten() || resp.conn.reader.Buffered() > 0 || !resp.noteRefusal() {
		resp.abort()
		return
	}
	resp.close()
	resp.conn.idleTimeout = resp.idle
	resp.client.putIdle(resp.key, resp.conn)
}

// maxRefused is the number of refused requests after which a connection is closed.
const maxRefused = 64

// noteRefusal remembers the request on the connection if the response is a refusal. It reports whether the connection can be kept.
func (resp *Response) noteRefusal() bool {
	if !resp.refusal {
		return true
	}
	resp.conn.refused = append(resp.conn.refused, resp.id)
	return resp.id != "" && len(resp.conn.refused) < maxRefused
}

// close marks the response as closed.
func (resp *Response) close() {
	resp.closed = true
	resp.conn.lease.Close()
	if resp.onEnd != nil {
		resp.onEnd()
		resp.onEnd = nil
	}
}

// Replace replaces the status, the header and the length of the response, for a response that is wrapped in the body of another one. What
// is left of the body is the body of the new one.
func (resp *Response) Replace(status int, h http.Header, length int64) {
	resp.Response = &http.Response{StatusCode: status, Header: h, ContentLength: length, Body: resp.Body, Close: resp.Close}
}

// requestWritten reports whether all of the request was written; an endpoint may respond before it has read the body.
func (resp *Response) requestWritten() bool {
	if !resp.wasWritten {
		select {
		case resp.writeErr = <-resp.written:
			resp.wasWritten = true
		default:
		}
	}
	return resp.wasWritten && resp.writeErr == nil
}

// awaitWritten waits until the request is written, or until the connection is closed, and returns the error of the write.
func (resp *Response) awaitWritten() error {
	if !resp.wasWritten {
		resp.writeErr, resp.wasWritten = <-resp.written, true
	}
	return resp.writeErr
}

// abort closes the connection and marks the response as closed.
func (resp *Response) abort() {
	resp.close()
	resp.stopWatch()
	_ = resp.conn.Close()
}

// Abort closes the connection, so that the endpoint stops processing the request.
func (resp *Response) Abort() {
	if !resp.closed {
		resp.abort()
	}
}

// maxIdleSeconds bounds what an endpoint can say of its idle timeout.
const maxIdleSeconds = 3600

// idleTimeout returns how long the connection may stay idle before it is no longer reused.
func idleTimeout(h http.Header) time.Duration {
	for _, part := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if n, err := strconv.Atoi(value); err == nil && strings.EqualFold(name, "timeout") {
			return max(0, time.Duration(max(0, min(n, maxIdleSeconds)))*time.Second-idleMargin)
		}
	}
	return defaultIdleTimeout
}

// setUserTimeout sets TCP_USER_TIMEOUT on a new connection.
func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var optErr error
	err := raw.Control(func(fd uintptr) {
		optErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(tcpUserTimeout.Milliseconds()))
	})
	return errors.Join(err, optErr)
}
