package front

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strconv"

	"shallotgap/core/census"
	"shallotgap/core/layout"
	"shallotgap/core/pick"
	"shallotgap/io/dial"
	"shallotgap/io/quota"
)

// isPlainStream reports whether the response of a plain service is a stream whose events are forwarded as they come. The end of its
// connection is no proof that it is whole: that of a crashed endpoint looks the same. One with a length is read like other bodies, as its
// length tells its end, unless a stream goes on.
func (ex *exchange) isPlainStream(resp *dial.Response, v Verdict) bool {
	return ex.route.Kind == layout.Stream && resp.StatusCode/100 == http.StatusOK/100 && (resp.ContentLength < 0 || ex.committed) &&
		v.Authentic && !v.Mismatched && !v.NotRun && beginsEvents(resp)
}

// forwardPlainStream forwards the events of a plain service. A stream that breaks off may go on at another endpoint, if the route allows it.
func (ex *exchange) forwardPlainStream(ctx context.Context, e census.Entry, events *eventStream, resp *dial.Response, v Verdict) sendResult {
	ex.mayHaveRun = true
	if !events.continues(resp) {
		resp.Abort()
		ex.endSend(e, pick.Bad, v.Load)
		ex.logDecision("send", e.Instance.ID, "other-form", "type="+strconv.Quote(resp.Header.Get("Content-Type"))+" began="+strconv.Quote(events.mediaType))
		return sendBroken
	}
	events.start(resp, func() { ex.bindTo(e.Build, "", true) })
	err := events.copy(resp)
	switch {
	case err == nil:
		ex.endSend(e, pick.Good, v.Load)
		ex.recordSound()
		ex.Meter.ObserveDuration("shallotgap_first_event_seconds", events.firstAt.Sub(ex.receivedAt))
		ex.logDecision("end", e.Instance.ID, "served", fmt.Sprintf("first=%dms gap=%dms end=%s", events.firstAt.Sub(ex.receivedAt).Milliseconds(), events.maxGap.Milliseconds(), resp.End()))
		return sendDone
	case ctx.Err() != nil:
		resp.Abort()
		ex.endSend(e, pick.Ignored, v.Load)
		return sendBroken
	}
	resp.Abort()
	ex.endSend(e, pick.Bad, v.Load)
	ex.logDecision("send", e.Instance.ID, "broken", "begun=true wrote="+events.wrote().String()+" end="+resp.End()+" cause="+strconv.Quote(err.Error()))
	if !errors.Is(err, quota.ErrEvicted) {
		ex.checkCrash(ctx, e.Instance, e.Address)
	}
	return sendBroken
}
