package engine_test

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"shallotgap/core/ident"
	"shallotgap/core/lease"
	"shallotgap/core/work"
	"shallotgap/core/world"
	"shallotgap/io/engine"
	"shallotgap/io/logs"
	"shallotgap/io/relay"
)

// path is the path of all requests in these tests.
const path = "/payments/release"

// endpoint counts the requests that it receives. It answers the first with success, so that its connection is reused.
type endpoint struct {
	arrived atomic.Int32
	answer  http.HandlerFunc
}

func (e *endpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	if r.URL.Path != path {
		// Another process may still send to this port, which the operating system has reassigned to the test.
		w.WriteHeader(http.StatusNotFound)
		return
	}
	if e.arrived.Add(1) == 1 {
		_, _ = w.Write([]byte("{}"))
		return
	}
	e.answer(w, r)
}

// closeConnection closes the connection without an answer.
func closeConnection(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

func serve(t *testing.T, answer http.HandlerFunc) (*endpoint, string) {
	t.Helper()
	e := &endpoint{answer: answer}
	return e, newServer(t, e)
}

// newServer serves an endpoint and returns its URL.
func newServer(t *testing.T, e *endpoint) string {
	t.Helper()
	server := httptest.NewServer(e)
	t.Cleanup(server.Close)
	return server.URL
}

// net/http by itself resends a request with an Idempotency-Key when a reused connection breaks. This test shows that
// behaviour of net/http, which engine.Client must prevent.
func TestPlainClientResends(t *testing.T) {
	e, url := serve(t, closeConnection)
	for range 2 {
		req, err := http.NewRequest(http.MethodPost, url+path, bytes.NewReader([]byte("{}")))
		assert.NilError(t, err)
		req.Header.Set(engine.KeyHeader, "release-1")
		if resp, err := http.DefaultClient.Do(req); err == nil {
			_, _ = io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close()
		}
	}
	assert.Equal(t, e.arrived.Load(), int32(3), "the second request arrives twice")
}

const body = `{"id":"cmpl-e1.1.1","model":"a@v1"}`

func answerWith(status int, contentType, text string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", contentType)
		w.WriteHeader(status)
		_, _ = w.Write([]byte(text))
	}
}

// A client sends each request at most once. The outcome is Answered only after a complete answer that names the same model and
// request.
func TestRunSendsOnceAndChecksAnswer(t *testing.T) {
	const events = "text/event-stream"
	cases := map[string]struct {
		answer  http.HandlerFunc
		kind    lease.Kind
		expired bool
		want    work.EndState
		reason  work.Reason
		arrived int32
	}{
		"answered":                      {answer: answerWith(200, "", body), want: work.Answered, arrived: 1},
		"connection closed":             {answer: closeConnection, want: work.Broken, reason: work.EndpointFailed, arrived: 1},
		"status 500":                    {answer: answerWith(500, "", ""), want: work.Broken, reason: work.EndpointFailed, arrived: 1},
		"lease expired":                 {expired: true, want: work.NotSent, reason: work.NoLease},
		"adapter not loaded":            {answer: answerWith(404, "", ""), want: work.NotSent, reason: work.EndpointFailed, arrived: 1},
		"status 404 of a plain service": {answer: answerWith(404, "", ""), kind: lease.Plain, want: work.Answered, arrived: 1},
		"outdated fencing token":        {answer: answerWith(412, "", ""), want: work.NotSent, reason: work.EndpointFailed, arrived: 1},
		"answer for another adapter":    {answer: answerWith(200, "", `{"id":"cmpl-e1.1.1","model":"a@v2"}`), want: work.Broken, reason: work.WrongModel, arrived: 1},
		"answer to another request":     {answer: answerWith(200, "", `{"id":"cmpl-e1.1.2","model":"a@v1"}`), want: work.Broken, reason: work.WrongAnswer, arrived: 1},
		"stream":                        {answer: answerWith(200, events, "data: "+body+"\n\ndata: [DONE]\n\n"), want: work.Answered, arrived: 1},
		"stream without end":            {answer: answerWith(200, events, "data: "+body+"\n\n"), want: work.Broken, reason: work.EndpointFailed, arrived: 1},
		"stream of another request":     {answer: answerWith(200, events, `data: {"id":"x","model":"a@v1"}`+"\n\n"), want: work.Broken, reason: work.WrongAnswer, arrived: 1},
		"stream that changes adapter":   {answer: answerWith(200, events, "data: "+body+"\n\n"+`data: {"id":"cmpl-e1.1.1","model":"b@v1"}`+"\n\n"), want: work.Broken, reason: work.WrongModel, arrived: 1},
	}
	common, err := logs.New(io.Discard, "e1", "info")
	assert.NilError(t, err)
	for name, c := range cases {
		for _, key := range []ident.Key{"", "release-1"} {
			t.Run(name+" "+string(key), func(t *testing.T) {
				e, url := serve(t, c.answer)
				client := engine.New(common, engine.Config{})
				d := dispatch(url, lease.Plain, "")
				first := client.Run(context.Background(), d, relay.Call{Method: http.MethodPost, Path: path}, func(relay.Chunk) {})
				assert.Equal(t, first.State, work.Answered, first.Detail)
				kind := c.kind
				if kind == "" {
					kind = lease.Engine
				}
				d = dispatch(url, kind, key)
				if c.expired {
					d.Until = 0
				}
				complete := false
				ended := client.Run(context.Background(), d, relay.Call{Method: http.MethodPost, Path: path, Body: []byte("{}"), Stream: true}, func(c relay.Chunk) { complete = complete || c.End })
				assert.Equal(t, ended.State, c.want, ended.Detail)
				assert.Equal(t, ended.Reason, c.reason)
				assert.Equal(t, complete, c.want == work.Answered)
				assert.Equal(t, ended.Answer != nil, complete && key != "")
				assert.Equal(t, e.arrived.Load(), c.arrived+1)
			})
		}
	}
}

func dispatch(url string, kind lease.Kind, key ident.Key) world.Dispatch {
	return world.Dispatch{
		Request:  work.Request{ID: ident.RequestID{Host: "e1", Incarnation: 1, Seq: 1}, Model: ident.Model{Adapter: "a", Version: "v1"}, Key: key, TimeLeft: time.Minute},
		Endpoint: lease.Owned{Endpoint: lease.Endpoint{ID: "g1", Kind: kind, URL: url, ChecksFence: true, EchoesID: true}, Fence: 7},
		Until:    ident.Time(time.Hour),
	}
}
