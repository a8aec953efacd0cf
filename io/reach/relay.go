package reach

import (
	"bytes"
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"time"

	"shallotgap/core/ident"
	"shallotgap/core/reach"
	"shallotgap/core/wire"
	"shallotgap/io/abort"
	"shallotgap/io/clock"
	"shallotgap/io/dial"
	"shallotgap/io/link"
)

// relayed is a request that a host sends to an endpoint for another host. It is sent to link.RelayPath as CBOR. The body of the response is the
// length of a relayHead in four bytes, the relayHead as CBOR, and the body of the endpoint's response.
type relayed struct {
	reach.Target
	ID      string        `json:"id,omitempty"`     // see dial.Request; hosts of earlier versions do not send it
	Method  string        `json:"method,omitempty"` // empty to check only whether the endpoint listens
	Path    string        `json:"path,omitempty"`   // path and query, unchanged from the caller's request line
	Host    string        `json:"host,omitempty"`
	Header  http.Header   `json:"header,omitempty"`
	Body    []byte        `json:"body,omitempty"`
	HasBody bool          `json:"has-body,omitempty"`
	MaxIdle time.Duration `json:"max-idle,omitempty"`
	Verify  bool          `json:"verify,omitempty"`
	// Others are further endpoints. If the endpoint refuses the connection, they show whether the relay has any path.
	Others []reach.Target `json:"others,omitempty"`
}

// relayResult is what became of a relayed request.
type relayResult string

// Results of relayed requests. Only after relayServed and relayLost may the endpoint have run the request.
const (
	relayServed    relayResult = "served"    // the endpoint has answered
	relayLost      relayResult = "lost"      // no complete answer came from the endpoint or the relay
	relayUnreached relayResult = "unreached" // the relay could not connect to the endpoint
	relayUnsent    relayResult = "unsent"    // the relay did not send the request, for a reason other than the path
	relayGone      relayResult = "gone"      // the endpoint's address refuses the relay's connection: nothing listens there
	relayHeld      relayResult = "held"      // the endpoint wants nothing from the relay now, or leaves
	relayRefused   relayResult = "refused"   // the relay sends nothing for other hosts now
	relayDown      relayResult = "down"      // the relay could not be reached
	relaySlow      relayResult = "slow"      // no connection to the relay opened in time, though it answered another request meanwhile
)

// relayHead is the beginning of the response to a relayed request.
type relayHead struct {
	Result relayResult `json:"result"`
	Cause  string      `json:"cause,omitempty"`
	// Leaving and Rest tell why the endpoint wants nothing.
	Leaving bool          `json:"leaving,omitempty"`
	Rest    time.Duration `json:"rest,omitempty"`
	Status  int           `json:"status,omitempty"`
	Header  http.Header   `json:"header,omitempty"`
	Length  int64         `json:"length"` // length of the endpoint's body, -1 if it is not known
}

// Limits of relayed requests.
const (
	maxRelayed      = 256      // requests that a host relays at a time
	maxRelayedBytes = 32 << 20 // size of the requests that a host relays at a time
	maxHeadBytes    = 1 << 20
	relayBuffer     = 16 << 10
)

// served counts what this host relays for other hosts.
type served struct {
	count, bytes atomic.Int64
	draining     atomic.Bool
}

// Drain stops relaying for other hosts; what runs is completed.
func (s *served) Drain() { s.draining.Store(true) }

// AwaitRelayed waits until nothing runs any more for other hosts, or until the context ends, and reports whether nothing does.
func (s *served) AwaitRelayed(ctx context.Context) bool {
	tick := time.NewTicker(relayedCheck)
	defer tick.Stop()
	for s.count.Load() > 0 {
		select {
		case <-ctx.Done():
			return false
		case <-tick.C:
		}
	}
	return true
}

// relayedCheck is the interval of looks at what runs for other hosts.
const relayedCheck = 10 * time.Millisecond

var (
	errRefused  = errors.New("the relay sends nothing for other hosts now")
	errBadReply = errors.New("the relay's reply cannot be read")
)

// sendThrough sends a request through a relay.
func (c *Client) sendThrough(ctx context.Context, r Request, via reach.Relay, others []reach.Target) (*dial.Response, relayResult, error) {
	m := relayed{Target: r.Target, Others: others}
	if r.Build != nil {
		b := r.Build()
		m.ID, m.Method, m.Path, m.Host, m.Header, m.Body, m.HasBody, m.MaxIdle, m.Verify = b.ID, b.Method, b.Target, b.Host, b.Header, b.Body, b.HasBody, b.MaxIdle, r.Verify
	}
	body, err := wire.Marshal(m)
	if err != nil {
		c.endRelay(via, false)
		return nil, relayRefused, &dial.Error{Step: "relay", Peer: string(via.Host), Err: err}
	}
	began := clock.Boot()
	resp, err := c.hosts.Do(ctx, dial.Request{
		Key: "relay/" + string(via.Host), Address: string(via.Host), Method: http.MethodPost, Target: link.RelayPath, Host: string(via.Host), Body: body, HasBody: true,
		MaxIdle: m.MaxIdle, OnEnd: func() { c.endRelay(via, false) },
	})
	var failed *dial.Error
	if errors.As(err, &failed) {
		result := c.failRelay(ctx, via, failed, began)
		if failed.Sent && m.Method != "" {
			return nil, relayLost, &dial.Error{Step: "relay", Peer: string(via.Host), Sent: true, Err: err}
		}
		return nil, result, &dial.Error{Step: "relay", Peer: string(via.Host), Err: err}
	}
	if resp.StatusCode != http.StatusOK {
		resp.Abort()
		c.endRelayFailed(via)
		return nil, relayRefused, &dial.Error{Step: "relay", Peer: string(via.Host), Err: fmt.Errorf("%w: HTTP status %d", errRefused, resp.StatusCode)} // a host of an earlier release
	}
	head, err := readHead(resp)
	if err == nil && head.Result == relayServed && m.Method != "" {
		err = dial.CheckHead(head.Status, head.Header) // a relay of an earlier release passes on any head
	}
	if err != nil {
		resp.Abort()
		c.endRelayFailed(via)
		return nil, relayLost, &dial.Error{Step: "relay", Peer: string(via.Host), Sent: m.Method != "", Err: err}
	}
	c.hearRelay(via)
	if head.Result == relayServed && m.Method != "" {
		resp.Replace(head.Status, head.Header, head.Length)
		return resp, relayServed, nil
	}
	_, _ = io.Copy(io.Discard, resp) // only the end of the body may follow; a failure closes the connection in Finish
	resp.Finish()
	return nil, head.Result, c.relayError(r.Target, via, head)
}

// relayError returns the error of a relayed request without an answer of the endpoint.
func (c *Client) relayError(t reach.Target, via reach.Relay, head relayHead) error {
	e := &dial.Error{Step: "relay", Peer: string(via.Host)}
	switch head.Result {
	case relayServed:
		return nil // the endpoint listens
	case relayGone:
		e.Step, e.Peer, e.Err = stepConnect, t.Address, fmt.Errorf("through %s: %w", via.Host, syscall.ECONNREFUSED)
	case relayUnreached:
		e.Step, e.Peer, e.Err = stepConnect, t.Address, fmt.Errorf("through %s: %s", via.Host, head.Cause)
	case relayUnsent:
		e.Err = errors.New(head.Cause)
	case relayHeld:
		e.Step, e.Peer, e.Err = stepGate, t.Address, &HeldError{Leaving: head.Leaving, Rest: head.Rest}
	case relayRefused:
		c.endRelayFailed(via)
		e.Err = errRefused
	default:
		e.Sent, e.Err = true, fmt.Errorf("%s: %s", head.Result, head.Cause)
	}
	return e
}

// failRelay records that a relay gave no response to a send begun at a time, unless the request itself ended.
func (c *Client) failRelay(ctx context.Context, via reach.Relay, err *dial.Error, began ident.Time) relayResult {
	var timeout net.Error
	switch {
	case err.Step != stepConnect:
		if ctx.Err() == nil {
			c.endRelayFailed(via)
		}
	case ctx.Err() == nil && errors.As(err.Err, &timeout) && timeout.Timeout():
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.relays.EndTimedOut(via.Host, began, clock.Boot()) {
			return relaySlow
		}
	default:
		c.endRelay(via, ctx.Err() == nil)
	}
	return relayDown
}

// hearRelay records that a relay answered.
func (c *Client) hearRelay(via reach.Relay) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.relays.Answered(via.Host, clock.Boot())
}

// endRelay ends the count of a send through a relay.
func (c *Client) endRelay(via reach.Relay, failed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.relays.End(via.Host, failed, clock.Boot())
}

// endRelayFailed records that a relay can't be used for a while; the count of its sends has ended.
func (c *Client) endRelayFailed(via reach.Relay) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.relays.Avoid(via.Host, clock.Boot())
}

// readHead reads the head of the response to a relayed request.
func readHead(resp *dial.Response) (relayHead, error) {
	var size [4]byte
	var head relayHead
	if _, err := io.ReadFull(resp, size[:]); err != nil {
		return head, fmt.Errorf("read reply: %w", err)
	}
	n := binary.BigEndian.Uint32(size[:])
	if n > maxHeadBytes {
		return head, errBadReply
	}
	if err := resp.Hold(int(n)); err != nil {
		return head, fmt.Errorf("read reply: %w", err)
	}
	data := make([]byte, n)
	if _, err := io.ReadFull(resp, data); err != nil {
		return head, fmt.Errorf("read reply: %w", err)
	}
	return head, wire.Unmarshal(data, &head)
}

// ServeHTTP sends a request of another host to an endpoint and passes the response on as it comes. It sends directly only, so that no
// request is relayed twice.
func (c *Client) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	size := max(r.ContentLength, 0)
	count, total := c.count.Add(1), c.served.bytes.Add(size)
	defer func() { c.count.Add(-1); c.served.bytes.Add(-size) }()
	if c.draining.Load() || count > maxRelayed || total > maxRelayedBytes {
		c.Meter.Count("shallotgap_relayed_for_others_total", "outcome", string(relayRefused))
		_ = writeHead(w, relayHead{Result: relayRefused}) // the sender has another relay if this one's answer is lost
		return
	}
	var m relayed
	data, err := io.ReadAll(io.LimitReader(r.Body, maxRelayedBytes))
	if err == nil {
		err = wire.Unmarshal(data, &m)
	}
	if err != nil {
		c.Log.WithField("step", "relay").WithField("peer", r.RemoteAddr).WithError(err).Warn("bad-message")
		http.Error(w, "bad message", http.StatusBadRequest)
		return
	}
	if m.Method == "" {
		c.checkFor(w, r, m)
		return
	}
	resp, err := c.direct(r.Context(), Request{Target: m.Target, Verify: m.Verify, Build: func() dial.Request {
		return dial.Request{ID: m.ID, Key: Key(m.Instance), Address: m.Address, Method: m.Method, Target: m.Path, Host: m.Host, Header: m.Header, Body: m.Body, HasBody: m.HasBody, MaxIdle: m.MaxIdle}
	}})
	if err != nil {
		head, held := heldResult(err)
		if !held {
			head = relayHead{Result: c.resultOf(r.Context(), m, err), Cause: err.Error()}
		}
		c.Meter.Count("shallotgap_relayed_for_others_total", "outcome", string(head.Result))
		_ = writeHead(w, head) // if the sender has left, nobody waits for it
		return
	}
	defer resp.Finish()
	c.Meter.Count("shallotgap_relayed_for_others_total", "outcome", string(relayServed))
	if err := writeHead(w, relayHead{Result: relayServed, Status: resp.StatusCode, Header: resp.Header, Length: resp.ContentLength}); err == nil {
		err = copyFlushed(w, resp)
	}
	if !resp.Complete() {
		resp.Abort()
		abort.Answer(w, r)
	}
}

// resultOf returns the result of a send that got no response.
func (c *Client) resultOf(ctx context.Context, m relayed, err error) relayResult {
	var failed *dial.Error
	switch {
	case errors.As(err, &failed) && failed.Sent:
		return relayLost
	case !isConnectError(err):
		return relayUnsent
	case errors.Is(err, syscall.ECONNREFUSED) && c.reachesOther(ctx, m.Target, m.Others):
		return relayGone
	}
	return relayUnreached
}

// checkFor tells another host whether an endpoint listens.
func (c *Client) checkFor(w http.ResponseWriter, r *http.Request, m relayed) {
	conn, err := c.dial.Connect(r.Context(), m.Address, checkTimeout)
	head := relayHead{Result: relayServed}
	if err != nil {
		err = &dial.Error{Step: stepConnect, Peer: m.Address, Err: err}
		head = relayHead{Result: c.resultOf(r.Context(), m, err), Cause: err.Error()}
	} else {
		_ = conn.Close()
	}
	_ = writeHead(w, head) // if the sender has left, nobody waits for it
}

// writeHead sends the beginning of the response to a relayed request.
func writeHead(w http.ResponseWriter, head relayHead) error {
	data, err := wire.Marshal(head)
	if err != nil {
		return err
	}
	var b bytes.Buffer
	_ = binary.Write(&b, binary.BigEndian, uint32(len(data))) // a bytes.Buffer takes all writes
	b.Write(data)
	if _, err := w.Write(b.Bytes()); err != nil {
		return fmt.Errorf("write reply: %w", err)
	}
	return flush(w)
}

func flush(w http.ResponseWriter) error {
	if err := http.NewResponseController(w).Flush(); err != nil {
		return fmt.Errorf("flush reply: %w", err)
	}
	return nil
}

// copyFlushed passes a body on as it comes.
func copyFlushed(w http.ResponseWriter, resp *dial.Response) error {
	buf := make([]byte, relayBuffer)
	for {
		n, err := resp.Read(buf)
		if n > 0 {
			if _, err := w.Write(buf[:n]); err != nil {
				return fmt.Errorf("pass on: %w", err)
			}
			if err := flush(w); err != nil {
				return err
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return fmt.Errorf("read response: %w", err)
		}
	}
}
