// Package engine sends work and orders to endpoints over HTTP: the OpenAI-compatible API of engines with
// dynamic LoRA loading, and the plain paths of services.
package engine

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"shallotgap/core/claim"
	"shallotgap/core/ident"
	"shallotgap/core/lease"
	"shallotgap/core/work"
	"shallotgap/core/world"
	"shallotgap/io/logs"
	"shallotgap/io/relay"
)

// FenceHeader carries the owner's fencing number to endpoints that check it.
const FenceHeader = "Shallotgap-Fence"

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
	ctx, cancel := context.WithTimeout(ctx, d.Request.Left)
	defer cancel()
	g := &guard{valid: func() bool { return c.now() < d.Until }}
	client, done := c.clientFor(d.Request, g)
	defer done()
	if !g.valid() {
		return failed(d, work.NotSent, work.NoLease, ErrLapsed)
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
	if err := p.pass(resp, call.Stream); err != nil {
		return failed(d, work.Broken, reasonOf(err), err)
	}
	return world.Ended{ID: d.Request.ID, State: work.Answered, Answer: p.stored}
}

// clientFor returns the pooled client, or, for a request that must run at most once, a client with one fresh
// connection: net/http resends a request with an Idempotency-Key by itself when a reused connection breaks.
func (c *Client) clientFor(r work.Request, g *guard) (*http.Client, func()) {
	if !r.Once() {
		return c.pooled, func() {}
	}
	t := &http.Transport{DialContext: g.dial, DisableKeepAlives: true, DisableCompression: true}
	return &http.Client{Transport: t, CheckRedirect: noRedirect}, t.CloseIdleConnections
}

// sentState tells whether a failed request may have reached the endpoint.
func sentState(r work.Request, g *guard, err error) work.EndState {
	if r.Once() && !g.wrote.Load() {
		return work.NotSent
	}
	if !r.Once() && strings.Contains(err.Error(), "dial tcp") {
		return work.NotSent
	}
	return work.Broken
}

func reasonOf(err error) work.Reason {
	switch {
	case errors.Is(err, errWrongModel):
		return work.WrongModel
	case errors.Is(err, ErrLapsed):
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
	if d.Request.Once() {
		req.Header.Set(KeyHeader, string(d.Request.Key))
	}
	return req, nil
}

var (
	errWrongModel = errors.New("the answer names another model")
	errNoEnd      = errors.New("the stream ended without its end mark")
)

// passer passes one answer on.
type passer struct {
	dispatch world.Dispatch
	emit     func(relay.Chunk)
	seq      uint32
	stored   *claim.Answer
}

func (p *passer) pass(resp *http.Response, stream bool) error {
	if resp.StatusCode >= http.StatusInternalServerError {
		return fmt.Errorf("the endpoint answered %s", resp.Status)
	}
	isEvents := strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream")
	if stream && isEvents {
		return p.events(resp)
	}
	return p.whole(resp)
}

// whole reads an unstreamed answer to its end before it passes it on.
func (p *passer) whole(resp *http.Response) error {
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer+1))
	if err != nil {
		return err
	}
	if len(body) > maxAnswer {
		return errors.New("the answer is too long")
	}
	if resp.StatusCode == http.StatusOK {
		if err := p.checkModel(body); err != nil {
			return err
		}
	}
	kind := resp.Header.Get("Content-Type")
	if p.dispatch.Request.Once() && len(body) <= claim.MaxBody {
		p.stored = &claim.Answer{Status: resp.StatusCode, ContentType: kind, Body: body}
	}
	p.send(relay.Chunk{Status: resp.StatusCode, ContentType: kind, Data: body, End: true})
	return nil
}

// checkModel compares the model that an engine's answer names with the one asked for.
func (p *passer) checkModel(data []byte) error {
	if p.dispatch.Endpoint.Kind != lease.Engine {
		return nil
	}
	var answer struct {
		Model string `json:"model"`
	}
	if err := json.Unmarshal(data, &answer); err != nil {
		return fmt.Errorf("decode answer: %w", err)
	}
	if answer.Model != p.dispatch.Request.Model.String() {
		return fmt.Errorf("%w: %q", errWrongModel, answer.Model)
	}
	return nil
}

// endOfStream is the last event of an OpenAI-compatible stream.
const endOfStream = "[DONE]"

func (p *passer) events(resp *http.Response) error {
	in := bufio.NewScanner(resp.Body)
	in.Buffer(make([]byte, 0, 4096), maxEvent)
	for in.Scan() {
		data, ok := bytes.CutPrefix(in.Bytes(), []byte("data: "))
		if !ok {
			continue
		}
		end := string(data) == endOfStream
		if !end {
			if err := p.checkModel(data); err != nil {
				return err
			}
		}
		event := append(append([]byte("data: "), data...), '\n', '\n')
		p.send(relay.Chunk{Status: resp.StatusCode, ContentType: resp.Header.Get("Content-Type"), Data: event, End: end})
		if end {
			return nil
		}
	}
	if err := in.Err(); err != nil {
		return err
	}
	return errNoEnd
}

func (p *passer) send(c relay.Chunk) {
	c.ID = p.dispatch.Request.ID
	c.Seq = p.seq
	if p.seq == 0 {
		c.Waited = &p.dispatch.Waited
	}
	if p.seq > 0 {
		c.Status, c.ContentType = 0, ""
	}
	p.seq++
	p.emit(c)
}

// loraOrder is the body of an engine's dynamic LoRA endpoints.
type loraOrder struct {
	Name string `json:"lora_name"`
	Path string `json:"lora_path,omitempty"`
}

// Load carries out a load order.
func (c *Client) Load(ctx context.Context, l world.Load) world.Loaded {
	done := world.Loaded{Endpoint: l.Endpoint.ID, Fence: l.Endpoint.Fence, Model: l.Model, Evicted: l.Evict}
	if err := c.load(ctx, l); err != nil {
		done.Err = (&ident.StepError{Step: "load", Peer: string(l.Endpoint.ID), Err: err}).Error()
	}
	return done
}

func (c *Client) load(ctx context.Context, l world.Load) error {
	if l.Evict != nil {
		if err := c.order(ctx, l, "/v1/unload_lora_adapter", loraOrder{Name: l.Evict.String()}); err != nil {
			return err
		}
	}
	path := string(l.Model.Adapter) + "/" + string(l.Model.Version)
	return c.order(ctx, l, "/v1/load_lora_adapter", loraOrder{Name: l.Model.String(), Path: path})
}

// order posts an order on a fresh connection, so that the lease is checked right before it is sent.
func (c *Client) order(ctx context.Context, l world.Load, path string, o loraOrder) error {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	g := &guard{valid: func() bool { return c.now() < l.Until }}
	t := &http.Transport{DialContext: g.dial, DisableKeepAlives: true}
	body, err := json.Marshal(o)
	if err != nil {
		return err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, l.Endpoint.URL+path, io.NopCloser(bytes.NewReader(body)))
	if err != nil {
		return err
	}
	req.ContentLength = int64(len(body))
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(FenceHeader, strconv.FormatUint(uint64(l.Endpoint.Fence), 10))
	resp, err := (&http.Client{Transport: t, CheckRedirect: noRedirect}).Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(io.LimitReader(resp.Body, 256))
		return fmt.Errorf("%s: %s %s", path, resp.Status, strings.TrimSpace(string(text)))
	}
	return nil
}

// engineState is what GET /state of an engine answers.
type engineState struct {
	Instance uint64   `json:"instance"`
	Running  int      `json:"running"`
	Models   []string `json:"models"`
}

// Inspect reads what an engine holds and runs.
func (c *Client) Inspect(ctx context.Context, e lease.Owned) world.Inspected {
	in := world.Inspected{Endpoint: e.ID, Fence: e.Fence}
	s, err := c.state(ctx, e.URL)
	if err != nil {
		in.Err = (&ident.StepError{Step: "inspect", Peer: string(e.ID), Err: err}).Error()
		return in
	}
	in.Instance = ident.Incarnation(s.Instance)
	in.Running = s.Running
	for _, name := range s.Models {
		if m, err := ident.ParseModel(name); err == nil {
			in.Models = append(in.Models, m)
		}
	}
	return in
}

func (c *Client) state(ctx context.Context, url string) (engineState, error) {
	var s engineState
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url+"/state", nil)
	if err != nil {
		return s, err
	}
	resp, err := c.pooled.Do(req)
	if err != nil {
		return s, err
	}
	defer func() { _ = resp.Body.Close() }()
	return s, json.NewDecoder(io.LimitReader(resp.Body, maxEvent)).Decode(&s)
}
