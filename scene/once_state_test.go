package scene

import (
	"io"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"shallotgap/core/claim"
	"shallotgap/core/work"
	"shallotgap/fakes/fleet"
	"shallotgap/io/entry"
)

// An isolated host, even the former leader, reports a key as in doubt, never as not run, while another host runs the
// request. Once connected again it reports the key as done.
func TestIsolatedHostReportsKeyInDoubt(t *testing.T) {
	for _, name := range []string{"entry", "leader"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			o := newRequestScenario(t, false)
			cut := map[string]*fleet.Host{"entry": o.entry, "leader": o.leader}[name]
			o.Isolate(cut.Name)
			ran := func() bool { return o.send(o.other, settleTime).Status == http.StatusOK }
			assert.Assert(t, fleet.Await(settleTime, ran), "the request is not served")
			a := getAnswer(cut.URL() + "/v1/requests/" + key)
			assert.NilError(t, a.Err)
			assert.Equal(t, a.Status, http.StatusServiceUnavailable, a.Body)
			assert.Equal(t, outcomeOf(a), work.InDoubt, a.Body)
			o.Heal()
			known := func() bool {
				var st entry.KeyStatus
				return get(cut.URL()+"/v1/requests/"+key, &st) == nil && st.State == claim.Done
			}
			assert.Assert(t, fleet.Await(settleTime, known), "the reconnected host does not report the key as done")
			assert.Equal(t, o.runs(), 1)
		})
	}
}

// getAnswer sends a GET request and returns the answer.
func getAnswer(url string) answer {
	resp, err := http.Get(url)
	if err != nil {
		return answer{Err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	return answer{Status: resp.StatusCode, Header: resp.Header, Body: string(data), Err: err}
}
