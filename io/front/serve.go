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

// answerMargin is how long before its end a caller's time counts as over, so that the final answer still arrives: a few
// round trips.
const answerMargin = 25 * time.Millisecond

// exchange is one caller's request on its way.
type exchange struct {
	*Front
	w       http.ResponseWriter
	r       *http.Request
	call    Call
	route   layout.Route
	service layout.Service
	body    []byte
	began   ident.Time
	end     ident.Time // when the caller's time is over
	sends   int
	// sent is true once an endpoint may have run the request.
	sent bool
	// committed is true once a part of an answer was passed on.
	committed bool
}

// ServeHTTP answers a caller's request.
func (f *Front) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	x := &exchange{Front: f, w: w, r: r, began: clock.Boot()}
	if f.Draining() {
		w.Header().Set("Connection", "close")
	}
	if !x.admit() {
		return
	}
	left := x.route.Timeout
	if x.call.Timeout > 0 {
		left = min(left, x.call.Timeout)
	}
	x.end = x.began.Add(left - answerMargin)
	if x.outlasts() {
		x.refuse(http.StatusServiceUnavailable, "stopping", stopPause)
		return
	}
	ctx, cancel := context.WithTimeoutCause(r.Context(), x.end.Sub(clock.Boot()), errTimeUp)
	defer cancel()
	if x.service.Engine != nil && x.call.Ref.Model != "" {
		x.stream(ctx)
	} else {
		x.plain(ctx)
	}
}

var errTimeUp = errors.New("the caller's time is over")

// admit reads the request and finds its route; false when it was answered already.
func (x *exchange) admit() bool {
	call, err := x.Dialect.Call(x.r)
	if err != nil {
		x.reject(http.StatusBadRequest, err.Error())
		return false
	}
	x.call = call
	router := x.awaitLayout()
	if router.Layout == nil {
		x.refuse(http.StatusServiceUnavailable, "no-layout", startPause)
		return false
	}
	if limit := router.Layout.Limits.HeaderBytes; limit > 0 && headerBytes(x.r) > limit {
		x.reject(http.StatusRequestHeaderFieldsTooLarge, "header-too-large")
		return false
	}
	route, ok := router.Match(x.r.Host, x.r.URL.Path)
	if !ok {
		x.reject(http.StatusNotFound, "no-route")
		return false
	}
	x.route = route
	name := route.Service(call.ID)
	if x.service, ok = router.Layout.Service(name); !ok {
		x.refuse(http.StatusServiceUnavailable, "no-service", startPause)
		return false
	}
	return x.readBody(router.Layout.Limits)
}

// awaitLayout returns the routes; just after a start, it waits for them for a part of the caller's time.
func (x *exchange) awaitLayout() *layout.Router {
	wait := startWait
	if x.call.Timeout > 0 {
		wait = min(wait, x.call.Timeout/layoutPart)
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-x.loaded:
	case <-timer.C:
	case <-x.r.Context().Done():
	}
	return x.router.Load()
}

// startPause is the pause for callers that come before the layout is known.
const startPause = 300 * time.Millisecond

func (x *exchange) readBody(limits layout.Limits) bool {
	limit := limits.BodyBytes
	if x.r.ContentLength > limit && limit > 0 {
		x.reject(http.StatusRequestEntityTooLarge, "body-too-large")
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
		x.note("read", "", "body-broken", err.Error())
		panic(http.ErrAbortHandler)
	case limit > 0 && int64(len(x.body)) > limit:
		x.reject(http.StatusRequestEntityTooLarge, "body-too-large")
		return false
	}
	return true
}

// request returns the request for an endpoint.
func (x *exchange) request(t Target, address string) dial.Request {
	r := dial.Request{
		Key: string(t.Instance.ID) + "/" + strconv.FormatUint(uint64(t.Instance.Born), 10), Address: address,
		Method: x.r.Method, Target: x.r.RequestURI, Host: x.r.Host, Header: x.Dialect.Outgoing(x.r.Header, t), Body: x.body,
		HasBody: x.r.ContentLength != 0 || len(x.r.Header["Content-Length"]) > 0 || x.r.Method == http.MethodPost || x.r.Method == http.MethodPut || x.r.Method == http.MethodPatch,
	}
	if !x.route.Repeatable() {
		r.MaxIdle = freshFor
	}
	return r
}

// freshFor is how long a connection may have been idle for a request that must not run twice: an endpoint that closes
// it at the same moment leaves open whether the request ran.
const freshFor = 2 * time.Second

func (x *exchange) left() time.Duration { return x.end.Sub(clock.Boot()) }

// giveUp answers a request whose time is over or whose endpoint failed: never with a promise that it did not run unless
// that is known.
func (x *exchange) giveUp(cause string, after time.Duration) {
	switch {
	case x.r.Context().Err() != nil:
		x.note("end", "", "caller-left", cause)
		panic(http.ErrAbortHandler)
	case x.committed:
		x.note("end", "", "cut", cause)
		panic(http.ErrAbortHandler)
	case !x.sent:
		x.refuse(http.StatusServiceUnavailable, cause, after)
	case x.left() <= 0:
		x.reject(http.StatusGatewayTimeout, cause)
	default:
		x.reject(http.StatusBadGateway, cause)
	}
}

// refuse answers that the request did not run, and when to come back.
func (x *exchange) refuse(status int, cause string, after time.Duration) {
	if after > 0 {
		x.w.Header().Set("Retry-After", strconv.FormatFloat(after.Seconds(), 'f', 3, 64))
	}
	x.reject(status, cause)
}

func (x *exchange) reject(status int, cause string) {
	x.note("end", "", "answered", cause+" status="+strconv.Itoa(status))
	x.Meter.Count("shallotgap_own_answers_total", "status", strconv.Itoa(status), "cause", cause)
	h := x.w.Header()
	h.Set("Content-Type", "application/problem+json")
	body := `{"title":` + strconv.Quote(cause) + `,"status":` + strconv.Itoa(status) + "}\n"
	h.Set("Content-Length", strconv.Itoa(len(body)))
	x.w.WriteHeader(status)
	if _, err := io.WriteString(x.w, body); err != nil {
		x.note("end", "", "caller-left", err.Error())
	}
}

// note logs one decision on the request.
func (x *exchange) note(step string, endpoint ident.EndpointID, outcome, inputs string) {
	x.Log.WithFields(log.Fields{
		"step": step, "request": x.call.ID, "route": x.route.Name, "layout": x.version(), "endpoint": endpoint,
		"age-ms": clock.Boot().Sub(x.began).Milliseconds(), "sends": x.sends, "outcome": outcome, "inputs": inputs,
	}).Info("request")
}
