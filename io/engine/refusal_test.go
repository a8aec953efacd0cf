package engine_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"shallotgap/core/lease"
	"shallotgap/core/work"
	"shallotgap/io/engine"
	"shallotgap/io/logs"
	"shallotgap/io/relay"
)

const refusal = "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n"

// repeatRefusals serves an engine that refuses every second request. It writes a refusal once more in place of the next answer on the same
// connection, and runs that request. It returns the engine's URL and a function that reports whether a request ran.
func repeatRefusals(t *testing.T) (url string, hasRun func(id string) bool) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	var mu sync.Mutex
	arrived, ran := 0, map[string]bool{}
	serveConn := func(c net.Conn) {
		defer func() { _ = c.Close() }()
		in, refused := bufio.NewReader(c), false
		for {
			r, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, r.Body)
			mu.Lock()
			arrived++
			refuse := arrived%2 == 1 && !refused
			if !refuse {
				ran[r.Header.Get(engine.RequestIDHeader)] = true
			}
			mu.Unlock()
			switch {
			case refuse || refused:
				refused = refuse
				_, _ = io.WriteString(c, refusal)
			default:
				_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
			}
		}
	}
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go serveConn(c)
		}
	}()
	return "http://" + listener.Addr().String(), func(id string) bool { mu.Lock(); defer mu.Unlock(); return ran[id] }
}

// An engine wrote a refusal once more on a kept connection, and the next request, which ran, counted as not sent.
func TestRepeatedRefusalIsToldApart(t *testing.T) {
	common, err := logs.New(io.Discard, "e1", "info")
	assert.NilError(t, err)
	url, hasRun := repeatRefusals(t)
	client := engine.New(common, engine.Config{})
	outcomes := map[work.EndState]int{}
	for n := range uint64(200) {
		d := dispatch(url, lease.Engine, "")
		d.Request.ID.Seq, d.Endpoint.EchoesID = n+1, false
		ended := client.Run(context.Background(), d, relay.Call{Method: http.MethodPost, Path: path, Body: []byte("{}")}, func(relay.Chunk) {})
		outcomes[ended.State]++
		assert.Check(t, ended.State != work.NotSent || !hasRun(d.Request.ID.String()), "request %d ran and counts as not sent", n+1)
	}
	assert.Assert(t, outcomes[work.NotSent] > 0 && outcomes[work.Answered] > 0, "%v", outcomes)
}

// Bytes that are no event of the stream must not reach the caller, and a stream without its end mark is not complete.
func FuzzStream(f *testing.F) {
	f.Add("data: " + body + "\n\ndata: [DONE]\n\n")
	f.Add("data: " + body + "\n\nHTTP/1.1 503 x\r\nContent-Type: text/plain\r\n\r\nno\n\n")
	f.Add("internal error\n\ndata: {\"error\":\"x\"}\n\ndata: [DONE]\n\n")
	common, err := logs.New(io.Discard, "e1", "info")
	assert.NilError(f, err)
	f.Fuzz(func(t *testing.T, text string) {
		e := &endpoint{answer: answerWith(200, "text/event-stream", text)}
		e.arrived.Add(1)
		server := newServer(t, e)
		var got []relay.Chunk
		d := dispatch(server, lease.Engine, "")
		d.Request.TimeLeft = 5 * time.Second
		ended := engine.New(common, engine.Config{}).Run(context.Background(), d, relay.Call{Method: http.MethodPost, Path: path, Stream: true}, func(c relay.Chunk) { got = append(got, c) })
		complete := len(got) > 0 && got[len(got)-1].End
		assert.Equal(t, ended.State == work.Answered, complete)
		for _, c := range got {
			assert.Assert(t, len(c.Data) > 6 && string(c.Data[:6]) == "data: ", "%q", c.Data)
		}
	})
}
