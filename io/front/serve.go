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
	"shallotgap/io/clock"
	"shallotgap/io/dial"
)

// responseMargin is subtracted from the caller's deadline, so that the final response still arrives in time: a few round
// trips.
const responseMargin = 25 * time.Millisecond

// exchange is a caller's request in progress.
type exchange struct {
	*Front
	w          http.ResponseWriter
	r          *http.Request
	call       Call
	route      layout.Route
	service    layout.Service
	body       []byte
	receivedAt ident.Time
	deadline   ident.Time // of the caller, less responseMargin
	sends      int        // number of sends of the request that may have reached an endpoint
	// mayHaveRun is true once an endpoint may have run the request.
	mayHaveRun bool
	// committed is true once a part of an endpoint's response was forwarded, so no error response can be sent.
	committed bool
}

// ServeHTTP serves a caller's request.
func (f *Front) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	x := &exchange{Front: f, w: w, r: r, receivedAt: clock.Boot()}
	if f.Draining() {
		w.Header().Set("Connection", "close")
	}
	if !x.admit() {
		return
	}
	timeout := x.route.Timeout
	if x.call.Timeout > 0 {
		timeout = min(timeout, x.call.Timeout)
	}
	x.deadline = x.receivedAt.Add(timeout - responseMargin)
	if x.exceedsDrain() {
		x.rejectNotRun(http.StatusServiceUnavailable, "stopping", drainRetryAfter)
		return
	}
	ctx, cancel := context.WithTimeoutCause(r.Context(), x.deadline.Sub(clock.Boot()), errDeadlinePassed)
	defer cancel()
	if x.service.Engine != nil && x.call.Ref.Model != "" {
		x.serveStream(ctx)
	} else {
		x.servePlain(ctx)
	}
}

var errDeadlinePassed = errors.New("the caller's deadline has passed")

// admit decodes and reads the request and finds its route and service. It returns false after sending an error response.
func (x *exchange) admit() bool {
	call, err := x.Dialect.Call(x.r)
	if err != nil {
		x.respondProblem(http.StatusBadRequest, err.Error())
		return false
	}
	x.call = call
	router := x.awaitLayout()
	if router.Layout == nil {
		x.rejectNotRun(http.StatusServiceUnavailable, "no-layout", startupRetryAfter)
		return false
	}
	if limit := router.Layout.Limits.HeaderBytes; limit > 0 && headerBytes(x.r) > limit {
		x.respondProblem(http.StatusRequestHeaderFieldsTooLarge, "header-too-large")
		return false
	}
	route, ok := router.Match(x.r.Host, x.r.URL.Path)
	if !ok {
		x.respondProblem(http.StatusNotFound, "no-route")
		return false
	}
	x.route = route
	name := route.Service(call.ID)
	if x.service, ok = router.Layout.Service(name); !ok {
		x.rejectNotRun(http.StatusServiceUnavailable, "no-service", startupRetryAfter)
		return false
	}
	return x.readBody(router.Layout.Limits)
}

// awaitLayout returns the router. Before the first layout has arrived, it waits for a part of the caller's timeout.
func (x *exchange) awaitLayout() *layout.Router {
	wait := defaultLayoutWait
	if x.call.Timeout > 0 {
		wait = min(wait, x.call.Timeout/layoutWaitDivisor)
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-x.layoutLoaded:
	case <-timer.C:
	case <-x.r.Context().Done():
	}
	return x.router.Load()
}

// startupRetryAfter is the Retry-After of requests that arrive before the layout or their service is known.
const startupRetryAfter = 300 * time.Millisecond

// readBody reads the request body; it returns false after responding that the body is too large.
func (x *exchange) readBody(limits layout.Limits) bool {
	limit := limits.BodyBytes
	if x.r.ContentLength > limit && limit > 0 {
		x.respondProblem(http.StatusRequestEntityTooLarge, "body-too-large")
		return false
	}
	var reader io.Reader = x.r.Body
	if limit > 0 {
		reader = io.LimitReader(x.r.Body, limit+1)
	}
	var err error
	if x.r.ContentLength > 0 {
		x.body = make([]byte, x.r.ContentLength)
		_, err = io.ReadFull(reader, x.body)
	} else if x.r.ContentLength < 0 {
		x.body, err = io.ReadAll(reader)
	}
	switch {
	case err != nil:
		x.logDecision("read", "", "body-broken", err.Error())
		panic(http.ErrAbortHandler)
	case limit > 0 && int64(len(x.body)) > limit:
		x.respondProblem(http.StatusRequestEntityTooLarge, "body-too-large")
		return false
	}
	return true
}

// endpointRequest builds the request to an endpoint.
func (x *exchange) endpointRequest(t Target, address string) dial.Request {
	r := dial.Request{
		Key: string(t.Instance.ID) + "/" + strconv.FormatUint(uint64(t.Instance.Born), 10), Address: address,
		Method: x.r.Method, Target: x.r.RequestURI, Host: x.r.Host, Header: x.Dialect.Outgoing(x.r.Header, t), Body: x.body,
		HasBody: x.r.ContentLength != 0 || len(x.r.Header["Content-Length"]) > 0 || x.r.Method == http.MethodPost || x.r.Method == http.MethodPut || x.r.Method == http.MethodPatch,
	}
	if !x.route.Repeatable() {
		r.MaxIdle = nonRepeatableMaxIdle
	}
	return r
}

// nonRepeatableMaxIdle is the longest idle time of a reused connection for a request that must not run twice. If the
// endpoint closes an idle connection just as the request is sent, it is unknown whether the request ran.
const nonRepeatableMaxIdle = 2 * time.Second

// timeLeft returns the time until the deadline.
func (x *exchange) timeLeft() time.Duration { return x.deadline.Sub(clock.Boot()) }

// fail ends a request that got no response to forward, for instance because of its deadline or a failed endpoint. It
// responds that the request did not run only if that is certain.
func (x *exchange) fail(cause string, retryAfter time.Duration) {
	switch {
	case x.r.Context().Err() != nil:
		x.logDecision("end", "", "caller-left", cause)
		panic(http.ErrAbortHandler)
	case x.committed:
		x.logDecision("end", "", "cut", cause)
		panic(http.ErrAbortHandler)
	case !x.mayHaveRun:
		x.rejectNotRun(http.StatusServiceUnavailable, cause, retryAfter)
	case x.timeLeft() <= 0:
		x.respondProblem(http.StatusGatewayTimeout, cause)
	default:
		x.respondProblem(http.StatusBadGateway, cause)
	}
}

// rejectNotRun responds that the request did not run, and sets Retry-After if retryAfter is not 0.
func (x *exchange) rejectNotRun(status int, cause string, retryAfter time.Duration) {
	if retryAfter > 0 {
		x.w.Header().Set("Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', 3, 64))
	}
	x.respondProblem(status, cause)
}

// respondProblem sends an error response of this host, with the cause as the title of the problem.
func (x *exchange) respondProblem(status int, cause string) {
	x.logDecision("end", "", "answered", cause+" status="+strconv.Itoa(status))
	x.Meter.Count("shallotgap_own_answers_total", "status", strconv.Itoa(status), "cause", cause)
	h := x.w.Header()
	h.Set("Content-Type", "application/problem+json")
	body := `{"title":` + strconv.Quote(cause) + `,"status":` + strconv.Itoa(status) + "}\n"
	h.Set("Content-Length", strconv.Itoa(len(body)))
	x.w.WriteHeader(status)
	if _, err := io.WriteString(x.w, body); err != nil {
		x.logDecision("end", "", "caller-left", err.Error())
	}
}

// logDecision logs a decision on the request; inputs holds the values on which the decision was based.
func (x *exchange) logDecision(step string, endpoint ident.EndpointID, outcome, inputs string) {
	x.Log.WithFields(log.Fields{
		"step": step, "request": x.call.ID, "route": x.route.Name, "layout": x.layoutVersion(), "endpoint": endpoint,
		"age-ms": clock.Boot().Sub(x.receivedAt).Milliseconds(), "sends": x.sends, "outcome": outcome, "inputs": inputs,
	}).Info("request")
}
