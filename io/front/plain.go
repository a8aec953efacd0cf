package front

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"shallotgap/core/census"
	"shallotgap/core/grant"
	"shallotgap/core/ident"
	"shallotgap/core/layout"
	"shallotgap/core/pick"
	"shallotgap/io/abort"
	"shallotgap/io/clock"
	"shallotgap/io/dial"
	"shallotgap/io/quota"
	"shallotgap/io/reach"
)

// maxBufferedBody is the largest response body that is buffered completely before it is forwarded, so that a truncated
// response can be replaced by an error response.
const maxBufferedBody = 1 << 20 // bytes

// servePlain serves a request for a plain service: it sends the request to one endpoint after another until one responds,
// or the attempts, the retry budget or the time are used up.
func (ex *exchange) servePlain(ctx context.Context) {
	var avoid []ident.EndpointID
	events := ex.newEventStream()
	for range max(1, ex.route.Attempts) + maxExtraSends {
		if ex.rejectBlocked() {
			return
		}
		if ex.outlastsHost() {
			ex.fail(stoppingCause, drainRetryAfter)
			return
		}
		if ex.sends > 0 && !ex.spendRetry() {
			ex.fail("budget-spent", failedRetryAfter)
			return
		}
		if ex.sends == 0 {
			ex.countRequest()
		}
		c := ex.choose(ctx, avoid)
		if !c.found && len(avoid) > 0 && c.cause == "" {
			// All endpoints were tried. Start over: the first may have recovered, or its failure may be transient.
			pause(ctx, sameEndpointPause)
			avoid = nil
			c = ex.choose(ctx, avoid)
		}
		if !c.found {
			ex.failUnchosen(ctx, c)
			return
		}
		e := c.endpoint
		avoid = append(avoid, e.Instance.ID)
		result := ex.sendPlain(ctx, e, events)
		ex.endPermitted(c.watched, result)
		switch {
		case result == sendDone:
			return
		case result == sendNoPath:
			ex.fail(noPathCause, failedRetryAfter)
			return
		case ctx.Err() != nil:
			ex.fail(failureCause(ctx), 0)
			return
		case result == sendBroken && (!ex.route.Repeatable() || ex.sends >= ex.route.Attempts):
			ex.fail("endpoint-failed", 0)
			return
		}
	}
	if ex.rejections == 0 {
		ex.fail("endpoints-unreachable", failedRetryAfter)
		return
	}
	ex.fail("endpoints-full", failedRetryAfter)
}

// failUnchosen ends a request that no endpoint may be sent.
func (ex *exchange) failUnchosen(ctx context.Context, c choice) {
	switch {
	case ctx.Err() != nil:
		ex.fail(failureCause(ctx), 0)
	case c.cause != "":
		ex.fail(string(c.cause), c.retryAfter)
	default:
		ex.fail("no-endpoint", failedRetryAfter)
	}
}

// maxExtraSends is the number of sends allowed in addition to the route's attempts, for endpoints that reject the request.
const maxExtraSends = 2

// sameEndpointPause is the pause before a request is sent to the same endpoint again: the time in which an endpoint serves
// a few requests.
const sameEndpointPause = 20 * time.Millisecond

// pause waits for d or until the context ends.
func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// retryBudget returns this host's share of the service's retry budget. ex.mu must be held.
func (ex *exchange) retryBudget() *grant.Budget {
	b := ex.retryBudgets[ex.service.Name]
	if b == nil {
		b = grant.NewBudget(ex.RetryRatio, 0, ex.RetryWindow)
		ex.retryBudgets[ex.service.Name] = b
	}
	b.Extra = ex.RetryExtra / max(1, ex.entryHosts)
	return b
}

// countRequest counts a request, since the retry budget grows with the number of requests.
func (ex *exchange) countRequest() {
	ex.mu.Lock()
	defer ex.mu.Unlock()
	ex.retryBudget().CountRequest(clock.Boot())
}

// spendRetry takes one retry from the retry budget and reports whether the budget allowed it.
func (ex *exchange) spendRetry() bool {
	ex.mu.Lock()
	defer ex.mu.Unlock()
	return ex.retryBudget().Spend(clock.Boot())
}

// sendPlain sends the request to an endpoint of a plain service and forwards the response. events is what earlier endpoints have sent of a
// stream.
func (ex *exchange) sendPlain(ctx context.Context, e census.Entry, events *eventStream) sendResult {
	sentAt := clock.Boot()
	t := Target{Instance: e.Instance}
	if ex.route.Kind == layout.Stream {
		t.LastEventID = events.stream.LastID()
	}
	resp, err := ex.send(ctx, t, e.Address, false)
	var failed *dial.Error
	if errors.As(err, &failed) {
		return ex.plainSendFailed(ctx, e, failed)
	}
	ex.sends++
	defer resp.Finish()
	v := ex.Dialect.Verdict(ex.call.ID, resp.StatusCode, resp.Header)
	ex.noteLimit(e.Instance, v, resp.StatusCode, sentAt)
	ex.noteSaid(e.Instance, v, resp.StatusCode, e.Slots)
	if ex.isPlainStream(resp, v) {
		return ex.forwardPlainStream(ctx, e, events, resp, v)
	}
	body, err := resp.ReadBody(maxBufferedBody)
	tooLong := err == nil && !resp.Complete() && len(body) == maxBufferedBody
	switch {
	case v.NotRun: // the header says so, whatever became of the body
		ex.rejections++
		ex.lastFull = isFull(resp.StatusCode)
		ex.endSend(e, pick.Full, v.Load)
		ex.logDecision("send", e.Instance.ID, "not-run", "status="+strconv.Itoa(resp.StatusCode))
		return sendNotRun
	case v.Mismatched || (resp.StatusCode/100 == 2 && !v.Authentic) || (err != nil && ctx.Err() == nil) || (!resp.Complete() && !tooLong):
		resp.Abort()
		ex.mayHaveRun = ex.mayHaveRun || !v.NotRun
		ex.endSend(e, pick.Bad, v.Load)
		ex.logDecision("send", e.Instance.ID, "broken", "status="+strconv.Itoa(resp.StatusCode)+" stray="+strconv.FormatBool(v.Mismatched)+" cause="+strconv.Quote(fmt.Sprint(err)))
		if err != nil && !errors.Is(err, quota.ErrEvicted) {
			ex.checkCrash(ctx, e.Instance, e.Address)
		}
		return sendBroken
	case err != nil:
		resp.Abort()
		ex.mayHaveRun = true
		ex.endSend(e, pick.Ignored, v.Load)
		return sendBroken
	}
	ex.mayHaveRun = true
	if ex.committed {
		resp.Abort()
		ex.endSend(e, pick.Bad, v.Load)
		ex.logDecision("send", e.Instance.ID, "other-form", "status="+strconv.Itoa(resp.StatusCode)+" began="+strconv.Quote(events.mediaType))
		return sendBroken
	}
	if resp.StatusCode >= http.StatusInternalServerError {
		ex.endSend(e, pick.Bad, v.Load)
		if ex.route.Repeatable() && ex.sends < ex.route.Attempts {
			ex.logDecision("send", e.Instance.ID, "failed", "status="+strconv.Itoa(resp.StatusCode))
			return sendBroken
		}
	} else {
		ex.endSend(e, pick.Good, v.Load)
	}
	ex.recordSound()
	if ex.route.Kind == layout.Stream && resp.StatusCode/100 == http.StatusOK/100 {
		ex.bindTo(e.Build, "", true)
	}
	ex.forwardResponse(resp, body)
	ex.Meter.ObserveDuration("shallotgap_plain_seconds", clock.Boot().Sub(sentAt))
	return sendDone
}

// endSend records the outcome of a send, and the load that the endpoint reported, for the choice of endpoints.
func (ex *exchange) endSend(e census.Entry, o pick.Outcome, load *pick.Load) {
	now := clock.Boot()
	ex.mu.Lock()
	defer ex.mu.Unlock()
	ex.picker.End(e, o, load, now)
	if o == pick.Good {
		ex.census.Confirm(e.Instance, now) // its heartbeats may not arrive
	}
}

// plainSendFailed handles a send to a plain service that got no response.
func (ex *exchange) plainSendFailed(ctx context.Context, e census.Entry, err *dial.Error) sendResult {
	ex.logDecision("send", e.Instance.ID, "no-answer", err.Error())
	ex.lastFull = false
	switch {
	case ctx.Err() != nil:
		ex.mayHaveRun = ex.mayHaveRun || err.Sent
		outcome := pick.Bad
		if ex.r.Context().Err() != nil {
			outcome = pick.Ignored
		}
		ex.endSend(e, outcome, nil)
		return sendBroken
	case err.Sent:
		ex.sends++
		ex.mayHaveRun = true
		ex.endSend(e, pick.Bad, nil)
		if !errors.Is(err, quota.ErrEvicted) {
			ex.checkCrash(ctx, e.Instance, e.Address)
		}
		return sendBroken
	}
	if held := (*reach.HeldError)(nil); errors.As(err, &held) {
		ex.endSend(e, pick.Ignored, nil)
		return sendNotRun
	}
	ex.endSend(e, pick.Unreachable, nil)
	if errors.Is(err, reach.ErrNoPath) && ex.Paths.CutOff(ex.service.Name) {
		return sendNoPath
	}
	return sendNotRun
}

// forwardResponse forwards an endpoint's response to the caller. body is the buffered beginning of the response body,
// at most maxBufferedBody bytes; the remaining bytes are streamed from resp.
func (ex *exchange) forwardResponse(resp *dial.Response, body []byte) {
	h := ex.w.Header()
	for k, v := range ex.Dialect.Incoming(resp.Header) {
		h[k] = v
	}
	if resp.Complete() {
		h.Set("Content-Length", strconv.Itoa(len(body)))
	} else if resp.ContentLength > 0 {
		h.Set("Content-Length", strconv.FormatInt(resp.ContentLength, 10))
	}
	if h.Get("Content-Type") == "" {
		h["Content-Type"] = nil // keeps net/http from guessing a type
	}
	ex.committed = true
	ex.w.WriteHeader(resp.StatusCode)
	_, err := ex.w.Write(body)
	if err == nil && !resp.Complete() {
		_, err = io.Copy(ex.w, resp)
	}
	if err != nil {
		resp.Abort()
		ex.logDecision("end", "", "cut", err.Error())
		abort.Answer(ex.w, ex.r)
	}
	ex.logDecision("end", "", "served", "status="+strconv.Itoa(resp.StatusCode)+" bytes="+strconv.Itoa(len(body))+" end="+resp.End())
}
