package scene

import (
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"shallotgap/core/burn"
	"shallotgap/fakes/stand"
	"shallotgap/io/cmds"
)

// The report names the cause of a failed request, also when the report comes from another host than the one that
// rejected the request.
func TestOperatorsReportNamesTheCauseOfAFault(t *testing.T) {
	f := newFleet(t, 1)
	putRow(t, f, f.Hosts[0], "udder@v1")
	putRow(t, f, f.Hosts[0], "notes@v1")
	ask := func(n int, model string) answer {
		return post(f.Hosts[n].URL()+"/v1/completions", `{"model":"`+model+`","max_tokens":3,"stream":true}`)
	}
	for n := range f.Hosts {
		assert.Equal(t, ask(n, "udder@v1").Status, http.StatusOK)
	}
	// A failed load is retried, so all attempts must fail for the request to fail.
	f.Engines[0].Fake.SetFaults(stand.Faults{FailLoads: 100})
	failed := ask(3, "notes@v1")
	assert.Equal(t, failed.Status, http.StatusServiceUnavailable, failed.Body)
	out, code := command(f.Hosts[5], "report", "--json")
	assert.Equal(t, code, cmds.OK, out)
	lines := linesOf(t, out)
	assert.Equal(t, lines[burn.Answered].Events, uint64(8))
	assert.Equal(t, lines[burn.Answered].Causes[0].Cause, burn.Cause("load-failed"))
	assert.Equal(t, lines[burn.LoadStall].Events, uint64(8))
	assert.Equal(t, lines[burn.FirstToken].Events, uint64(7))
	assert.Equal(t, lines[burn.TokenGap].Events, uint64(14))
	text, _ := command(f.Hosts[5], "report")
	assert.Assert(t, strings.Contains(text, "load-failed 100%"), text)
	page, _ := command(f.Hosts[5], "report", "--html")
	assert.Assert(t, strings.Contains(page, `<rect class="bad"`), page)
	explained, _ := command(f.Hosts[5], "explain", failed.Header.Get("Shallotgap-Request"))
	assert.Assert(t, strings.Contains(explained, "The adapter could not be loaded"), explained)
	checkMetrics(t, f.Hosts[3].URL())
}

// linesOf parses the JSON output of the report command and returns the lines by objective.
func linesOf(t *testing.T, out string) map[burn.Objective]burn.Line {
	t.Helper()
	var r struct {
		Lines []burn.Line `json:"lines"`
	}
	assert.NilError(t, json.Unmarshal([]byte(out), &r))
	lines := map[burn.Objective]burn.Line{}
	for _, l := range r.Lines {
		lines[l.Objective] = l
	}
	return lines
}

// checkMetrics checks the metrics of the host that rejected the request.
func checkMetrics(t *testing.T, url string) {
	t.Helper()
	resp, err := http.Get(url + "/metrics")
	assert.NilError(t, err)
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	for _, want := range []string{
		"# TYPE shallotgap_requests_total counter",
		`shallotgap_requests_total{outcome="not-run",reason="load-failed"} 1`,
		"shallotgap_serving 1",
		`shallotgap_objective_seconds_bucket{workspace="default",objective="first-token",le="+Inf"} 1`,
	} {
		assert.Assert(t, strings.Contains(string(data), want), "%s\nin\n%s", want, data)
	}
}
