// Package scene holds end-to-end tests of whole deployments, whose hosts run in the test process or as processes.
package scene

import (
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"shallotgap/core/ident"
	"shallotgap/core/rows"
	"shallotgap/core/state"
	"shallotgap/core/world"
	"shallotgap/fakes/fleet"
	"shallotgap/fakes/stand"
	"shallotgap/io/admin"
)

// settleTime is the longest wait for a state that the system reaches without further input.
const settleTime = 15 * time.Second

// newFleet starts seven hosts, three of them with a disk, in three failure domains, with the given engines and
// one plain service, and waits until all hosts serve and all endpoints are owned.
func newFleet(t *testing.T, engines int) *fleet.Fleet {
	t.Helper()
	f, err := fleet.New(fleet.Config{Hosts: 7, Disks: 3, Domains: 3, Folder: t.TempDir(), Params: world.Defaults(), Seed: 1})
	assert.NilError(t, err)
	t.Cleanup(f.Close)
	f.AddStore(stand.StoreConfig{Rate: 50, InFlight: 8, Time: 20 * time.Millisecond})
	for n := range engines {
		f.AddEngine(stand.EngineConfig{ID: "g" + string(rune('1'+n)), Domain: "a", Model: "base", Slots: 4, Batch: 16, StepTime: 2 * time.Millisecond})
	}
	f.AddPlain(stand.PlainConfig{ID: "p1", Service: "payments", Domain: "b"})
	for _, h := range f.Hosts {
		assert.Assert(t, fleet.Await(settleTime, func() bool { return ready(h, engines+1) }), "host %s does not serve", h.Name)
	}
	return f
}

// ready reports whether host h serves and knows the given number of endpoints, all with an owner.
func ready(h *fleet.Host, endpoints int) bool {
	var s admin.Status
	if get(h.URL()+"/admin/status", &s) != nil || !s.Serving || len(s.Endpoints) != endpoints {
		return false
	}
	for _, e := range s.Endpoints {
		if e.Owner == "" {
			return false
		}
	}
	return true
}

// get sends a GET request and decodes the JSON answer into out.
func get(url string, out any) error {
	resp, err := http.Get(url)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	return json.NewDecoder(resp.Body).Decode(out)
}

// answer is an HTTP response as a caller receives it, or the error that the caller gets instead.
type answer struct {
	Status int
	Header http.Header
	Body   string
	Err    error
}

// post sends a POST request with a body and with headers in the form "Name: value".
func post(url, body string, headers ...string) answer {
	req, err := http.NewRequest(http.MethodPost, url, io.NopCloser(strings.NewReader(body)))
	if err != nil {
		return answer{Err: err}
	}
	for _, h := range headers {
		name, value, _ := strings.Cut(h, ": ")
		req.Header.Set(name, value)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return answer{Err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	return answer{Status: resp.StatusCode, Header: resp.Header, Body: string(data), Err: err}
}

// putRow adds a row through host h and waits until the row is in force on all hosts.
func putRow(t *testing.T, f *fleet.Fleet, h *fleet.Host, model string) {
	t.Helper()
	putRowOn(t, h, f.Hosts, model)
}

// putRowOn adds a row through host h and waits until the row is in force on the given hosts.
func putRowOn(t *testing.T, h *fleet.Host, hosts []*fleet.Host, model string) {
	t.Helper()
	m, err := ident.ParseModel(model)
	assert.NilError(t, err)
	row := rows.Row{Workspace: "default", Adapter: m.Adapter, Version: m.Version, Weight: 1}
	e := rows.Edit{ID: ident.EditID("edit-" + model), Key: rows.KeyOf(row.Workspace, row.Adapter), Row: &row}
	body, err := json.Marshal(e)
	assert.NilError(t, err)
	a := post(h.URL()+"/admin/table", string(body))
	assert.NilError(t, a.Err)
	var res state.Result
	assert.NilError(t, json.Unmarshal([]byte(a.Body), &res), a.Body)
	assert.Equal(t, res.Edit.Verdict, rows.Accepted)
	for _, other := range hosts {
		inForce := func() bool {
			var table admin.Table
			return get(other.URL()+"/admin/table", &table) == nil && table.Index >= res.Index
		}
		assert.Assert(t, fleet.Await(settleTime, inForce), "the row is not in force on host %s", other.Name)
	}
}

// awaitServed waits until served returns true, for at most settleTime.
func awaitServed(served func() bool) bool { return fleet.Await(settleTime, served) }
