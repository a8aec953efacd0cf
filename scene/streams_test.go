package scene

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"shallotgap/fakes/fleet"
	"shallotgap/fakes/stand"
	"shallotgap/io/admin"
)

// manyTokens is the length of an answer that is still streaming when a fault is injected.
const manyTokens = 2000

// streamBody returns the body of a request for a streamed answer of the given length.
func streamBody(tokens int) string {
	return fmt.Sprintf(`{"model":"feed-advice@v1","max_tokens":%d,"stream":true}`, tokens)
}

// A stream is complete or ends with an error event, and no chunk of another request's or adapter's answer is passed on.
func TestStreamIsCompleteOrEndsWithAnError(t *testing.T) {
	cases := map[string]struct {
		faults stand.Faults
		tokens int // length of the answer
		inject func(o *requestScenario)
		reason string // of the error event; "" for a complete answer
		chunks bool   // whether chunks of the answer reach the caller
	}{
		"complete":                     {tokens: 3, chunks: true},
		"delayed":                      {tokens: 3, faults: stand.Faults{LateMS: 300}, chunks: true},
		"truncated":                    {tokens: 3, faults: stand.Faults{Truncate: 1}, reason: "endpoint-failed", chunks: true},
		"answer names another adapter": {tokens: 3, faults: stand.Faults{WrongModel: 1}, reason: "wrong-model"},
		"answer names another request": {tokens: 3, faults: stand.Faults{Crossed: 1}, reason: "wrong-answer"},
		"owner is killed":              {tokens: manyTokens, inject: func(o *requestScenario) { o.Kill(o.owner) }, reason: "link-lost", chunks: true},
		"link breaks":                  {tokens: manyTokens, inject: func(o *requestScenario) { o.Cut(o.owner.Name, o.entry.Name) }, reason: "link-lost", chunks: true},
		"engine restarts":              {tokens: manyTokens, inject: func(o *requestScenario) { o.Engines[0].Fake.Restart() }, reason: "endpoint-failed", chunks: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			o := newRequestScenario(t, true)
			o.faults(c.faults)
			resp, err := http.Post(o.entry.URL()+o.path, "application/json", strings.NewReader(streamBody(c.tokens)))
			assert.NilError(t, err)
			defer func() { _ = resp.Body.Close() }()
			first := make([]byte, 1)
			_, err = io.ReadFull(resp.Body, first)
			assert.NilError(t, err)
			if c.inject != nil {
				c.inject(o)
			}
			rest, err := io.ReadAll(resp.Body)
			text := string(first) + string(rest)
			done := strings.HasSuffix(text, "data: [DONE]\n\n")
			assert.Equal(t, done, c.reason == "", text)
			assert.Equal(t, strings.Contains(text, `"text":`), c.chunks)
			assert.Assert(t, c.reason == "" || strings.Contains(text, `"reason":"`+c.reason+`"`), text)
			if c.reason != "" && c.chunks {
				assert.Assert(t, strings.Contains(text, "event: error\n") && err != nil, "the connection was not cut: %v", err)
			}
		})
	}
}

// An engine stops generating for a caller that disconnected, whether or not the entry host owns the engine.
func TestEngineStopsWhenTheCallerDisconnects(t *testing.T) {
	o := newRequestScenario(t, true)
	for _, h := range []*fleet.Host{o.entry, o.owner} {
		ctx, disconnect := context.WithCancel(context.Background())
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, h.URL()+o.path, strings.NewReader(streamBody(100*manyTokens)))
		assert.NilError(t, err)
		resp, err := http.DefaultClient.Do(req)
		assert.NilError(t, err)
		disconnect()
		_ = resp.Body.Close()
		idle := func() bool {
			var s admin.Status
			if get(o.owner.URL()+"/admin/status", &s) != nil {
				return false
			}
			for _, r := range s.Reports {
				if r.Running+r.Queued > 0 {
					return false
				}
			}
			return true
		}
		assert.Assert(t, fleet.Await(settleTime, idle), "the engine still runs the request that was sent to host %s", h.Name)
	}
}
