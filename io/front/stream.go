package front

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"shallotgap/core/grant"
	"shallotgap/core/ident"
	"shallotgap/io/clock"
	"shallotgap/io/dial"
)

// maxTries bounds the places that one request asks for; most of them were refused by the endpoint.
const maxTries = 6

// fate is what became of a request at one place.
type fate uint8

const (
	done   fate = iota // the caller has its final answer
	refill             // it did not run there: ask for another place
	broken             // it may have run, and the answer broke off
)

// stream answers a request for a model: it asks for places until one answers or the time is over.
func (x *exchange) stream(ctx context.Context) {
	a := grant.Ask{
		Request: x.call.ID, Service: x.service.Name, Ref: x.call.Ref, Prompt: x.call.Prompt, Output: x.call.Output, Parts: x.call.Parts,
		Priority: x.route.Priority, Target: x.route.Target, Gap: x.route.MaxGap,
	}
	flow := &events{x: x, last: x.call.Resumed}
	ran := 0
	for range maxTries {
		a.Left = x.left()
		a.Sends = x.sends
		q, reply := x.acquire(ctx, a)
		if reply.Place == nil {
			x.giveUp(string(reply.Cause), reply.After)
			return
		}
		last := !x.route.Resumable || ran+1 >= x.route.Attempts
		f := x.sendStream(ctx, q, flow, last)
		switch {
		case f == done:
			return
		case f == refill && ctx.Err() == nil:
		case f == broken && !last && ctx.Err() == nil:
			ran++
			a.Avoid = append(a.Avoid, q.place.Instance.ID)
		default:
			x.giveUp(causeOf(ctx), retryPause)
			return
		}
	}
	x.giveUp("no-place", retryPause)
}

// retryPause is the pause for callers whose request found no place in several tries: an endpoint that refuses does so
// for some hundred ms.
const retryPause = 250 * time.Millisecond

func causeOf(ctx context.Context) string {
	if errors.Is(context.Cause(ctx), errTimeUp) {
		return "time-over"
	}
	return "endpoint-failed"
}

// sendStream sends the request to its place and passes the answer on; last is true when it may not run once more.
func (x *exchange) sendStream(ctx context.Context, q *ask, flow *events, last bool) fate {
	p := *q.place
	begun := clock.Boot()
	answer, err := x.client.Do(ctx, x.request(Target{Instance: p.Instance, Version: p.Version, Left: x.left(), Resume: flow.last}, p.Address))
	var failed *dial.Error
	if errors.As(err, &failed) {
		return x.sendFailed(ctx, q, failed)
	}
	x.sends++
	defer answer.Finish()
	v := x.Dialect.Verdict(x.call.ID, answer.StatusCode, answer.Header)
	switch {
	case v.Stray || (answer.StatusCode/100 == 2 && !v.Genuine):
		answer.Abort()
		x.sent = true
		x.note("send", p.Instance.ID, "stray-answer", "genuine="+strconv.FormatBool(v.Genuine))
		x.release(q, grant.Failed, 0)
		return broken
	case v.NotRun:
		_, _ = io.Copy(io.Discard, io.LimitReader(answer, maxRefusal))
		x.note("send", p.Instance.ID, "not-run", http.StatusText(answer.StatusCode))
		x.release(q, grant.NotRun, 0)
		return refill
	}
	x.sent = true
	if answer.StatusCode/100 != 2 {
		return x.failedAnswer(q, answer, last)
	}
	flow.begin(answer)
	err = flow.copy(answer)
	first := time.Duration(0)
	if flow.firstAt > begun {
		first = flow.firstAt.Sub(begun)
	}
	switch {
	case err == nil:
		x.release(q, grant.Served, first)
		x.Meter.Time("shallotgap_first_event_seconds", flow.firstAt.Sub(x.began))
		x.note("end", p.Instance.ID, "served", fmt.Sprintf("first=%dms gap=%dms prompt=%d", flow.firstAt.Sub(x.began).Milliseconds(), flow.gap.Milliseconds(), x.call.Prompt))
		return done
	case ctx.Err() != nil:
		answer.Abort()
		x.release(q, grant.Cancelled, first)
		return broken
	}
	answer.Abort()
	x.note("send", p.Instance.ID, "broken", err.Error())
	x.release(q, grant.Failed, first)
	return broken
}

// maxRefusal bounds the body of a refusal that is read to keep its connection.
const maxRefusal = 4 << 10 // bytes

// sendFailed handles a request that got no answer.
func (x *exchange) sendFailed(ctx context.Context, q *ask, err *dial.Error) fate {
	x.note("send", q.place.Instance.ID, "no-answer", err.Error())
	switch {
	case ctx.Err() != nil:
		x.sent = x.sent || err.Sent
		x.release(q, grant.Cancelled, 0)
		return broken
	case err.Sent:
		x.sends++
		x.sent = true
		x.release(q, grant.Failed, 0)
		return broken
	}
	x.release(q, grant.Unreachable, 0)
	return refill
}

// failedAnswer passes an endpoint's own failure on, unless the stream can go on elsewhere.
func (x *exchange) failedAnswer(q *ask, answer *dial.Answer, last bool) fate {
	x.note("send", q.place.Instance.ID, "failed", http.StatusText(answer.StatusCode))
	x.release(q, grant.Failed, 0)
	if x.committed || !last {
		answer.Abort()
		return broken
	}
	body, err := io.ReadAll(io.LimitReader(answer, maxBuffered))
	if err != nil || !answer.Whole() {
		answer.Abort()
		return broken
	}
	x.passOn(answer, body)
	return done
}

// events passes on a stream of events, each of them whole.
type events struct {
	x       *exchange
	last    string // id of the last event that was passed on
	rest    []byte // the beginning of an event
	firstAt ident.Time
	lastAt  ident.Time
	// gap is the longest pause between two events.
	gap  time.Duration
	head http.Header
}

// begin takes the head of an answer. It is passed on with the first event, so that an answer that breaks off before can
// be replaced by a failure of this host's own; a stream that goes on elsewhere keeps its first head.
func (e *events) begin(answer *dial.Answer) {
	e.rest = e.rest[:0]
	if !e.x.committed {
		e.head = e.x.Dialect.Incoming(answer.Header)
	}
}

// commit passes on the head.
func (e *events) commit() {
	if e.x.committed {
		return
	}
	e.x.committed = true
	h := e.x.w.Header()
	for k, v := range e.head {
		h[k] = v
	}
}

// readSize is the size of the pieces in which streams are read; an event has some hundred bytes.
const readSize = 4 << 10

var (
	eventEnd     = []byte("\n\n")
	eventEndCRLF = []byte("\r\n\r\n")
)

var errCutEvent = errors.New("the answer ended within an event")

// copy passes events on until the answer ends; nil means that it came whole.
func (e *events) copy(answer *dial.Answer) error {
	buf := make([]byte, readSize)
	for {
		n, err := answer.Read(buf)
		e.rest = append(e.rest, buf[:n]...)
		if werr := e.flush(); werr != nil {
			return werr
		}
		switch {
		case errors.Is(err, io.EOF) && len(e.rest) == 0:
			e.commit()
			return nil
		case errors.Is(err, io.EOF):
			return errCutEvent
		case err != nil:
			return err
		}
	}
}

// flush passes on the whole events that have come.
func (e *events) flush() error {
	end := 0
	if i := bytes.LastIndex(e.rest, eventEnd); i >= 0 {
		end = i + len(eventEnd)
	}
	if i := bytes.LastIndex(e.rest, eventEndCRLF); i >= 0 {
		end = max(end, i+len(eventEndCRLF))
	}
	if end == 0 {
		return nil
	}
	e.time(clock.Boot())
	if id, ok := lastID(e.rest[:end]); ok {
		e.last = id
	}
	e.commit()
	if _, err := e.x.w.Write(e.rest[:end]); err != nil {
		return err
	}
	e.rest = append(e.rest[:0], e.rest[end:]...)
	return http.NewResponseController(e.x.w).Flush()
}

// time notes when events came.
func (e *events) time(now ident.Time) {
	if e.firstAt == 0 {
		e.firstAt = now
	} else {
		e.gap = max(e.gap, now.Sub(e.lastAt))
	}
	e.lastAt = now
}

// lastID returns the id of the last event in a piece of a stream.
func lastID(piece []byte) (string, bool) {
	id, found := "", false
	for line := range bytes.Lines(piece) {
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			id, found = string(bytes.TrimSpace(value)), true
		}
	}
	return id, found
}
