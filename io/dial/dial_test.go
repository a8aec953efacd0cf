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

// serve runs a TCP server that passes each received request to script, and counts the requests.
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

const okResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

func request(address string) dial.Request {
	return dial.Request{Key: "k", Address: address, Method: http.MethodGet, Target: "/x", Host: "h", Header: http.Header{"Idempotency-Key": {"1"}}}
}

func exchange(t *testing.T, c *dial.Client, address string) (string, error) {
	t.Helper()
	resp, err := c.Do(context.Background(), request(address))
	if err != nil {
		return "", err
	}
	defer resp.Finish()
	data, err := io.ReadAll(resp)
	return string(data), err
}

// A request whose reused connection breaks is not resent, although http.Transport would resend this one: its
// Idempotency-Key header marks it as repeatable.
func TestNoAutomaticResend(t *testing.T) {
	address, count := serve(t, func(c net.Conn, _ *bufio.Reader, n int32) {
		if n == 1 {
			_, _ = io.WriteString(c, okResponse)
			return
		}
		_ = c.Close()
	})
	c := dial.New(dial.Config{})
	_, err := exchange(t, c, address)
	assert.NilError(t, err)
	_, err = exchange(t, c, address)
	var failed *dial.Error
	assert.Assert(t, errors.As(err, &failed) && failed.Sent, "%v", err)
	assert.Equal(t, count.Load(), int32(2))
	_, reused := c.Counts()
	assert.Equal(t, reused, int64(1))
}

// A refused connection is reported as an error with Sent false.
func TestRefusedConnectionIsNotSent(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	address := l.Addr().String()
	assert.NilError(t, l.Close())
	_, err = exchange(t, dial.New(dial.Config{}), address)
	var failed *dial.Error
	assert.Assert(t, errors.As(err, &failed) && !failed.Sent, "%v", err)
}

// A connection is reused only after a complete response with no further data behind it.
func TestConnectionReuse(t *testing.T) {
	cases := map[string]struct {
		response string
		reused   bool
	}{
		"complete response":           {response: okResponse, reused: true},
		"Connection: close":           {response: "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok"},
		"unrequested second response": {response: okResponse + okResponse},
		"Keep-Alive timeout of 0":     {response: "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=0\r\nContent-Length: 2\r\n\r\nok"},
		"after a 103 response":        {response: "HTTP/1.1 103 Early Hints\r\n\r\n" + okResponse, reused: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			address, _ := serve(t, func(conn net.Conn, _ *bufio.Reader, _ int32) { _, _ = io.WriteString(conn, c.response) })
			client := dial.New(dial.Config{})
			for range 2 {
				body, err := exchange(t, client, address)
				assert.NilError(t, err)
				assert.Equal(t, body, "ok")
			}
			_, reused := client.Counts()
			assert.Equal(t, reused, map[bool]int64{true: 1}[c.reused])
		})
	}
}

// An idle connection on which unrequested data arrived, or which the endpoint closed, is not reused.
func TestUnusableConnections(t *testing.T) {
	sendExtra := make(chan struct{})
	address, count := serve(t, func(c net.Conn, _ *bufio.Reader, n int32) {
		_, _ = io.WriteString(c, okResponse)
		if n == 1 {
			<-sendExtra
			_, _ = io.WriteString(c, okResponse)
		}
	})
	c := dial.New(dial.Config{})
	_, err := exchange(t, c, address)
	assert.NilError(t, err)
	close(sendExtra)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		body, err := exchange(t, c, address)
		if err != nil || body != "ok" {
			return poll.Error(errors.Join(err, errors.New(body)))
		}
		if opened, _ := c.Counts(); opened >= 2 {
			return poll.Success()
		}
		return poll.Continue("the second connection is not open yet: the unrequested response has not arrived")
	})
	assert.Assert(t, count.Load() >= 2)
}

// Cancelling the context ends an exchange that waits for the response.
func TestCancel(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	address, _ := serve(t, func(_ net.Conn, r *bufio.Reader, _ int32) {
		cancel()
		_, _ = r.ReadByte()
	})
	_, err := dial.New(dial.Config{}).Do(ctx, request(address))
	assert.ErrorIs(t, err, context.Canceled)
}

// An endpoint wrote an earlier refusal once more on a kept connection. The connection must not carry that request again, and none at all
// if the endpoint can't name the request.
func TestConnectionAfterRefusal(t *testing.T) {
	cases := map[string]struct {
		first, second string // ids of two requests, of which the first is refused
		opened        int64
	}{
		"the same request":    {first: "a", second: "a", opened: 2},
		"another request":     {first: "a", second: "b", opened: 1},
		"requests without id": {opened: 2},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			address, _ := serve(t, func(conn net.Conn, _ *bufio.Reader, n int32) {
				if n == 1 {
					_, _ = io.WriteString(conn, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
					return
				}
				_, _ = io.WriteString(conn, okResponse)
			})
			client := dial.New(dial.Config{})
			for _, id := range []string{c.first, c.second} {
				r := request(address)
				r.ID = id
				resp, err := client.Do(context.Background(), r)
				assert.NilError(t, err)
				_, err = io.Copy(io.Discard, resp)
				assert.NilError(t, err)
				resp.Finish()
			}
			opened, _ := client.Counts()
			assert.Equal(t, opened, c.opened)
		})
	}
}
