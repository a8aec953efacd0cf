package front

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"shallotgap/core/grant"
	"shallotgap/io/clock"
	"shallotgap/io/dial"
	"shallotgap/io/quota"
	"shallotgap/io/reach"
)

// maxGrants bounds the grants for one request. Several are needed mostly when engines reject the request.
const maxGrants = 6

// sendResult is the result of sending a request to one endpoint.
type sendResult uint8

const (
	sendDone   sendResult = iota // the response was forwarded
	sendNotRun                   // the endpoint did not run the request: try another
	sendBroken                   // the endpoint may have run the request, but no complete response arrived
	sendNoPath                   // no host that this one knows has a path to the service
)

// serveStream serves a request for a model: it requests grants until an engine responds completely, or the attempts or the
// time are used up. A resumable stream that breaks off continues on another engine after the last forwarded event.
func (ex *exchange) serveStream(ctx context.Context) {
	a := grant.Ask{
		Request: ex.call.ID, Service: ex.service.Name, Ref: ex.call.Ref, Prompt: ex.call.Prompt, Output: ex.call.Output, Parts: ex.call.Parts,
		Priority: ex.route.Priority, Target: ex.route.Target, Gap: ex.route.MaxGap,
		Resumable: ex.route.Resumable, Whole: ex.wholeParts(),
	}
	events := ex.newEventStream()
	runs := 0
	for range maxGrants {
		if ex.rejectBlocked() {
			return
		}
		a.Left = ex.timeLeft()
		a.Silence = events.silenceLeft(clock.Boot())
		a.Sends = ex.sends
		a.Bound, a.Build = ex.bound, ex.build
		req, reply := ex.awaitGrant(ctx, a)
		if reply.Place == nil {
			ex.failUnplaced(ctx, reply)
			return
		}
		if ex.outlastsHost() {
			ex.release(req, grant.Cancelled, 0, 0)
			ex.fail(stoppingCause, drainRetryAfter)
			return
		}
		lastAttempt := !ex.route.Resumable || runs+1 >= ex.route.Attempts
		result := ex.sendStream(ctx, req, events, lastAttempt)
		switch {
		case result == sendDone:
			return
		case result == sendNoPath:
			ex.fail(noPathCause, failedRetryAfter)
			return
		case result == sendNotRun && ctx.Err() == nil:
		case result == sendBroken && ex.bound && req.uncertain:
			ex.fail(string(grant.VersionUnknown), 0)
			return
		case result == sendBroken && !lastAttempt && ctx.Err() == nil:
			runs++
			a.Avoid = append(a.Avoid, req.place.Instance.ID)
		default:
			ex.fail(failureCause(ctx), failedRetryAfter)
			return
		}
	}
	ex.fail("no-place", failedRetryAfter)
}

// failedRetryAfter is the Retry-After of requests that no endpoint accepted in several attempts. An endpoint that rejects
// requests typically does so for some hundred ms.
const failedRetryAfter = 250 * time.Millisecond

// failUnplaced ends a request that got no place.
func (ex *exchange) failUnplaced(ctx context.Context, reply grant.Reply) {
	if errors.Is(context.Cause(ctx), errStopping) {
		ex.fail(stoppingCause, drainRetryAfter)
		return
	}
	ex.fail(string(reply.Cause), reply.After)
}

// failureCause returns the cause to report for a failed request, from its context.
func failureCause(ctx context.Context) string {
	switch {
	case errors.Is(context.Cause(ctx), errDeadlinePassed):
		return "time-over"
	case errors.Is(context.Cause(ctx), errStopping):
		return stoppingCause
	}
	return "endpoint-failed"
}

// sendStream sends the request to its granted engine and forwards the stream. lastAttempt is true when the request must
// not run again if the stream breaks off.
func (ex *exchange) sendStream(ctx context.Context, req *grantRequest, events *eventStream, lastAttempt bool) sendResult {
	p := *req.place
	if ex.bound && p.Build != ex.build {
		// The leader is of an earlier release, which does not know builds.
		ex.logDecision("resume", p.Instance.ID, "other-build", fmt.Sprintf("build=%s granted=%s", ex.build, p.Build))
		ex.release(req, grant.Cancelled, 0, 0)
		return sendNotRun
	}
	ex.noteBuild(p.Build)
	sentAt := clock.Boot()
	sendCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	if !lastAttempt {
		events.eventTimer = time.AfterFunc(ex.firstEventTimeout(), func() { cancel(errNoEvent) })
		defer events.eventTimer.Stop()
	} else {
		events.eventTimer = nil
	}
	resp, err := ex.send(sendCtx, Target{Instance: p.Instance, Version: p.Version, LastEventID: events.stream.LastID(), Engine: true, Priority: ex.route.Priority}, p.Address, p.Verify)
	var failed *dial.Error
	if errors.As(err, &failed) {
		return ex.streamSendFailed(ctx, req, failed)
	}
	ex.sends++
	defer resp.Finish()
	v := ex.Dialect.Verdict(ex.call.ID, resp.StatusCode, resp.Header)
	ex.noteLimit(p.Instance, v, resp.StatusCode, sentAt)
	ex.noteSaid(p.Instance, v, resp.StatusCode, ex.service.Engine.Slots)
	switch {
	case v.Mismatched || (resp.StatusCode/100 == 2 && !v.Authentic):
		resp.Abort()
		ex.mayHaveRun = true
		ex.logDecision("send", p.Instance.ID, "stray-answer", "genuine="+strconv.FormatBool(v.Authentic))
		ex.release(req, grant.Failed, 0, 0)
		return sendBroken
	case v.NotRun:
		_, _ = io.Copy(io.Discard, io.LimitReader(resp, maxRejectionBody))
		ex.logDecision("send", p.Instance.ID, "not-run", http.StatusText(resp.StatusCode))
		if resp.StatusCode == http.StatusMisdirectedRequest {
			ex.forgetServed(req)
		}
		ex.releaseWith(req, grant.End{Outcome: grant.NotRun, Full: isFull(resp.StatusCode)})
		return sendNotRun
	}
	ex.mayHaveRun = true
	if resp.StatusCode/100 != 2 {
		return ex.handleFailedResponse(req, resp, lastAttempt)
	}
	if !events.continues(resp) {
		resp.Abort()
		ex.logDecision("send", p.Instance.ID, "other-form", "type="+strconv.Quote(resp.Header.Get("Content-Type"))+" began="+strconv.Quote(events.mediaType))
		ex.release(req, grant.Failed, 0, 0)
		return sendBroken
	}
	events.start(resp, func() {
		ex.bindTo(p.Build, req.grantedBy, !req.uncertain)
		req.promptRead.Store(true)
		req.wroteFor.Store(int64(events.wrote()))
		events.reportWritten(req)
	})
	err = events.copy(resp)
	first := time.Duration(0)
	if events.firstAt > sentAt {
		first = events.firstAt.Sub(sentAt)
	}
	switch {
	case err == nil:
		ex.recordWritten(ex.call.Parts)
		ex.recordSound()
		ex.release(req, grant.Served, first, events.maxGap)
		ex.Meter.ObserveDuration("shallotgap_first_event_seconds", events.firstAt.Sub(ex.receivedAt))
		ex.logDecision("end", p.Instance.ID, "served", fmt.Sprintf("first=%dms gap=%dms prompt=%d end=%s", events.firstAt.Sub(ex.receivedAt).Milliseconds(), events.maxGap.Milliseconds(), ex.call.Prompt, resp.End()))
		return sendDone
	case ctx.Err() != nil:
		resp.Abort()
		ex.release(req, grant.Cancelled, first, 0)
		return sendBroken
	}
	resp.Abort()
	ex.logDecision("send", p.Instance.ID, "broken", "begun=true wrote="+events.wrote().String()+" "+ex.promptText()+" cause="+strconv.Quote(err.Error()))
	if sendCtx.Err() != nil || errors.Is(err, quota.ErrEvicted) {
		ex.release(req, grant.Failed, first, 0) // no event came in time, or too many bytes, which this host ended itself
	} else {
		ex.releaseBroken(ctx, req, first, breakdown{begun: true, wrote: events.wrote()})
	}
	return sendBroken
}

// promptText describes the parts and the adapter of the prompt for a log entry.
func (ex *exchange) promptText() string {
	ids := make([]string, len(ex.call.Parts))
	for i, p := range ex.call.Parts {
		ids[i] = p.ID
	}
	return "parts=" + strings.Join(ids, ",") + " adapter=" + string(ex.call.Ref.Adapter)
}

// Timeouts after which a resumable stream moves to another engine, as multiples of the route's targets: the target for
// the first event and the longest gap between events. An engine that crashed or was cut off sends nothing, while an
// engine in the prefill of many prompts only sends some events late.
const (
	firstEventTargets = 2
	nextEventGaps     = 3
	minEventTimeout   = 2 * time.Second // a sound engine may be silent for a second or so
)

var errNoEvent = errors.New("no event from the engine in time")

// firstEventTimeout returns how long a resumable stream waits for the first event of an engine.
func (ex *exchange) firstEventTimeout() time.Duration {
	return max(minEventTimeout, firstEventTargets*ex.route.Target)
}

// nextEventTimeout returns how long a resumable stream waits for each further event.
func (ex *exchange) nextEventTimeout() time.Duration {
	return max(minEventTimeout, nextEventGaps*ex.route.MaxGap)
}

// maxRejectionBody bounds the part of a rejection's body that is read and discarded, so that the connection can be reused.
const maxRejectionBody = 4 << 10 // bytes

// streamSendFailed handles a send to an engine that got no response.
func (ex *exchange) streamSendFailed(ctx context.Context, req *grantRequest, err *dial.Error) sendResult {
	ex.logDecision("send", req.place.Instance.ID, "no-answer", "begun=false "+ex.promptText()+" cause="+strconv.Quote(err.Error()))
	switch {
	case ctx.Err() != nil:
		ex.mayHaveRun = ex.mayHaveRun || err.Sent
		ex.release(req, grant.Cancelled, 0, 0)
		return sendBroken
	case err.Sent:
		ex.sends++
		ex.mayHaveRun = true
		if errors.Is(err, errNoEvent) || errors.Is(err, quota.ErrEvicted) {
			ex.release(req, grant.Failed, 0, 0)
		} else {
			ex.releaseBroken(ctx, req, 0, breakdown{})
		}
		return sendBroken
	}
	if held := (*reach.HeldError)(nil); errors.As(err, &held) {
		ex.release(req, grant.Cancelled, 0, 0)
		return sendNotRun
	}
	alone := errors.Is(err, reach.ErrNoPath)
	ex.releaseWith(req, grant.End{Outcome: grant.Unreachable, Alone: alone})
	if alone && ex.Paths.CutOff(ex.service.Name) {
		return sendNoPath
	}
	return sendNotRun
}

// noPathCause is the cause of requests for a service to which neither this host nor one that it knows has a path.
const noPathCause = "no-path"

// handleFailedResponse handles an engine's error response: it forwards the response on the last attempt, and otherwise has
// another engine tried.
func (ex *exchange) handleFailedResponse(req *grantRequest, resp *dial.Response, lastAttempt bool) sendResult {
	ex.logDecision("send", req.place.Instance.ID, "failed", http.StatusText(resp.StatusCode))
	ex.release(req, grant.Failed, 0, 0)
	if ex.committed || !lastAttempt {
		resp.Abort()
		return sendBroken
	}
	body, err := resp.ReadBody(maxBufferedBody)
	if err != nil || !resp.Complete() {
		resp.Abort()
		return sendBroken
	}
	ex.forwardResponse(resp, body)
	return sendDone
}
