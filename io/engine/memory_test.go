package engine_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"shallotgap/core/lease"
	"shallotgap/core/work"
	"shallotgap/io/engine"
	"shallotgap/io/logs"
	"shallotgap/io/quota"
	"shallotgap/io/relay"
)

// Each answer may have 64 MB, so that some dozens without end took all memory of a host. All together are bounded, and a sound answer is whole
// meanwhile.
func TestAnswersAreBoundedTogether(t *testing.T) {
	const limit = 4 << 20
	for name, contentType := range map[string]string{"whole answers": "application/json", "streams": "text/event-stream"} {
		t.Run(name, func(t *testing.T) {
			bad := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Content-Type", contentType)
				_, err := io.WriteString(w, "data: ")
				for err == nil {
					_, err = io.WriteString(w, strings.Repeat("x", 32<<10))
					<-time.After(time.Millisecond)
				}
			}))
			defer bad.Close()
			sound := httptest.NewServer(answerWith(200, "", body))
			defer sound.Close()
			common, err := logs.New(io.Discard, "e1", "info")
			assert.NilError(t, err)
			pool := quota.New(quota.Config{Limit: limit})
			client := engine.New(common, engine.Config{Memory: pool})
			run := func(url string) (state work.EndState, detail string) {
				ended := client.Run(context.Background(), dispatch(url, lease.Engine, ""), relay.Call{Method: http.MethodPost, Path: path, Stream: true}, func(relay.Chunk) {})
				return ended.State, ended.Detail
			}
			var group sync.WaitGroup
			for range 40 {
				group.Go(func() {
					state, detail := run(bad.URL)
					assert.Check(t, state == work.Broken, "%s", detail)
				})
			}
			done := make(chan struct{})
			go func() { group.Wait(); close(done) }()
			for {
				state, detail := run(sound.URL)
				assert.Equal(t, state, work.Answered, detail)
				assert.Assert(t, pool.Used() <= limit, "%d bytes are held", pool.Used())
				select {
				case <-done:
					assert.Equal(t, pool.Used(), quota.Bytes(0))
					return
				default:
				}
			}
		})
	}
}
