package reach

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"shallotgap/core/burn"
	"shallotgap/core/ident"
	"shallotgap/core/reach"
	"shallotgap/io/clock"
	"shallotgap/io/dial"
	"shallotgap/io/logs"
	"shallotgap/io/metric"
)

// refused is an opener of a host all of whose connections to endpoints are refused.
func refused(context.Context, string, string) (net.Conn, error) {
	return nil, &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}
}

// newClient returns a client without a path, or with one if open is nil, and its address for other hosts.
func newClient(tb testing.TB, open dial.Opener) (*Client, reach.Relay) {
	tb.Helper()
	common, err := logs.New(io.Discard, "h", "error")
	assert.NilError(tb, err)
	c := New(common, Config{Open: open, Meter: metric.New(burn.Targets{})})
	s := httptest.NewServer(c)
	tb.Cleanup(s.Close)
	return c, reach.Relay{Host: ident.HostID(s.Listener.Addr().String())}
}

// endpoint is an endpoint that counts its requests.
type endpoint struct {
	reach.Target
	count  atomic.Int32
	server *httptest.Server
}

func newEndpoint(tb testing.TB, name string, answer http.HandlerFunc) *endpoint {
	tb.Helper()
	e := &endpoint{}
	e.server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		e.count.Add(1)
		answer(w, r)
	}))
	tb.Cleanup(e.server.Close)
	e.Target = reach.Target{Instance: ident.Instance{ID: ident.EndpointID(name), Born: 1}, Service: "s", Address: e.server.Listener.Addr().String()}
	return e
}

func (e *endpoint) request(body string) Request {
	return Request{Target: e.Target, Build: func() dial.Request {
		return dial.Request{
			ID: strconv.FormatUint(rand.Uint64(), 36), Key: Key(e.Instance), Address: e.Address, Method: http.MethodPost, Target: "/a%2Fb/../c?x=1&y", Host: "h.example", Body: []byte(body), HasBody: true,
			Header: http.Header{"X-Mine": {"1", "2"}, "Path": {"p"}, "Method": {"m"}, "Result": {"r"}},
		}
	}}
}

func serveOK(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") }

// A relayed request and its answer are those of a direct one.
func TestRelayedRequestIsUnchanged(t *testing.T) {
	type seen struct {
		Method, Path, Host, Body string
		Header                   http.Header
	}
	var mu sync.Mutex
	var got []seen
	e := newEndpoint(t, "e1", func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		mu.Lock()
		defer mu.Unlock()
		got = append(got, seen{r.Method, r.RequestURI, r.Host, string(body), r.Header})
		w.Header().Set("Keep-Alive", "timeout=9")
		w.Header().Set("X-Answer", "yes")
		w.WriteHeader(http.StatusTeapot)
		_, _ = io.WriteString(w, "short and stout")
	})
	withPath, address := newClient(t, nil)
	withoutPath, _ := newClient(t, refused)
	withoutPath.SetRelays([]reach.Relay{address})
	var answers []string
	for _, c := range []*Client{withPath, withoutPath, withoutPath} {
		resp, err := c.Do(t.Context(), e.request("hello"))
		assert.NilError(t, err)
		body, err := io.ReadAll(resp)
		assert.NilError(t, err)
		assert.Assert(t, resp.Complete())
		resp.Header.Del("Date")
		answers = append(answers, fmt.Sprint(resp.StatusCode, resp.Header, resp.ContentLength, string(body)))
		resp.Finish()
	}
	assert.DeepEqual(t, got[1], got[0])
	assert.DeepEqual(t, got[2], got[0])
	assert.Equal(t, answers[1], answers[0])
	assert.Equal(t, answers[2], answers[0])
	opened, _ := withoutPath.hosts.Counts()
	assert.Equal(t, opened, int64(1), "the connection to the relay is kept")
	opened, _ = withPath.Counts()
	assert.Equal(t, opened, int64(1), "the relay keeps its connection to the endpoint")
}

// Events are passed on as they come, and the endpoint is told within half a second that the caller has left.
func TestRelayedStream(t *testing.T) {
	next := make(chan struct{})
	left := make(chan struct{})
	e := newEndpoint(t, "e1", func(w http.ResponseWriter, r *http.Request) {
		for n := range 2 {
			_, _ = fmt.Fprintf(w, "id: %d\n\n", n)
			_ = http.NewResponseController(w).Flush()
			<-next
		}
		<-r.Context().Done()
		close(left)
	})
	_, address := newClient(t, nil)
	c, _ := newClient(t, refused)
	c.SetRelays([]reach.Relay{address})
	ctx, leave := context.WithCancel(t.Context())
	defer leave()
	resp, err := c.Do(ctx, e.request(""))
	assert.NilError(t, err)
	buf := make([]byte, 64)
	for n := range 2 {
		size, err := resp.Read(buf)
		assert.NilError(t, err)
		assert.Equal(t, string(buf[:size]), fmt.Sprintf("id: %d\n\n", n))
		next <- struct{}{}
	}
	leave()
	select {
	case <-left:
	case <-time.After(500 * time.Millisecond):
		t.Fatal("the endpoint still works for a caller that has left")
	}
	resp.Abort()
}

// What became of a send is told truthfully whatever happens to the relay, and nothing is sent twice.
func TestFailuresOfRelays(t *testing.T) {
	hang := func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }
	breakOff := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", "100")
		_, _ = io.WriteString(w, "half")
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	for name, c := range map[string]struct {
		answer http.HandlerFunc
		// relays are the first relays, before one that works if last is set.
		relays func(t *testing.T) []reach.Relay
		last   bool
		kill   bool // the first relay's connections break while the endpoint works
		sent   bool
		served bool
		noPath bool
		runs   int32
	}{
		"no relay known":           {serveOK, nil, false, false, false, false, true, 0},
		"a relay without a path":   {serveOK, withoutPath, false, false, false, false, true, 0},
		"the next one has a path":  {serveOK, withoutPath, true, false, false, true, false, 1},
		"a relay that is down":     {serveOK, down, false, false, false, false, true, 0},
		"the next one is not down": {serveOK, down, true, false, false, true, false, 1},
		"a relay that drains":      {serveOK, draining, true, false, false, true, false, 1},
		"a relay at its limit":     {serveOK, full, true, false, false, true, false, 1},
		"a host that can't relay":  {serveOK, earlier, true, false, false, true, false, 1},
		"a relay that is killed":   {hang, nil, true, true, true, false, false, 1},
		"an answer that breaks":    {breakOff, nil, true, false, true, true, false, 1},
	} {
		t.Run(name, func(t *testing.T) {
			e := newEndpoint(t, "e1", c.answer)
			client, _ := newClient(t, refused)
			var list []reach.Relay
			if c.relays != nil {
				list = c.relays(t)
			}
			var working *httptest.Server
			if c.last {
				r, _ := newClient(t, nil)
				working = httptest.NewServer(r)
				t.Cleanup(working.Close)
				list = append(list, reach.Relay{Host: ident.HostID(working.Listener.Addr().String())})
			}
			client.SetRelays(list)
			if c.kill {
				go func() {
					poll.WaitOn(t, func(poll.LogT) poll.Result {
						if e.count.Load() > 0 {
							return poll.Success()
						}
						return poll.Continue("the endpoint has no request yet")
					})
					working.CloseClientConnections()
				}()
			}
			resp, err := client.Do(t.Context(), e.request(""))
			var failed *dial.Error
			assert.Equal(t, err == nil, c.served, "%v", err)
			if errors.As(err, &failed) {
				assert.Equal(t, failed.Sent, c.sent, "%v", err)
				assert.Equal(t, errors.Is(err, ErrNoPath), c.noPath, "%v", err)
			}
			if resp != nil {
				_, err = io.ReadAll(resp)
				assert.Equal(t, err != nil, c.sent, "an answer that breaks off looks complete, or the reverse: %v", err)
				resp.Abort()
			}
			assert.Equal(t, e.count.Load(), c.runs)
		})
	}
}

func withoutPath(t *testing.T) []reach.Relay {
	hung := func(ctx context.Context, _, _ string) (net.Conn, error) { <-ctx.Done(); return nil, ctx.Err() }
	_, r := newClient(t, hung)
	return []reach.Relay{r}
}

func down(t *testing.T) []reach.Relay {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = l.Close() }()
	return []reach.Relay{{Host: ident.HostID(l.Addr().String())}}
}

// earlier returns a host of an earlier release, which takes links only.
func earlier(t *testing.T) []reach.Relay {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { http.Error(w, "no link", http.StatusUpgradeRequired) }))
	t.Cleanup(s.Close)
	return []reach.Relay{{Host: ident.HostID(s.Listener.Addr().String())}}
}

func draining(t *testing.T) []reach.Relay {
	c, r := newClient(t, nil)
	c.Drain()
	return []reach.Relay{r}
}

func full(t *testing.T) []reach.Relay {
	c, r := newClient(t, nil)
	c.count.Store(maxRelayed)
	return []reach.Relay{r}
}

// A relay without a path does not pass a request on to another relay.
func TestNothingIsRelayedTwice(t *testing.T) {
	e := newEndpoint(t, "e1", serveOK)
	_, third := newClient(t, nil)
	second, address := newClient(t, refused)
	second.SetRelays([]reach.Relay{third})
	first, _ := newClient(t, refused)
	first.SetRelays([]reach.Relay{address})
	_, err := first.Do(t.Context(), e.request(""))
	assert.Assert(t, err != nil)
	assert.Equal(t, e.count.Load(), int32(0))
}

// Only an address at which nothing listens counts as such: connections of a host that is cut off are refused too.
func TestRefusedConnections(t *testing.T) {
	for name, c := range map[string]struct {
		open    dial.Opener // of the relay
		ended   bool        // nothing listens at the endpoint's address
		refused bool
	}{
		"the endpoint has ended":             {nil, true, true},
		"this host is cut off":               {nil, false, false},
		"both hosts are cut off":             {refused, false, false},
		"both are, and the endpoint is gone": {refused, true, false},
	} {
		t.Run(name, func(t *testing.T) {
			e, other := newEndpoint(t, "e1", serveOK), newEndpoint(t, "e2", serveOK)
			relay, address := newClient(t, c.open)
			client, _ := newClient(t, refused)
			client.SetRelays([]reach.Relay{address})
			for _, x := range []*Client{relay, client} {
				x.succeed(e.Target)
				x.succeed(other.Target)
			}
			if c.ended {
				e.server.Close()
			}
			err := client.Check(t.Context(), e.Target)
			assert.Equal(t, errors.Is(err, syscall.ECONNREFUSED), c.refused, "%v", err)
			if name == "this host is cut off" {
				assert.NilError(t, err)
			}
		})
	}
}

// A request is not sent any more after its time, also not by a relay.
func TestTooLateForRelay(t *testing.T) {
	e := newEndpoint(t, "e1", serveOK)
	_, address := newClient(t, nil)
	c, _ := newClient(t, refused)
	c.SetRelays([]reach.Relay{address})
	r := e.request("")
	r.Until = clock.Boot() - 1
	_, err := c.Do(t.Context(), r)
	assert.ErrorIs(t, err, errTooLate)
	assert.Equal(t, e.count.Load(), int32(0))
}

// The path of a request without an answer is probed, while nothing arrives from any endpoint.
func TestSilentPathIsNoticed(t *testing.T) {
	e := newEndpoint(t, "e1", func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
	c, _ := newClient(t, nil)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go func() { _ = c.Run(ctx) }()
	go func() {
		if resp, err := c.Do(ctx, e.request("")); err == nil {
			resp.Abort()
		}
	}()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if opened, _ := c.Counts(); opened >= 2 {
			return poll.Success()
		}
		return poll.Continue("the path of a request without an answer is not probed yet")
	}, poll.WithTimeout(2*time.Second))
}

// A lost path is noticed although the time of each request is shorter than that of a connection.
func TestShortRequestsNoticeLostPath(t *testing.T) {
	hung := func(ctx context.Context, _, _ string) (net.Conn, error) { <-ctx.Done(); return nil, ctx.Err() }
	endpoints := []*endpoint{newEndpoint(t, "e1", serveOK), newEndpoint(t, "e2", serveOK)}
	c, _ := newClient(t, hung)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go func() { _ = c.Run(ctx) }()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		short, end := context.WithTimeout(ctx, 50*time.Millisecond)
		defer end()
		for _, e := range endpoints {
			if resp, err := c.Do(short, e.request("")); err == nil {
				resp.Abort()
			}
		}
		if c.CutOff("s") {
			return poll.Success()
		}
		return poll.Continue("the service does not count as cut off yet")
	}, poll.WithTimeout(2*time.Second))
}

// BenchmarkSend compares a direct request with one through a relay.
func BenchmarkSend(b *testing.B) {
	for name, open := range map[string]dial.Opener{"direct": nil, "relayed": refused} {
		b.Run(name, func(b *testing.B) {
			e := newEndpoint(b, "e1", serveOK)
			_, address := newClient(b, nil)
			c, _ := newClient(b, open)
			c.SetRelays([]reach.Relay{address})
			for b.Loop() {
				resp, err := c.Do(b.Context(), e.request("hello"))
				assert.NilError(b, err)
				_, _ = io.ReadAll(resp)
				resp.Finish()
			}
		})
	}
}

// BenchmarkToken compares an event of a stream that comes directly with one through a relay.
func BenchmarkToken(b *testing.B) {
	for name, open := range map[string]dial.Opener{"direct": nil, "relayed": refused} {
		b.Run(name, func(b *testing.B) {
			next := make(chan struct{})
			e := newEndpoint(b, "e1", func(w http.ResponseWriter, _ *http.Request) {
				for range next {
					_, _ = io.WriteString(w, "id: 1\ndata: {\"text\":\"some tokens of a text\"}\n\n")
					_ = http.NewResponseController(w).Flush()
				}
			})
			_, address := newClient(b, nil)
			c, _ := newClient(b, open)
			c.SetRelays([]reach.Relay{address})
			go func() { next <- struct{}{} }()
			resp, err := c.Do(b.Context(), e.request("hello"))
			assert.NilError(b, err)
			buf := make([]byte, 256)
			_, _ = resp.Read(buf)
			for b.Loop() {
				next <- struct{}{}
				if _, err := resp.Read(buf); err != nil {
					b.Fatal(err)
				}
			}
			close(next)
			resp.Abort()
		})
	}
}
