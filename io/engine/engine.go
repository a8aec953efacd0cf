// Package engine sends requests and load orders to endpoints over HTTP: the OpenAI-compatible API of engines with
// dynamic LoRA loading, and the paths of plain services.
package engine

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"time"

	"shallotgap/core/ident"
	"shallotgap/core/limit"
	"shallotgap/core/work"
	"shallotgap/core/world"
	"shallotgap/io/logs"
	"shallotgap/io/quota"
	"shallotgap/io/relay"
)

// FenceHeader carries the owner's fencing token to endpoints that check it.
const FenceHeader = "Shallotgap-Fence"

// RequestIDHeader carries the request ID; engines that echo it put it into the id of their answers.
const RequestIDHeader = "X-Request-Id"

// KeyHeader carries the idempotency key of a request that must run at most once.
const KeyHeader = "Idempotency-Key"

// LimitHeader names, in an endpoint's answer, the requests a second that it takes from all hosts together.
const LimitHeader = "Shallotgap-Rate-Limit"

// Limits on an exchange with an endpoint.
const (
	maxAnswer    = 64 << 20 // bytes of an unstreamed answer
	maxEvent     = 1 << 20  // bytes of one streamed event
	orderTimeout = 30 * time.Second
	poolSize     = 256 // idle connections to one endpoint
)

// Config holds the settings of a client.
type Config struct {
	// Memory bounds the answers that are read at a time; nil for no bound.
	Memory *quota.Pool
}

// Client sends requests and load orders to endpoints.
type Client struct {
	logs.Common
	Config
	pooled *http.Client
}

// New returns a client without open connections.
func New(common logs.Common, c Config) *Client {
	t := &http.Transport{DialContext: dialPooled, MaxIdleConnsPerHost: poolSize, DisableCompression: true}
	return &Client{Common: common, Config: c, pooled: &http.Client{Transport: t, CheckRedirect: noRedirect}}
}

func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// now returns the current time on the clock of the decision core.
func (c *Client) now() ident.Time { return ident.Time(c.Since()) }

// Run sends a dispatched request and passes its answer to emit in chunks. When Run returns, this host sends and
// receives nothing more for the request.
func (c *Client) Run(ctx context.Context, d world.Dispatch, call relay.Call, emit func(relay.Chunk)) world.Ended {
	ctx, cancel := context.WithTimeout(ctx, d.Request.TimeLeft)
	defer cancel()
	g := &guard{valid: func() bool { return c.now() < d.Until }}
	client, release := c.clientFor(d.Request, g)
	defer release()
	if !g.valid() {
		return failure(d, work.NotSent, work.NoLease, ErrLeaseExpired)
	}
	resp, err := send(ctx, client, d, call)
	switch {
	case errors.Is(err, errNoRequest):
		return failure(d, work.NotSent, work.EndpointFailed, err)
	case err != nil:
		return failure(d, failedState(d.Request, g, err), failureReason(err), err)
	}
	defer func() { _ = resp.Body.Close() }()
	signal := limit.Read(resp.Header.Values(LimitHeader))
	reader := &answerReader{dispatch: d, emit: emit, lease: c.Memory.Open(cancel)}
	defer reader.lease.Close()
	ended := world.Ended{ID: d.Request.ID, State: work.Answered}
	if err = reader.read(ctx, resp, call.Stream); err != nil {
		state := work.Broken
		if errors.Is(err, errRejected) {
			state = work.NotSent
		}
		ended = failure(d, state, failureReason(err), err)
	} else {
		ended.Answer = reader.stored
	}
	ended.Limit = &signal
	return ended
}

// clientFor returns the pooled client or, for a request that must run at most once, a client that opens a new
// connection: net/http itself resends a request with an Idempotency-Key when a reused connection breaks. The returned
// function releases the client.
func (c *Client) clientFor(r work.Request, g *guard) (*http.Client, func()) {
	if !r.AtMostOnce() {
		return c.pooled, func() {}
	}
	t := &http.Transport{DialContext: g.dial, DisableKeepAlives: true, DisableCompression: true}
	return &http.Client{Transport: t, CheckRedirect: noRedirect}, t.CloseIdleConnections
}

// failedState returns NotSent if a failed request cannot have reached the endpoint, and Broken otherwise.
func failedState(r work.Request, g *guard, err error) work.EndState {
	if r.AtMostOnce() {
		if g.seal() {
			return work.NotSent
		}
		return work.Broken
	}
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return work.NotSent
	}
	return work.Broken
}

func failureReason(err error) work.Reason {
	switch {
	case errors.Is(err, errWrongModel):
		return work.WrongModel
	case errors.Is(err, errWrongRequest):
		return work.WrongAnswer
	case errors.Is(err, ErrLeaseExpired):
		return work.NoLease
	case errors.Is(err, context.DeadlineExceeded):
		return work.Late
	}
	return work.EndpointFailed
}

// failure returns the outcome of a request without a complete answer.
func failure(d world.Dispatch, s work.EndState, r work.Reason, err error) world.Ended {
	step := &ident.StepError{Step: "dispatch", Peer: string(d.Endpoint.ID), Err: err}
	return world.Ended{ID: d.Request.ID, State: s, Reason: r, Detail: step.Error()}
}

func newRequest(ctx context.Context, d world.Dispatch, call relay.Call) (*http.Request, error) {
	// Without GetBody, net/http cannot send the body twice.
	body := newSentBody(call.Body)
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { beginOn(info.Conn, body) }})
	req, err := http.NewRequestWithContext(ctx, call.Method, d.Endpoint.URL+call.Path, body)
	if err != nil {
		return nil, err
	}
	req.ContentLength = int64(len(call.Body))
	if call.ContentType != "" {
		req.Header.Set("Content-Type", call.ContentType)
	}
	req.Header.Set(FenceHeader, strconv.FormatUint(uint64(d.Endpoint.Fence), 10))
	req.Header.Set(RequestIDHeader, d.Request.ID.String())
	if d.Request.AtMostOnce() {
		req.Header.Set(KeyHeader, string(d.Request.Key))
	}
	return req, nil
}
