package front

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/apex/log"

	"shallotgap/core/ident"
	"shallotgap/core/layout"
	"shallotgap/core/poison"
	corereach "shallotgap/core/reach"
	"shallotgap/io/abort"
	"shallotgap/io/clock"
	"shallotgap/io/dial"
	"shallotgap/io/reach"
)

// responseMargin is subtracted from the caller's deadline, so that the final response still arrives in time: a few round
// trips.
const responseMargin = 25 * time.Millisecond

// exchange is a caller's request in progress.
type exchange struct {
	*Front
	binding
	w          http.ResponseWriter
	r          *http.Request
	call       Call
	route      layout.Route
	service    layout.Service
	body       []byte
	receivedAt ident.Time
	deadline   ident.Time // the caller's deadline minus responseMargin
	sends      int        // number of sends of the request that may have reached an endpoint
	// mayHaveRun is true once an endpoint may have run the request.
	mayHaveRun bool
	// committed is true once a part of an endpoint's response was forwarded, so no error response can be sent.
	committed bool
	// whole are the parts that stand for the whole request, once they are needed; see wholeParts.
	whole []poison.Part
	// rejections is the number of sends that endpoints rejected without running the request.
	rejections int
	// lastFull is true if the latest rejection was for want of room.
	lastFull bool
}

// ServeHTTP serves a caller's request.
func (f *Front) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	ex := &exchange{Front: f, w: w, r: r, receivedAt: clock.Boot()}
	if f.Draining() {
		w.Header().Set("Connection", "close")
	}
	if !ex.admit() {
		return
	}
	timeout := ex.route.Timeout
	if ex.call.Timeout > 0 {
		timeout = min(timeout, ex.call.Timeout)
	}
	ex.deadline = ex.receivedAt.Add(timeout - responseMargin)
	if ex.outlastsHost() {
		ex.rejectNotRun(http.StatusServiceUnavailable, stoppingCause, drainRetryAfter)
		return
	}
	ctx, cancel := ex.withEnd()
	defer cancel()
	if ex.Paths.Hopeless(ex.service.Name) {
		ex.fail(noPathCause, failedRetryAfter)
		return
	}
	if !ex.bindResumed(ctx) {
		return
	}
	if ex.service.Engine != nil && ex.call.Ref.Model != "" {
		ex.serveStream(ctx)
	} else {
		ex.servePlain(ctx)
	}
}

var errDeadlinePassed = errors.New("the caller's deadline has passed")

// admit decodes and reads the request and finds its route and service. It returns false after sending an error response.
func (ex *exchange) admit() bool {
	call, err := ex.Dialect.Call(ex.r)
	if err != nil {
		ex.respondProblem(http.StatusBadRequest, err.Error())
		return false
	}
	ex.call = call
	router := ex.awaitLayout()
	if router.Layout == nil {
		ex.rejectNotRun(http.StatusServiceUnavailable, "no-layout", startupRetryAfter)
		return false
	}
	if limit := router.Layout.Limits.HeaderBytes; limit > 0 && headerBytes(ex.r) > limit {
		ex.respondProblem(http.StatusRequestHeaderFieldsTooLarge, "header-too-large")
		return false
	}
	route, ok := router.Match(ex.r.Host, ex.r.URL.Path)
	if !ok {
		ex.respondProblem(http.StatusNotFound, "no-route")
		return false
	}
	ex.route = route
	name := route.Service(call.ID)
	if ex.service, ok = router.Layout.Service(name); !ok {
		ex.rejectNotRun(http.StatusServiceUnavailable, "no-service", startupRetryAfter)
		return false
	}
	return ex.readBody(router.Layout.Limits)
}

// awaitLayout returns the router. Before the first layout has arrived, it waits for a part of the caller's timeout.
func (ex *exchange) awaitLayout() *layout.Router {
	wait := defaultLayoutWait
	if ex.call.Timeout > 0 {
		wait = min(wait, ex.call.Timeout/layoutWaitDivisor)
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ex.layoutLoaded:
	case <-timer.C:
	case <-ex.r.Context().Done():
	}
	return ex.router.Load()
}

// startupRetryAfter is the Retry-After of requests that arrive before the layout or their service is known.
const startupRetryAfter = 300 * time.Millisecond

// readBody reads the request body; it returns false after responding that the body is too large.
func (ex *exchange) readBody(limits layout.Limits) bool {
	limit := limits.BodyBytes
	if ex.r.ContentLength > limit && limit > 0 {
		ex.respondProblem(http.StatusRequestEntityTooLarge, "body-too-large")
		return false
	}
	var reader io.Reader = ex.r.Body
	if limit > 0 {
		reader = io.LimitReader(ex.r.Body, limit+1)
	}
	var err error
	if ex.r.ContentLength > 0 {
		ex.body = make([]byte, ex.r.ContentLength)
		_, err = io.ReadFull(reader, ex.body)
	} else if ex.r.ContentLength < 0 {
		ex.body, err = io.ReadAll(reader)
	}
	switch {
	case err != nil:
		ex.logDecision("read", "", "body-broken", err.Error())
		abort.Answer(ex.w, ex.r)
	case limit > 0 && int64(len(ex.body)) > limit:
		ex.respondProblem(http.StatusRequestEntityTooLarge, "body-too-large")
		return false
	}
	return true
}

// endpointRequest builds the request to an endpoint.
func (ex *exchange) endpointRequest(t Target, address string) dial.Request {
	r := dial.Request{
		ID: ex.call.ID, Key: reach.Key(t.Instance), Address: address,
		Method: ex.r.Method, Target: ex.r.RequestURI, Host: ex.r.Host, Header: ex.Dialect.Outgoing(ex.r.Header, t), Body: ex.body,
		HasBody: ex.r.ContentLength != 0 || len(ex.r.Header["Content-Length"]) > 0 || ex.r.Method == http.MethodPost || ex.r.Method == http.MethodPut || ex.r.Method == http.MethodPatch,
	}
	if !ex.route.Repeatable() {
		r.MaxIdle = nonRepeatableMaxIdle
	}
	return r
}

// send sends the request to an endpoint by any path. The time left is counted when it leaves.
func (ex *exchange) send(ctx context.Context, t Target, address string, verify bool) (*dial.Response, error) {
	return ex.Paths.Do(ctx, reach.Request{Target: ex.reachTarget(t.Instance, address), Verify: verify, Build: func() dial.Request {
		t.Timeout = ex.timeLeft()
		return ex.endpointRequest(t, address)
	}})
}

// reachTarget returns an endpoint of the request's service as a target of paths.
func (ex *exchange) reachTarget(i ident.Instance, address string) corereach.Target {
	return corereach.Target{Instance: i, Service: ex.service.Name, Address: address}
}

// nonRepeatableMaxIdle is the longest idle time of a reused connection for a request that must not run twice. If the
// endpoint closes an idle connection just as the request is sent, it is unknown whether the request ran.
const nonRepeatableMaxIdle = 2 * time.Second

// timeLeft returns the time until the deadline.
func (ex *exchange) timeLeft() time.Duration { return ex.deadline.Sub(clock.Boot()) }

// fail ends a request that got no response to forward, for instance because of its deadline or a failed endpoint. It
// responds that the request did not run only if that is certain.
func (ex *exchange) fail(cause string, retryAfter time.Duration) {
	switch {
	case ex.r.Context().Err() != nil:
		ex.logDecision("end", "", "caller-left", cause)
		abort.Answer(ex.w, ex.r)
	case ex.committed:
		ex.logDecision("end", "", "cut", cause)
		abort.Answer(ex.w, ex.r)
	case !ex.mayHaveRun:
		ex.rejectNotRun(http.StatusServiceUnavailable, cause, retryAfter)
	case ex.timeLeft() <= 0:
		ex.respondProblem(http.StatusGatewayTimeout, cause)
	default:
		ex.respondProblem(http.StatusBadGateway, cause)
	}
}

// rejectNotRun responds that the request did not run, and sets Retry-After if retryAfter is not 0.
func (ex *exchange) rejectNotRun(status int, cause string, retryAfter time.Duration) {
	if retryAfter > 0 {
		ex.w.Header().Set("Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', 3, 64))
	}
	ex.respondProblem(status, cause)
}

// respondProblem sends an error response of this host, with the cause as the title of the problem.
func (ex *exchange) respondProblem(status int, cause string) {
	ex.logDecision("end", "", "answered", cause+" status="+strconv.Itoa(status))
	ex.Meter.Count("shallotgap_own_answers_total", "status", strconv.Itoa(status), "cause", cause)
	h := ex.w.Header()
	h.Set("Content-Type", "application/problem+json")
	body := `{"title":` + strconv.Quote(cause) + `,"status":` + strconv.Itoa(status) + "}\n"
	h.Set("Content-Length", strconv.Itoa(len(body)))
	ex.w.WriteHeader(status)
	if _, err := io.WriteString(ex.w, body); err != nil {
		ex.logDecision("end", "", "caller-left", err.Error())
	}
}

// logDecision logs a decision on the request; inputs holds the values on which the decision was based.
func (ex *exchange) logDecision(step string, endpoint ident.EndpointID, outcome, inputs string) {
	ex.Log.WithFields(log.Fields{
		"step": step, "request": ex.call.ID, "route": ex.route.Name, "layout": ex.layoutVersion(), "endpoint": endpoint,
		"age-ms": clock.Boot().Sub(ex.receivedAt).Milliseconds(), "sends": ex.sends, "outcome": outcome, "inputs": inputs,
	}).Info("request")
}
