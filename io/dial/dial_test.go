package dial_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"shallotgap/io/dial"
)

// serve answers each connection with a script and counts the requests that came.
func serve(t *testing.T, script func(c net.Conn, r *bufio.Reader, n int32)) (string, *atomic.Int32) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	var count atomic.Int32
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				r := bufio.NewReader(c)
				for {
					req, err := http.ReadRequest(r)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, req.Body)
					n := count.Add(1)
					script(c, r, n)
				}
			}()
		}
	}()
	return l.Addr().String(), &count
}

const ok = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

func request(address string) dial.Request {
	return dial.Request{Key: "k", Address: address, Method: http.MethodGet, Target: "/x", Host: "h", Header: http.Header{"Idempotency-Key": {"1"}}}
}

func exchange(t *testing.T, c *dial.Client, address string) (string, error) {
	t.Helper()
	a, err := c.Do(context.Background(), request(address))
	if err != nil {
		return "", err
	}
	defer a.Finish()
	data, err := io.ReadAll(a)
	return string(data), err
}

// A request whose connection breaks is never sent again by itself, not even one that the standard library would repeat.
func TestSentOnce(t *testing.T) {
	address, count := serve(t, func(c net.Conn, _ *bufio.Reader, n int32) {
		if n == 1 {
			_, _ = io.WriteString(c, ok)
			return
		}
		_ = c.Close()
	})
	c := dial.New()
	_, err := exchange(t, c, address)
	assert.NilError(t, err)
	_, err = exchange(t, c, address)
	var failed *dial.Error
	assert.Assert(t, errors.As(err, &failed) && failed.Sent, "%v", err)
	assert.Equal(t, count.Load(), int32(2))
	_, reused := c.Counts()
	assert.Equal(t, reused, int64(1))
}

// What can't be connected was not sent.
func TestNothingSent(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	address := l.Addr().String()
	assert.NilError(t, l.Close())
	_, err = exchange(t, dial.New(), address)
	var failed *dial.Error
	assert.Assert(t, errors.As(err, &failed) && !failed.Sent, "%v", err)
}

// A connection is used again only after a whole answer with nothing behind it.
func TestKeptConnections(t *testing.T) {
	cases := map[string]struct {
		answer string
		kept   bool
	}{
		"whole answer":          {answer: ok, kept: true},
		"told to close":         {answer: "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok"},
		"second answer":         {answer: ok + ok},
		"lifetime is too short": {answer: "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=0\r\nContent-Length: 2\r\n\r\nok"},
		"after an interim one":  {answer: "HTTP/1.1 103 Early Hints\r\n\r\n" + ok, kept: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			address, _ := serve(t, func(conn net.Conn, _ *bufio.Reader, _ int32) { _, _ = io.WriteString(conn, c.answer) })
			client := dial.New()
			for range 2 {
				body, err := exchange(t, client, address)
				assert.NilError(t, err)
				assert.Equal(t, body, "ok")
			}
			_, reused := client.Counts()
			assert.Equal(t, reused, map[bool]int64{true: 1}[c.kept])
		})
	}
}

// A kept connection on which something came meanwhile, or which was closed, is not used.
func TestUnsoundConnections(t *testing.T) {
	late := make(chan struct{})
	address, count := serve(t, func(c net.Conn, _ *bufio.Reader, n int32) {
		_, _ = io.WriteString(c, ok)
		if n == 1 {
			<-late
			_, _ = io.WriteString(c, ok)
		}
	})
	c := dial.New()
	_, err := exchange(t, c, address)
	assert.NilError(t, err)
	close(late)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		body, err := exchange(t, c, address)
		if err != nil || body != "ok" {
			return poll.Error(errors.Join(err, errors.New(body)))
		}
		if opened, _ := c.Counts(); opened >= 2 {
			return poll.Success()
		}
		return poll.Continue("the late answer is on its way")
	})
	assert.Assert(t, count.Load() >= 2)
}

// The end of the context breaks an exchange at once.
func TestCancel(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	address, _ := serve(t, func(_ net.Conn, r *bufio.Reader, _ int32) {
		cancel()
		_, _ = r.ReadByte()
	})
	_, err := dial.New().Do(ctx, request(address))
	assert.ErrorIs(t, err, context.Canceled)
}
