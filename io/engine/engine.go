// Package engine sends work and orders to endpoints over HTTP: the OpenAI-compatible API of engines with
// dynamic LoRA loading, and the plain paths of services.
package engine

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"shallotgap/core/ident"
	"shallotgap/core/work"
	"shallotgap/core/world"
	"shallotgap/io/logs"
	"shallotgap/io/relay"
)

// FenceHeader carries the owner's fencing number to endpoints that check it.
const FenceHeader = "Shallotgap-Fence"

// RequestIDHeader names the request to the endpoint; engines that echo it put it in the id of their answers.
const RequestIDHeader = "X-Request-Id"

// KeyHeader names a request that must run at most once.
const KeyHeader = "Idempotency-Key"

// Bounds of an exchange with an endpoint.
const (
	maxAnswer    = 64 << 20 // bytes of an unstreamed answer
	maxEvent     = 1 << 20  // bytes of one streamed event
	orderTimeout = 30 * time.Second
	poolSize     = 256 // idle connections to one endpoint
)

// Client sends to endpoints.
type Client struct {
	logs.Common
	pooled *http.Client
}

// New returns a client.
func New(common logs.Common) *Client {
	t := &http.Transport{MaxIdleConnsPerHost: poolSize, DisableCompression: true}
	return &Client{Common: common, pooled: &http.Client{Transport: t, CheckRedirect: noRedirect}}
}

func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// now returns the clock reading that the decision core uses.
func (c *Client) now() ident.Time { return ident.Time(c.Since()) }

// Run sends a dispatched request and passes on its answer by emit. It returns once nothing of it runs on
// this host any more.
func (c *Client) Run(ctx context.Context, d world.Dispatch, call relay.Call, emit func(relay.Chunk)) world.Ended {
	ctx, cancel := context.WithTimeout(ctx, d.Request.TimeLeft)
	defer cancel()
	g := &guard{valid: func() bool { return c.now() < d.Until }}
	client, done := c.clientFor(d.Request, g)
	defer done()
	if !g.valid() {
		return failed(d, work.NotSent, work.NoLease, ErrLeaseExpired)
	}
	req, err := request(ctx, d, call)
	if err != nil {
		return failed(d, work.NotSent, work.EndpointFailed, err)
	}
	resp, err := client.Do(req)
	if err != nil {
		return failed(d, sentState(d.Request, g, err), reasonOf(err), err)
	}
	defer func() { _ = resp.Body.Close() }()
	p := &passer{dispatch: d, emit: emit}
	err = p.pass(resp, call.Stream)
	if errors.Is(err, errRejected) {
		return failed(d, work.NotSent, reasonOf(err), err)
	}
	if err != nil {
		return failed(d, work.Broken, reasonOf(err), err)
	}
	return world.Ended{ID: d.Request.ID, State: work.Answered, Answer: p.stored}
}

// clientFor returns the pooled client, or, for a request that must run at most once, a client with one fresh
// connection: net/http resends a request with an Idempotency-Key by itself when a reused connection breaks.
func (c *Client) clientFor(r work.Request, g *guard) (*http.Client, func()) {
	if !r.AtMostOnce() {
		return c.pooled, func() {}
	}
	t := &http.Transport{DialContext: g.dial, DisableKeepAlives: true, DisableCompression: true}
	return &http.Client{Transport: t, CheckRedirect: noRedirect}, t.CloseIdleConnections
}

// sentState tells whether a failed request may have reached the endpoint.
func sentState(r work.Request, g *guard, err error) work.EndState {
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

func reasonOf(err error) work.Reason {
	switch {
	case errors.Is(err, errWrongModel):
		return work.WrongModel
	case errors.Is(err, errCrossed):
		return work.WrongAnswer
	case errors.Is(err, ErrLeaseExpired):
		return work.NoLease
	case errors.Is(err, context.DeadlineExceeded):
		return work.Late
	}
	return work.EndpointFailed
}

func failed(d world.Dispatch, s work.EndState, r work.Reason, err error) world.Ended {
	step := &ident.StepError{Step: "dispatch", Peer: string(d.Endpoint.ID), Err: err}
	return world.Ended{ID: d.Request.ID, State: s, Reason: r, Detail: step.Error()}
}

func request(ctx context.Context, d world.Dispatch, call relay.Call) (*http.Request, error) {
	// The body has no GetBody, so that net/http cannot send it twice.
	body := io.NopCloser(bytes.NewReader(call.Body))
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
