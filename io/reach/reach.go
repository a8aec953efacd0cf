// Package reach sends requests to endpoints by any path: directly or, if this host has lost the path to an endpoint, through another host
// that has one.
package reach

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"shallotgap/core/heed"
	"shallotgap/core/ident"
	"shallotgap/core/reach"
	"shallotgap/io/clock"
	"shallotgap/io/dial"
	"shallotgap/io/logs"
	"shallotgap/io/metric"
	"shallotgap/io/quota"
)

// ErrNoPath is the cause of a send that this host could not make while no other host could be asked whether it can.
var ErrNoPath = errors.New("no path to the endpoint")

var errTooLate = errors.New("the time to send it is over")

// Config holds the settings of a client.
type Config struct {
	// Open opens connections to endpoints, OpenHost those to other hosts; nil for TCP.
	Open, OpenHost dial.Opener
	// Greeting returns the request that verifies that an instance of an engine serves a connection; nil if there is none.
	Greeting func(ident.Instance) *dial.Greeting
	// Said decodes the endpoint state in a response; nil if responses carry none.
	Said  func(status int, h http.Header) heed.Said
	Meter *metric.Meter
	// Memory bounds the answers that are held at a time; nil for no bound.
	Memory *quota.Pool
}

// Lister returns the endpoints of a service that a host knows; those of all services for the empty name.
type Lister func(ident.Service) []reach.Target

// Timing of a client.
const (
	tickInterval = 100 * time.Millisecond
	// silenceLimit is how long a request may go unanswered, while nothing arrives from any endpoint, before its path is probed.
	silenceLimit = 300 * time.Millisecond
	// longSilence is how long a request may go without a byte of its endpoint, though others answer, before its path is probed. It is
	// longer than most pauses of a sound endpoint.
	longSilence = time.Second
	// relayListWait is how long a send waits for the first list of relays: some round trips to a control host.
	relayListWait = 150 * time.Millisecond
	// maxRelayTries is the number of relays that a send is tried through.
	maxRelayTries = 3
	// checkTimeout is how long a connection that only checks whether an endpoint listens may take: some round trips.
	checkTimeout = 150 * time.Millisecond
)

// Client sends requests to endpoints and keeps track of the paths of this host.
type Client struct {
	logs.Common
	Config
	dial  *dial.Client // connections to endpoints
	hosts *dial.Client // connections to relays
	heard atomic.Int64 // when a byte of any endpoint last arrived, as ident.Time
	served

	mu       sync.Mutex
	paths    *reach.Map
	relays   *reach.Relays
	gate     *heed.Gate
	onSaid   func(reach.Target, heed.Said)
	badFrom  map[ident.Instance]struct{} // endpoints whose values were logged as not understood
	faults   reach.Faults
	onFaults func()
	list     Lister
	leaves   func(ident.Instance) bool
	// lostSince is when the first of the lost paths was lost, listed is closed once the relays are known since.
	lostSince ident.Time
	listed    chan struct{}
	open      map[*openSend]struct{}
}

// openSend is a send to an endpoint without a complete answer yet.
type openSend struct {
	reach.Target
	heardAt atomic.Int64 // start, or the latest arrival of a byte, as ident.Time
}

// Request is a request to an endpoint.
type Request struct {
	reach.Target
	// Build returns the request as it is sent now, as its headers tell the time that is left.
	Build func() dial.Request
	// Verify asks for a greeting on a new connection.
	Verify bool
	// Until is the time after which the request must not be sent any more; 0 for none.
	Until ident.Time
	// Sender is the relay that must send it; empty for any host. Own is true if this host must send it itself.
	Sender ident.HostID
	Own    bool
}

// New returns a client that has lost no path.
func New(common logs.Common, c Config) *Client {
	r := &Client{Common: common, Config: c, paths: reach.New(), gate: heed.NewGate(), badFrom: map[ident.Instance]struct{}{}, relays: reach.NewRelays(), listed: make(chan struct{}), open: map[*openSend]struct{}{}}
	r.dial, r.hosts = dial.New(dial.Config{Open: c.Open, Memory: c.Memory}), dial.New(dial.Config{Open: c.OpenHost, Memory: c.Memory})
	return r
}

// Counts returns the number of connections opened and of idle connections reused, since the start.
func (c *Client) Counts() (opened, reused int64) { return c.dial.Counts() }

// Key returns the key of the pool of connections to an endpoint: one for each instance, since a restart may reuse the address.
func Key(i ident.Instance) string {
	return string(i.ID) + "/" + strconv.FormatUint(uint64(i.Born), 10)
}

// Do sends a request to an endpoint, directly or through another host, and returns once the response header has been read. An error says
// whether the endpoint may have run the request.
func (c *Client) Do(ctx context.Context, r Request) (*dial.Response, error) {
	if err := c.heldBack(r.Target, false); err != nil {
		return nil, err
	}
	switch {
	case r.Sender != "":
		return c.relayThrough(ctx, r)
	case r.Own:
		return c.direct(ctx, r)
	}
	c.mu.Lock()
	direct := c.paths.Direct(r.Target, c.relays.Len() > 0)
	c.mu.Unlock()
	cause := ErrNoPath
	if direct {
		resp, err := c.direct(ctx, r)
		if err == nil || !isConnectError(err) || ctx.Err() != nil {
			return resp, err
		}
		cause = err
	}
	return c.relay(ctx, r, cause)
}

// isConnectError reports whether no connection could be made.
func isConnectError(err error) bool {
	var failed *dial.Error
	return errors.As(err, &failed) && failed.Step == stepConnect
}

// Steps of an error of package dial.
const (
	stepConnect  = "connect"
	stepExchange = "exchange"
)

// direct sends a request over a connection of this host.
func (c *Client) direct(ctx context.Context, r Request) (*dial.Response, error) {
	if err := c.heldBack(r.Target, true); err != nil {
		return nil, err
	}
	resp, err := c.try(ctx, r, false)
	var failed *dial.Error
	if errors.As(err, &failed) && failed.Step == stepExchange && !failed.Sent && ctx.Err() == nil {
		resp, err = c.try(ctx, r, true) // a kept connection had broken
	}
	switch {
	case err == nil:
		c.succeed(r.Target)
		c.note(r.Target, resp.StatusCode, resp.Header, true)
	case errors.Is(ctx.Err(), context.DeadlineExceeded) && c.isQuiet(clock.Boot()):
		c.suspect(r.Target) // the time of a request may be shorter than that of a connection
	case ctx.Err() != nil:
	case isConnectError(err):
		c.fail(r.Target, err)
	default:
		c.suspect(r.Target)
	}
	return resp, err
}

// try sends a request once. fresh asks for a new connection.
func (c *Client) try(ctx context.Context, r Request, fresh bool) (*dial.Response, error) {
	request := r.Build()
	if fresh {
		request.MaxIdle = -1
	}
	if r.Verify && c.Greeting != nil {
		request.Greeting = c.Greeting(r.Instance)
	}
	s := c.begin(r.Target)
	request.OnRead, request.OnEnd = func() { c.hear(s) }, func() { c.end(s) }
	request.CheckEnd = func() error { return c.checkEnd(ctx, r.Target) }
	resp, err := c.dial.Do(ctx, request)
	if err != nil {
		c.end(s)
	}
	return resp, err
}

// errCrashed is the error of an answer that ended with its connection because the endpoint did.
var errCrashed = errors.New("the endpoint has ended")

// checkEnd returns an error if an answer that ended with its connection, without any other mark, broke off: the connections of a process that is
// killed end like those of a sound one, but nothing listens at its address then. An endpoint that leaves may end right after its last answer.
func (c *Client) checkEnd(ctx context.Context, t reach.Target) error {
	c.mu.Lock()
	leaves := c.leaves
	c.mu.Unlock()
	if leaves != nil && leaves(t.Instance) {
		return nil
	}
	if err := c.Check(ctx, t); errors.Is(err, syscall.ECONNREFUSED) {
		return fmt.Errorf("%w: %w", errCrashed, err)
	}
	return nil
}

// SetLeaves sets the function that reports whether an endpoint leaves as planned. It is called without a lock of the client.
func (c *Client) SetLeaves(f func(ident.Instance) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leaves = f
}

// Check finds out whether an endpoint listens: nil if it does, an error with syscall.ECONNREFUSED if it does not, and any other error if
// that is not clear. A refused connection counts only if no other host is accepted, and if this one is not cut off.
func (c *Client) Check(ctx context.Context, t reach.Target) error {
	conn, err := c.dial.Connect(ctx, t.Address, checkTimeout)
	if err == nil {
		_ = conn.Close()
		c.succeed(t)
		return nil
	}
	if ctx.Err() != nil {
		return err
	}
	c.fail(t, err)
	_, err = c.relay(ctx, Request{Target: t}, &dial.Error{Step: stepConnect, Peer: t.Address, Err: err})
	return err
}

// relay sends a request through another host, after this one could not send it because of cause. Without a method it only checks whether
// the endpoint listens.
func (c *Client) relay(ctx context.Context, r Request, cause error) (*dial.Response, error) {
	c.awaitRelays(ctx)
	var others []reach.Target
	if errors.Is(cause, syscall.ECONNREFUSED) {
		others = c.others(r.Target)
	}
	var tried, slow []ident.HostID
	var held error // the endpoint wants nothing from a relay
	for range maxRelayTries {
		c.mu.Lock()
		via, found := c.relays.Take(r.Target, slices.Concat(tried, slow), clock.Boot())
		if !found { // a slow one again, rather than none
			via, found = c.relays.Take(r.Target, tried, clock.Boot())
		}
		c.mu.Unlock()
		if !found || ctx.Err() != nil {
			break
		}
		if r.Until != 0 && clock.Boot() > r.Until {
			c.endRelay(via, false)
			return nil, &dial.Error{Step: "relay", Peer: string(via.Host), Err: errTooLate}
		}
		resp, result, err := c.sendThrough(ctx, r, via, others)
		c.logRelayed(r.Target, via, result, err)
		if result == relaySlow && ctx.Err() == nil {
			slow = append(slow, via.Host)
			continue
		}
		tried = append(tried, via.Host)
		switch {
		case result == relayServed:
			if resp != nil {
				c.note(r.Target, resp.StatusCode, resp.Header, false)
			}
			c.mu.Lock()
			c.paths.Learn(r.Target, clock.Boot())
			c.mu.Unlock()
			return resp, err
		case result == relayLost, result == relayUnsent, ctx.Err() != nil:
			return resp, err
		case result == relayGone:
			c.gone(r.Target)
			return nil, err
		case result == relayUnreached:
			cause = err
		case result == relayHeld:
			held = err
		}
	}
	if held != nil {
		return nil, held
	}
	if len(tried)+len(slow) == 0 && errors.Is(cause, ErrNoPath) && r.Build != nil && !c.CutOff(r.Service) {
		// No other host reaches this endpoint either, so that it may not be a matter of the path.
		resp, err := c.direct(ctx, r)
		if err == nil || !isConnectError(err) || ctx.Err() != nil {
			return resp, err
		}
		cause = err
	}
	return nil, c.unreached(ctx, r.Target, cause)
}

// relayThrough sends a request through one relay only.
func (c *Client) relayThrough(ctx context.Context, r Request) (*dial.Response, error) {
	via := reach.Relay{Host: r.Sender}
	resp, result, err := c.sendThrough(ctx, r, via, nil)
	c.logRelayed(r.Target, via, result, err)
	return resp, err
}

// unreached returns the error of a send that neither this host nor a relay could make. It has the cause of a refused connection only if
// that is not because this host is cut off.
func (c *Client) unreached(ctx context.Context, t reach.Target, cause error) error {
	err := fmt.Errorf("%w: %v", ErrNoPath, cause)
	if errors.Is(cause, syscall.ECONNREFUSED) && c.reachesOther(ctx, t, nil) {
		err = fmt.Errorf("%w: %w", ErrNoPath, cause)
	}
	return &dial.Error{Step: stepConnect, Peer: t.Address, Err: err}
}

// others returns some endpoints to which this host has a path, as far as it knows.
func (c *Client) others(t reach.Target) []reach.Target {
	c.learnService(t.Service)
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.paths.Others(t)
}

// reachesOther reports whether this host can connect to another endpoint, of those that it knows or of the given ones, so that a refused
// connection shows that nothing listens at an address. If there is none, it is true unless the host counts as cut off.
func (c *Client) reachesOther(ctx context.Context, t reach.Target, more []reach.Target) bool {
	others := append(c.others(t), more...)
	if len(others) == 0 {
		return !c.CutOff(t.Service)
	}
	ctx, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	for _, o := range others {
		if c.dial.Probe(ctx, Key(o.Instance), o.Address) == nil {
			return true
		}
	}
	return false
}

// awaitRelays waits a moment for the list of relays after the first path was lost.
func (c *Client) awaitRelays(ctx context.Context) {
	c.mu.Lock()
	listed, left := c.listed, c.lostSince.Add(relayListWait).Sub(clock.Boot())
	c.mu.Unlock()
	timer := time.NewTimer(max(0, left))
	defer timer.Stop()
	select {
	case <-listed:
	case <-ctx.Done():
	case <-timer.C:
	}
}

func (c *Client) logRelayed(t reach.Target, via reach.Relay, result relayResult, err error) {
	c.Meter.Count("shallotgap_relayed_sends_total", "outcome", string(result))
	c.Log.WithField("step", "relay").WithField("endpoint", t.Instance.ID).WithField("service", t.Service).WithField("peer", via.Host).
		WithField("outcome", string(result)).WithField("cause", fmt.Sprint(err)).Info("path")
}
