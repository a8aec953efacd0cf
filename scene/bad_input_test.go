package scene

import (
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"shallotgap/core/work"
)

// Invalid input is rejected with its reason, and the next valid request is served.
func TestInvalidInputIsRejected(t *testing.T) {
	f := newFleet(t, 1)
	putRow(t, f, f.Hosts[0], "feed-advice@v1")
	const path = "/v1/completions"
	good := `{"model":"feed-advice@v1","max_tokens":1}`
	cases := map[string]struct {
		path, body, header string
		status             int
		reason             string
	}{
		"huge body":        {path: path, body: strings.Repeat("x", 9<<20), status: 413, reason: "too-large"},
		"broken JSON":      {path: path, body: `{"model":`, status: 400, reason: "bad-json"},
		"no version":       {path: path, body: `{"model":"feed-advice"}`, status: 400, reason: "bad-model"},
		"unknown adapter":  {path: path, body: `{"model":"other@v1"}`, status: 404, reason: "unknown-adapter"},
		"bad timeout":      {path: path, body: good, header: "Shallotgap-Timeout: soon", status: 400, reason: "bad-timeout"},
		"bad urgency":      {path: path, body: good, header: "Shallotgap-Urgency: now", status: 400, reason: "bad-urgency"},
		"long key":         {path: path, body: good, header: "Idempotency-Key: " + strings.Repeat("k", 201), status: 400, reason: "bad-key"},
		"bad deadline":     {path: path, body: good, header: "Shallotgap-Deadline: tomorrow", status: 400, reason: "bad-deadline"},
		"expired key":      {path: path, body: good, header: "Shallotgap-Deadline: 2020-01-01T00:00:00Z", status: 410, reason: "key-expired"},
		"bad announcement": {path: "/v1/endpoints", body: `{"id":"x"}`, status: 400, reason: "bad-announcement"},
		"huge announcement": {
			path: "/v1/endpoints", body: `{"id":"` + strings.Repeat("x", 17<<10) + `","url":"http://127.0.0.1:1","instance":1}`,
			status: 400, reason: "bad-announcement",
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var headers []string
			if c.header != "" {
				headers = append(headers, c.header)
			}
			a := post(f.Hosts[3].URL()+c.path, c.body, headers...)
			assert.NilError(t, a.Err)
			assert.Equal(t, a.Status, c.status, a.Body)
			assert.Equal(t, a.Header.Get("Content-Type"), "application/problem+json")
			assert.Assert(t, strings.Contains(a.Body, `"reason":"`+c.reason+`"`), a.Body)
			assert.Equal(t, outcomeOf(a), work.NotRun)
			next := post(f.Hosts[3].URL()+path, good)
			assert.Equal(t, next.Status, http.StatusOK, next.Body)
		})
	}
}
