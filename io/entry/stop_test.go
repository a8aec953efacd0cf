package entry

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	is "gotest.tools/v3/assert/cmp"

	"shallotgap/core/burn"
	"shallotgap/core/work"
	"shallotgap/io/logs"
	"shallotgap/io/metric"
	"shallotgap/io/relay"
)

// A request that still runs when its host ends gets an answer that says it may have run, and a stream that has begun does not look whole.
func TestRequestsOfAnEndingHostAreAnswered(t *testing.T) {
	for name, c := range map[string]struct {
		begun  bool
		status int // 0 for a connection that is cut
	}{
		"waiting":  {status: http.StatusBadGateway},
		"a stream": {begun: true},
	} {
		t.Run(name, func(t *testing.T) {
			common, err := logs.New(io.Discard, "h", "error")
			assert.NilError(t, err)
			s := &Server{Common: common, ending: make(chan struct{})}
			x := &relay.Exchange{Chunks: make(chan *relay.Chunk, 1)}
			if c.begun {
				x.Chunks <- &relay.Chunk{Status: http.StatusOK, ContentType: "text/event-stream", Data: []byte("data: x\n\n")}
			}
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				s.writeAnswer(w, r, x, time.Minute, newSLORecorder(metric.New(burn.Defaults()), work.Request{}, relay.Call{}))
			}))
			defer server.Close()
			time.AfterFunc(50*time.Millisecond, s.EndRequests)
			resp, err := http.Get(server.URL)
			assert.NilError(t, err)
			defer func() { _ = resp.Body.Close() }()
			body, err := io.ReadAll(resp.Body)
			if c.begun {
				assert.Assert(t, err != nil, "the stream looks whole: %q", body)
				return
			}
			assert.NilError(t, err)
			assert.Equal(t, resp.StatusCode, c.status)
			assert.Assert(t, is.Contains(string(body), string(work.InDoubt)))
		})
	}
}
