package front

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"shallotgap/core/grant"
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
	flow := &events{x: x, last: x.call.LastEventID}
	ran := 0
	for range maxTries {
		a.Left = x.left()
		a.Silence = flow.silence(clock.Boot())
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
	sending, stop := context.WithCancelCause(ctx)
	defer stop(nil)
	if !last {
		flow.stall = time.AfterFunc(x.firstStall(), func() { stop(errStalled) })
		defer flow.stall.Stop()
	} else {
		flow.stall = nil
	}
	answer, err := x.client.Do(sending, x.request(Target{Instance: p.Instance, Version: p.Version, Timeout: x.left(), LastEventID: flow.last, Engine: true, Priority: x.route.Priority}, p.Address))
	var failed *dial.Error
	if errors.As(err, &failed) {
		return x.sendFailed(ctx, q, failed)
	}
	x.sends++
	defer answer.Finish()
	v := x.Dialect.Verdict(x.call.ID, answer.StatusCode, answer.Header)
	switch {
	case v.Mismatched || (answer.StatusCode/100 == 2 && !v.Authentic):
		answer.Abort()
		x.sent = true
		x.note("send", p.Instance.ID, "stray-answer", "genuine="+strconv.FormatBool(v.Authentic))
		x.release(q, grant.Failed, 0, 0)
		return broken
	case v.NotRun:
		_, _ = io.Copy(io.Discard, io.LimitReader(answer, maxRefusal))
		x.note("send", p.Instance.ID, "not-run", http.StatusText(answer.StatusCode))
		x.release(q, grant.NotRun, 0, 0)
		return refill
	}
	x.sent = true
	if answer.StatusCode/100 != 2 {
		return x.failedAnswer(q, answer, last)
	}
	flow.at = q
	flow.begin(answer)
	err = flow.copy(answer)
	first := time.Duration(0)
	if flow.firstAt > begun {
		first = flow.firstAt.Sub(begun)
	}
	switch {
	case err == nil:
		x.release(q, grant.Served, first, flow.gap)
		x.Meter.ObserveDuration("shallotgap_first_event_seconds", flow.firstAt.Sub(x.began))
		x.note("end", p.Instance.ID, "served", fmt.Sprintf("first=%dms gap=%dms prompt=%d", flow.firstAt.Sub(x.began).Milliseconds(), flow.gap.Milliseconds(), x.call.Prompt))
		return done
	case ctx.Err() != nil:
		answer.Abort()
		x.release(q, grant.Cancelled, first, 0)
		return broken
	}
	answer.Abort()
	x.note("send", p.Instance.ID, "broken", err.Error())
	x.release(q, grant.Failed, first, 0)
	return broken
}

// Times after which a stream that may go on elsewhere does so, as parts of what its route calls on time: an engine that
// is gone without a word sends nothing, and one that reads many prompts some events late.
const (
	stallTargets = 2
	stallGaps    = 3
	leastStall   = 1200 * time.Millisecond // and not before a heartbeat would have come
)

var errStalled = errors.New("the engine sends nothing")

func (x *exchange) firstStall() time.Duration {
	return max(leastStall, stallTargets*x.route.Target)
}

func (x *exchange) nextStall() time.Duration { return max(leastStall, stallGaps*x.route.MaxGap) }

// maxRefusal bounds the body of a refusal that is read to keep its connection.
const maxRefusal = 4 << 10 // bytes

// sendFailed handles a request that got no answer.
func (x *exchange) sendFailed(ctx context.Context, q *ask, err *dial.Error) fate {
	x.note("send", q.place.Instance.ID, "no-answer", err.Error())
	switch {
	case ctx.Err() != nil:
		x.sent = x.sent || err.Sent
		x.release(q, grant.Cancelled, 0, 0)
		return broken
	case err.Sent:
		x.sends++
		x.sent = true
		x.release(q, grant.Failed, 0, 0)
		return broken
	}
	x.release(q, grant.Unreachable, 0, 0)
	return refill
}

// failedAnswer passes an endpoint's own failure on, unless the stream can go on elsewhere.
func (x *exchange) failedAnswer(q *ask, answer *dial.Response, last bool) fate {
	x.note("send", q.place.Instance.ID, "failed", http.StatusText(answer.StatusCode))
	x.release(q, grant.Failed, 0, 0)
	if x.committed || !last {
		answer.Abort()
		return broken
	}
	body, err := io.ReadAll(io.LimitReader(answer, maxBuffered))
	if err != nil || !answer.Complete() {
		answer.Abort()
		return broken
	}
	x.passOn(answer, body)
	return done
}
