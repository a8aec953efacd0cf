package front

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"shallotgap/core/census"
	"shallotgap/core/grant"
	"shallotgap/core/ident"
	"shallotgap/core/pick"
	"shallotgap/io/clock"
	"shallotgap/io/dial"
)

// maxBufferedBody is the largest response body that is buffered completely before it is forwarded, so that a truncated
// response can be replaced by an error response.
const maxBufferedBody = 1 << 20 // bytes

// servePlain serves a request for a plain service: it sends the request to one endpoint after another until one responds,
// or the attempts, the retry budget or the time are used up.
func (x *exchange) servePlain(ctx context.Context) {
	var avoid []ident.EndpointID
	for range max(1, x.route.Attempts) + maxExtraSends {
		if x.sends > 0 && !x.spendRetry() {
			x.fail("budget-spent", failedRetryAfter)
			return
		}
		if x.sends == 0 {
			x.countRequest()
		}
		e, ok := x.choose(avoid)
		if !ok && len(avoid) > 0 {
			// All endpoints were tried. Start over: the first may have recovered, or its failure may be transient.
			pause(ctx, sameEndpointPause)
			avoid = nil
			e, ok = x.choose(avoid)
		}
		if !ok {
			x.fail("no-endpoint", failedRetryAfter)
			return
		}
		avoid = append(avoid, e.Instance.ID)
		switch result := x.sendPlain(ctx, e); {
		case result == sendDone:
			return
		case ctx.Err() != nil:
			x.fail(failureCause(ctx), 0)
			return
		case result == sendBroken && (!x.route.Repeatable() || x.sends >= x.route.Attempts):
			x.fail("endpoint-failed", 0)
			return
		}
	}
	x.fail("endpoints-full", failedRetryAfter)
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

// choose picks an endpoint of the service that is not in avoid, and counts a request as running there until
// endSend is called.
func (x *exchange) choose(avoid []ident.EndpointID) (census.Entry, bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	now := clock.Boot()
	list := x.census.ByService(x.service.Name)
	e, ok := x.picker.Choose(list, avoid, now)
	if !ok {
		return e, false
	}
	x.picker.Begin(e, now)
	return e, true
}

// retryBudget returns this host's share of the service's retry budget. x.mu must be held.
func (x *exchange) retryBudget() *grant.Budget {
	b := x.retryBudgets[x.service.Name]
	if b == nil {
		b = grant.NewBudget(x.RetryRatio, x.RetryExtra/max(1, x.entryHosts), x.RetryWindow)
		x.retryBudgets[x.service.Name] = b
	}
	return b
}

// countRequest counts a request, since the retry budget grows with the number of requests.
func (x *exchange) countRequest() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.retryBudget().CountRequest(clock.Boot())
}

// spendRetry takes one repeated send from the retry budget and reports whether the budget allowed it.
func (x *exchange) spendRetry() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.retryBudget().Spend(clock.Boot())
}

// sendPlain sends the request to an endpoint of a plain service and forwards the response.
func (x *exchange) sendPlain(ctx context.Context, e census.Entry) sendResult {
	sentAt := clock.Boot()
	resp, err := x.client.Do(ctx, x.endpointRequest(Target{Instance: e.Instance, Timeout: x.timeLeft()}, e.Address))
	var failed *dial.Error
	if errors.As(err, &failed) {
		return x.plainSendFailed(ctx, e, failed)
	}
	x.sends++
	defer resp.Finish()
	v := x.Dialect.Verdict(x.call.ID, resp.StatusCode, resp.Header)
	body, err := io.ReadAll(io.LimitReader(resp, maxBufferedBody))
	tooLong := err == nil && !resp.Complete() && len(body) == maxBufferedBody
	switch {
	case v.Mismatched || (resp.StatusCode/100 == 2 && !v.Authentic) || (err != nil && ctx.Err() == nil) || (!resp.Complete() && !tooLong):
		resp.Abort()
		x.mayHaveRun = x.mayHaveRun || !v.NotRun
		x.endSend(e, pick.Bad, v.Load)
		x.logDecision("send", e.Instance.ID, "broken", "status="+strconv.Itoa(resp.StatusCode)+" stray="+strconv.FormatBool(v.Mismatched))
		return sendBroken
	case err != nil:
		resp.Abort()
		x.mayHaveRun = true
		x.endSend(e, pick.Ignored, v.Load)
		return sendBroken
	case v.NotRun:
		x.endSend(e, pick.Full, v.Load)
		x.logDecision("send", e.Instance.ID, "not-run", "status="+strconv.Itoa(resp.StatusCode))
		return sendNotRun
	}
	x.mayHaveRun = true
	if resp.StatusCode >= http.StatusInternalServerError {
		x.endSend(e, pick.Bad, v.Load)
		if x.route.Repeatable() && x.sends < x.route.Attempts {
			x.logDecision("send", e.Instance.ID, "failed", "status="+strconv.Itoa(resp.StatusCode))
			return sendBroken
		}
	} else {
		x.endSend(e, pick.Good, v.Load)
	}
	x.forwardResponse(resp, body)
	x.Meter.ObserveDuration("shallotgap_plain_seconds", clock.Boot().Sub(sentAt))
	return sendDone
}

// endSend records the outcome of a send, and the load that the endpoint reported, for the choice of endpoints.
func (x *exchange) endSend(e census.Entry, o pick.Outcome, load *pick.Load) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.picker.End(e, o, load, clock.Boot())
}

// plainSendFailed handles a send to a plain service that got no response.
func (x *exchange) plainSendFailed(ctx context.Context, e census.Entry, err *dial.Error) sendResult {
	x.logDecision("send", e.Instance.ID, "no-answer", err.Error())
	switch {
	case ctx.Err() != nil:
		x.mayHaveRun = x.mayHaveRun || err.Sent
		outcome := pick.Bad
		if x.r.Context().Err() != nil {
			outcome = pick.Ignored
		}
		x.endSend(e, outcome, nil)
		return sendBroken
	case err.Sent:
		x.sends++
		x.mayHaveRun = true
		x.endSend(e, pick.Bad, nil)
		return sendBroken
	}
	x.endSend(e, pick.Unreachable, nil)
	return sendNotRun
}

// forwardResponse forwards an endpoint's response to the caller. body is the buffered beginning of the response body,
// at most maxBufferedBody bytes; the remaining bytes are streamed from resp.
func (x *exchange) forwardResponse(resp *dial.Response, body []byte) {
	h := x.w.Header()
	for k, v := range x.Dialect.Incoming(resp.Header) {
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
	x.committed = true
	x.w.WriteHeader(resp.StatusCode)
	_, err := x.w.Write(body)
	if err == nil && !resp.Complete() {
		_, err = io.Copy(x.w, resp)
	}
	if err != nil {
		resp.Abort()
		x.logDecision("end", "", "cut", err.Error())
		panic(http.ErrAbortHandler)
	}
	x.logDecision("end", "", "served", "status="+strconv.Itoa(resp.StatusCode)+" bytes="+strconv.Itoa(len(body)))
}
