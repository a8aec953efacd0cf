package reach

import (
	"errors"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"shallotgap/core/reach"
	"shallotgap/io/dial"
	"shallotgap/io/quota"
)

// Answers without end, each within its own limit, took all memory of the host that read many of them at once, directly or through relays. All together
// are bounded, the largest are broken off, and a sound answer is whole meanwhile.
func TestAnswersAreBoundedTogether(t *testing.T) {
	const (
		limit   = 2 << 20
		endless = 60
	)
	more := strings.Repeat("x", 4<<10) // every millisecond; more would make connections of this test wait
	cases := map[string]struct {
		answer  http.HandlerFunc
		relayed bool
	}{
		"bodies": {answer: endlessBody(more)},
		"heads": {answer: func(w http.ResponseWriter, _ *http.Request) {
			conn, _, err := http.NewResponseController(w).Hijack()
			if err != nil {
				return
			}
			defer func() { _ = conn.Close() }()
			_, err = io.WriteString(conn, "HTTP/1.1 200 OK\r\n")
			for err == nil {
				_, err = io.WriteString(conn, strings.Repeat("X-A: "+strings.Repeat("b", 1000)+"\r\n", 16))
				<-time.After(time.Millisecond)
			}
		}},
		"bodies through a relay": {answer: endlessBody(more), relayed: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			pool := quota.New(quota.Config{Limit: limit})
			client, _ := newClient(t, nil)
			if c.relayed {
				_, relay := newClient(t, nil)
				client, _ = newClient(t, refused)
				client.SetRelays([]reach.Relay{relay})
			}
			client.dial.Memory, client.hosts.Memory = pool, pool
			bad, sound := newEndpoint(t, "bad", c.answer), newEndpoint(t, "sound", serveOK)
			var group sync.WaitGroup
			for range endless {
				group.Go(func() {
					resp, err := client.Do(t.Context(), bad.request(""))
					if err == nil {
						defer resp.Abort()
						_, err = resp.ReadBody(1 << 20)
					}
					var failed *dial.Error
					assert.Check(t, err == nil || errors.Is(err, quota.ErrEvicted) || errors.As(err, &failed), "%v", err)
				})
			}
			done := make(chan struct{})
			go func() { group.Wait(); close(done) }()
			for whole := 0; ; whole++ {
				resp, err := client.Do(t.Context(), sound.request("hello"))
				assert.NilError(t, err)
				body, err := resp.ReadBody(1 << 20)
				assert.NilError(t, err)
				assert.Equal(t, string(body), "ok")
				resp.Finish()
				assert.Assert(t, pool.Used() <= limit, "%d bytes are held", pool.Used())
				select {
				case <-done:
					assert.Assert(t, whole > 0)
					assert.Equal(t, pool.Used(), quota.Bytes(0))
					return
				default:
				}
			}
		})
	}
}

// endlessBody answers with a body without end.
func endlessBody(more string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		for {
			if _, err := io.WriteString(w, more); err != nil {
				return
			}
			<-time.After(time.Millisecond)
		}
	}
}
