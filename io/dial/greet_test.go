package dial_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"shallotgap/io/dial"
)

var errWrongPeer = errors.New("another instance")

// A greeting goes out once, first on each connection, and the request only if the response shows that the endpoint is the right one.
func TestGreeting(t *testing.T) {
	closed := "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok"
	cases := map[string]struct {
		greeting string
		failed   bool
		arrived  int32 // requests and greetings after two requests
	}{
		"right":                  {okResponse, false, 3},
		"wrong":                  {"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong", true, 2},
		"misdirected":            {"HTTP/1.1 421 X\r\nContent-Length: 2\r\n\r\nok", true, 2},
		"not kept":               {closed, true, 4}, // each request tries two connections
		"broken off":             {"HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\nok", true, 2},
		"no answer of this kind": {"nonsense\r\n\r\n", true, 2},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			address, count := serve(t, func(conn net.Conn, _ *bufio.Reader, n int32) {
				if n == 1 || c.failed {
					_, _ = fmt.Fprint(conn, c.greeting)
					if c.failed {
						_ = conn.Close()
					}
					return
				}
				_, _ = fmt.Fprint(conn, okResponse)
			})
			client := dial.New(dial.Config{})
			r := request(address)
			r.Greeting = &dial.Greeting{Target: "/hello", Check: func(status int, body []byte) error {
				if status != http.StatusOK || string(body) != "ok" {
					return errWrongPeer
				}
				return nil
			}}
			for range 2 {
				resp, err := client.Do(context.Background(), r)
				var failure *dial.Error
				assert.Equal(t, errors.As(err, &failure), c.failed, "%v", err)
				if c.failed {
					assert.Assert(t, !failure.Sent, "the request itself was not sent")
					assert.Equal(t, failure.Step, "greet")
					continue
				}
				_, err = io.ReadAll(resp)
				assert.NilError(t, err)
				resp.Finish()
			}
			assert.Equal(t, count.Load(), c.arrived)
		})
	}
}
