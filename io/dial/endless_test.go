package dial_test

import (
	"bufio"
	"io"
	"net"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"shallotgap/io/dial"
)

// Bytes that are no answer may come without end. The client must give up soon, with little memory, and close the connection.
func TestEndlessHead(t *testing.T) {
	cases := map[string]struct{ first, then string }{
		"a status line without end":  {first: "HTTP/1.1 200 ", then: strings.Repeat("x", 4096)},
		"a header without end":       {first: "HTTP/1.1 200 OK\r\n", then: strings.Repeat("X-A: b\r\n", 512)},
		"a header field without end": {first: "HTTP/1.1 200 OK\r\nX-A: ", then: strings.Repeat("x", 4096)},
		"noise":                      {then: strings.Repeat("\x00\x01", 2048)},
		"announcements without end":  {then: strings.Repeat("HTTP/1.1 103 Early Hints\r\n\r\n", 128)},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var sent atomic.Int64
			closed := make(chan struct{})
			address, _ := serve(t, func(conn net.Conn, _ *bufio.Reader, _ int32) {
				defer close(closed)
				_, err := io.WriteString(conn, c.first)
				for err == nil {
					var n int
					n, err = io.WriteString(conn, c.then)
					sent.Add(int64(n))
				}
			})
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			start := time.Now()
			_, err := exchange(t, dial.New(dial.Config{}), address)
			took := time.Since(start)
			runtime.ReadMemStats(&after)
			assert.Assert(t, err != nil)
			assert.Assert(t, took < 5*time.Second, "took %s", took)
			assert.Assert(t, after.TotalAlloc-before.TotalAlloc < 16<<20, "%d bytes allocated", after.TotalAlloc-before.TotalAlloc)
			select {
			case <-closed:
			case <-time.After(5 * time.Second):
				t.Fatal("the connection is not closed")
			}
		})
	}
}
