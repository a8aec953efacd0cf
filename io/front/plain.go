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

// maxBuffered is the size up to which an answer is held back until it is whole, so that one that breaks off can be
// replaced by an explicit failure.
const maxBuffered = 1 << 20 // bytes

// plain answers a request of a plain service.
func (x *exchange) plain(ctx context.Context) {
	var avoid []ident.EndpointID
	for range max(1, x.route.Attempts) + maxRefusals {
		if x.sends > 0 && !x.spend() {
			x.giveUp("budget-spent", retryPause)
			return
		}
		if x.sends == 0 {
			x.countRequest()
		}
		e, ok := x.choose(avoid)
		if !ok && len(avoid) > 0 {
			// All were tried; the first may have recovered, or an answer of failure may not come again.
			pause(ctx, samePause)
			avoid = nil
			e, ok = x.choose(avoid)
		}
		if !ok {
			x.giveUp("no-endpoint", retryPause)
			return
		}
		avoid = append(avoid, e.Instance.ID)
		switch f := x.sendPlain(ctx, e); {
		case f == done:
			return
		case ctx.Err() != nil:
			x.giveUp(causeOf(ctx), 0)
			return
		case f == broken && (!x.route.Repeatable() || x.sends >= x.route.Attempts):
			x.giveUp("endpoint-failed", 0)
			return
		}
	}
	x.giveUp("endpoints-full", retryPause)
}

// maxRefusals is the number of refusals after which a request is turned away, besides the route's attempts.
const maxRefusals = 2

// samePause is the pause before a request goes to an endpoint again: some requests' time there.
const samePause = 20 * time.Millisecond

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// choose returns the best endpoint of the service, those that were tried already only if there is no other.
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

func (x *exchange) budget() *grant.Budget {
	b := x.budgets[x.service.Name]
	if b == nil {
		b = grant.NewBudget(x.RetryRatio, x.RetryExtra/max(1, x.entries), x.RetryWindow)
		x.budgets[x.service.Name] = b
	}
	return b
}

func (x *exchange) countRequest() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.budget().CountRequest(clock.Boot())
}

func (x *exchange) spend() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.budget().Spend(clock.Boot())
}

// sendPlain sends the request to an endpoint and passes its answer on.
func (x *exchange) sendPlain(ctx context.Context, e census.Entry) fate {
	begun := clock.Boot()
	answer, err := x.client.Do(ctx, x.request(Target{Instance: e.Instance, Timeout: x.left()}, e.Address))
	var failed *dial.Error
	if errors.As(err, &failed) {
		return x.plainFailed(ctx, e, failed)
	}
	x.sends++
	defer answer.Finish()
	v := x.Dialect.Verdict(x.call.ID, answer.StatusCode, answer.Header)
	body, err := io.ReadAll(io.LimitReader(answer, maxBuffered))
	long := err == nil && !answer.Complete() && len(body) == maxBuffered
	switch {
	case v.Mismatched || (answer.StatusCode/100 == 2 && !v.Authentic) || (err != nil && ctx.Err() == nil) || (!answer.Complete() && !long):
		answer.Abort()
		x.sent = x.sent || !v.NotRun
		x.finish(e, pick.Bad, v.Load)
		x.note("send", e.Instance.ID, "broken", "status="+strconv.Itoa(answer.StatusCode)+" stray="+strconv.FormatBool(v.Mismatched))
		return broken
	case err != nil:
		answer.Abort()
		x.sent = true
		x.finish(e, pick.Ignored, v.Load)
		return broken
	case v.NotRun:
		x.finish(e, pick.Full, v.Load)
		x.note("send", e.Instance.ID, "not-run", "status="+strconv.Itoa(answer.StatusCode))
		return refill
	}
	x.sent = true
	if answer.StatusCode >= http.StatusInternalServerError {
		x.finish(e, pick.Bad, v.Load)
		if x.route.Repeatable() && x.sends < x.route.Attempts {
			x.note("send", e.Instance.ID, "failed", "status="+strconv.Itoa(answer.StatusCode))
			return broken
		}
	} else {
		x.finish(e, pick.Good, v.Load)
	}
	x.passOn(answer, body)
	x.Meter.ObserveDuration("shallotgap_plain_seconds", clock.Boot().Sub(begun))
	return done
}

func (x *exchange) finish(e census.Entry, o pick.Outcome, load *pick.Load) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.picker.End(e, o, load, clock.Boot())
}

func (x *exchange) plainFailed(ctx context.Context, e census.Entry, err *dial.Error) fate {
	x.note("send", e.Instance.ID, "no-answer", err.Error())
	switch {
	case ctx.Err() != nil:
		x.sent = x.sent || err.Sent
		outcome := pick.Bad
		if x.r.Context().Err() != nil {
			outcome = pick.Ignored
		}
		x.finish(e, outcome, nil)
		return broken
	case err.Sent:
		x.sends++
		x.sent = true
		x.finish(e, pick.Bad, nil)
		return broken
	}
	x.finish(e, pick.Unreachable, nil)
	return refill
}

// passOn gives the caller an endpoint's answer; body is its beginning, which is all of it but for long ones.
func (x *exchange) passOn(answer *dial.Response, body []byte) {
	h := x.w.Header()
	for k, v := range x.Dialect.Incoming(answer.Header) {
		h[k] = v
	}
	if answer.Complete() {
		h.Set("Content-Length", strconv.Itoa(len(body)))
	} else if answer.ContentLength > 0 {
		h.Set("Content-Length", strconv.FormatInt(answer.ContentLength, 10))
	}
	if h.Get("Content-Type") == "" {
		h["Content-Type"] = nil // the standard library would guess one
	}
	x.committed = true
	x.w.WriteHeader(answer.StatusCode)
	_, err := x.w.Write(body)
	if err == nil && !answer.Complete() {
		_, err = io.Copy(x.w, answer)
	}
	if err != nil {
		answer.Abort()
		x.note("end", "", "cut", err.Error())
		panic(http.ErrAbortHandler)
	}
	x.note("end", "", "served", "status="+strconv.Itoa(answer.StatusCode)+" bytes="+strconv.Itoa(len(body)))
}
