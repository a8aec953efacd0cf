package scene

import (
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// Each host serves each kind of request.
func TestEveryKindOfRequestIsServedAtEveryHost(t *testing.T) {
	f := newFleet(t, 2)
	putRow(t, f, f.Hosts[0], "feed-advice@v1")
	cases := map[string]struct {
		path, body, key string
		want            string
	}{
		"completion":            {path: "/v1/completions", body: `{"model":"feed-advice@v1","max_tokens":2}`, want: `"model":"feed-advice@v1"`},
		"streamed":              {path: "/v1/chat/completions", body: `{"model":"feed-advice@v1","max_tokens":2,"stream":true}`, want: "data: [DONE]"},
		"service":               {path: "/services/payments/status", body: "", want: `"path":"/status"`},
		"service with a key":    {path: "/services/payments/release", body: "{}", key: "release-", want: `"runs":1`},
		"completion with a key": {path: "/v1/completions", body: `{"model":"feed-advice@v1","max_tokens":2}`, key: "order-", want: `"model":"feed-advice@v1"`},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			for _, h := range f.Hosts {
				var headers []string
				if c.key != "" {
					headers = append(headers, "Idempotency-Key: "+c.key+string(h.Name))
				}
				a := post(h.URL()+c.path, c.body, headers...)
				assert.NilError(t, a.Err)
				assert.Equal(t, a.Status, http.StatusOK, a.Body)
				assert.Assert(t, strings.Contains(a.Body, c.want), a.Body)
			}
		})
	}
}

// With any single host killed, the remaining hosts serve requests within settleTime, and the killed host rejoins.
func TestServingContinuesWithoutAnySingleHost(t *testing.T) {
	f := newFleet(t, 1)
	putRow(t, f, f.Hosts[0], "feed-advice@v1")
	for _, killed := range f.Hosts {
		f.Kill(killed)
		for _, h := range f.Hosts {
			if h == killed {
				continue
			}
			served := func() bool {
				return post(h.URL()+"/v1/completions", `{"model":"feed-advice@v1","max_tokens":1}`).Status == http.StatusOK
			}
			assert.Assert(t, awaitServed(served), "host %s does not serve without %s", h.Name, killed.Name)
		}
		assert.NilError(t, f.Restart(killed))
		assert.Assert(t, awaitServed(func() bool { return ready(killed, 2) }), "host %s does not serve after its restart", killed.Name)
	}
}
