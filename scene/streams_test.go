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

// manyTokens is the length of an answer that takes longer than the fault takes to strike.
const manyTokens = 2000

func streamBody(tokens int) string {
	return fmt.Sprintf(`{"model":"feed-advice@v1","max_tokens":%d,"stream":true}`, tokens)
}

// A stream is whole, or it ends with an explicit error; no part of a wrong answer is passed on.
func TestStreamIsWholeOrAnError(t *testing.T) {
	cases := map[string]struct {
		faults stand.Faults
		tokens int
		strike func(o *once)
		reason string
		pieces bool
	}{
		"whole":            {tokens: 3, pieces: true},
		"late":             {tokens: 3, faults: stand.Faults{LateMS: 300}, pieces: true},
		"broken off":       {tokens: 3, faults: stand.Faults{Truncate: 1}, reason: "endpoint-failed", pieces: true},
		"another adapter":  {tokens: 3, faults: stand.Faults{WrongModel: 1}, reason: "wrong-model"},
		"another request":  {tokens: 3, faults: stand.Faults{Crossed: 1}, reason: "wrong-answer"},
		"owner is killed":  {tokens: manyTokens, strike: func(o *once) { o.Kill(o.owner) }, reason: "link-lost", pieces: true},
		"link breaks":      {tokens: manyTokens, strike: func(o *once) { o.Cut(o.owner.Name, o.entry.Name) }, reason: "link-lost", pieces: true},
		"engine restarted": {tokens: manyTokens, strike: func(o *once) { o.Engines[0].Fake.Restart() }, reason: "endpoint-failed", pieces: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			o := newOnce(t, true)
			o.faults(c.faults)
			resp, err := http.Post(o.entry.URL()+o.path, "application/json", strings.NewReader(streamBody(c.tokens)))
			assert.NilError(t, err)
			defer func() { _ = resp.Body.Close() }()
			first := make([]byte, 1)
			_, err = io.ReadFull(resp.Body, first)
			assert.NilError(t, err)
			if c.strike != nil {
				c.strike(o)
			}
			rest, err := io.ReadAll(resp.Body)
			text := string(first) + string(rest)
			done := strings.HasSuffix(text, "data: [DONE]\n\n")
			assert.Equal(t, done, c.reason == "", text)
			assert.Equal(t, strings.Contains(text, `"text":`), c.pieces)
			assert.Assert(t, c.reason == "" || strings.Contains(text, `"reason":"`+c.reason+`"`), text)
			if c.reason != "" && c.pieces {
				assert.Assert(t, strings.Contains(text, "event: error\n") && err != nil, "the connection was not cut: %v", err)
			}
		})
	}
}

// The engine stops working for a caller that has gone, also when another host owns it.
func TestEngineStopsWhenTheCallerGoes(t *testing.T) {
	o := newOnce(t, true)
	for _, h := range []*fleet.Host{o.entry, o.owner} {
		ctx, leave := context.WithCancel(context.Background())
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, h.URL()+o.path, strings.NewReader(streamBody(100*manyTokens)))
		assert.NilError(t, err)
		resp, err := http.DefaultClient.Do(req)
		assert.NilError(t, err)
		leave()
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
		assert.Assert(t, fleet.Await(settleTime, idle), "the engine still runs for %s", h.Name)
	}
}
