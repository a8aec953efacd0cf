package scene

import (
	"encoding/json"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"shallotgap/core/drain"
	"shallotgap/core/ident"
	"shallotgap/core/state"
	"shallotgap/core/world"
	"shallotgap/fakes/fleet"
	"shallotgap/fakes/stand"
	"shallotgap/io/entry"
)

// newSpreadFleet starts seven hosts in three failure domains; each domain has an engine and a replica of a plain service.
func newSpreadFleet(t *testing.T) *fleet.Fleet {
	t.Helper()
	params := world.Defaults()
	params.EntryLife = time.Second
	f, err := fleet.New(fleet.Config{Hosts: 7, Disks: 3, Domains: 3, Folder: t.TempDir(), Params: params, Seed: 1})
	assert.NilError(t, err)
	t.Cleanup(f.Close)
	f.AddStore(stand.StoreConfig{Rate: 50, InFlight: 8, Time: 20 * time.Millisecond})
	for _, d := range []string{"a", "b", "c"} {
		f.AddEngine(stand.EngineConfig{ID: "g" + d, Domain: d, Model: "base", Slots: 4, Batch: 16, StepTime: 5 * time.Millisecond})
		f.AddPlain(stand.PlainConfig{ID: "p" + d, Service: "payments", Domain: d})
	}
	for _, h := range f.Hosts {
		assert.Assert(t, fleet.Await(settleTime, func() bool { return ready(h, 6) }), "host %s does not serve", h.Name)
	}
	putRow(t, f, f.Hosts[0], "feed-advice@v1")
	return f
}

// startLoad starts callers that send requests to the given entry hosts until the test ends, also when
// the test fails.
func startLoad(t *testing.T, entries []string) *fleet.Load {
	t.Helper()
	load := fleet.StartLoad(fleet.LoadConfig{Entries: entries, Callers: 8, Model: "feed-advice@v1", Service: "payments", Pause: 2 * time.Millisecond})
	t.Cleanup(func() { load.Stop() })
	return load
}

// edits counts the stops and withdrawals that the tests submit, so that each has its own edit id.
var edits int

// markStop submits a planned stop, or its withdrawal, through host h.
func markStop(t *testing.T, h *fleet.Host, target drain.Target, name string, withdraw bool) drain.Result {
	t.Helper()
	edits++
	m := drain.Mark{ID: ident.EditID("mark-" + string(rune('a'+edits))), Target: target, Name: name, Withdraw: withdraw}
	body, err := json.Marshal(m)
	assert.NilError(t, err)
	a := post(h.URL()+"/admin/stops", string(body))
	assert.NilError(t, a.Err)
	var res state.Result
	assert.NilError(t, json.Unmarshal([]byte(a.Body), &res), a.Body)
	assert.Assert(t, res.Mark != nil, a.Body)
	return *res.Mark
}

// phaseOf returns the phase of a stop and what its drain waits for, as host h reports them; both are empty without a stop.
func phaseOf(h *fleet.Host, id drain.StopID) (drain.Phase, string) {
	var list []drain.Stop
	if get(h.URL()+"/admin/stops", &list) != nil {
		return "", ""
	}
	for _, s := range list {
		if s.ID() == id {
			return s.Phase, s.Waiting
		}
	}
	return "", ""
}

// awaitSafe waits until host h reports a stop as safe.
func awaitSafe(t *testing.T, h *fleet.Host, id drain.StopID) {
	t.Helper()
	safe := func() bool { phase, _ := phaseOf(h, id); return phase == drain.Safe }
	ok := fleet.Await(settleTime, safe)
	_, waiting := phaseOf(h, id)
	assert.Assert(t, ok, "stop %s is not safe: %s", id, waiting)
}

// entriesOf returns the entry hosts that host h lists for callers.
func entriesOf(h *fleet.Host) []ident.HostID {
	var answer entry.Entries
	var list []ident.HostID
	if get(h.URL()+"/v1/entries", &answer) == nil {
		for _, a := range answer.Entries {
			list = append(list, a.Host)
		}
	}
	return list
}

// runsOf returns how often the plain services ran each idempotency key.
func runsOf(f *fleet.Fleet) map[string]int {
	runs := map[string]int{}
	for _, p := range f.Plains {
		for key, n := range p.Fake.Counts() {
			runs[key] += n
		}
	}
	return runs
}

// Each failure domain in turn gets a planned stop. Once the stop is safe, the hosts of the domain are killed and restarted.
// No request is cut off and none runs twice.
func TestStopOfEachFailureDomainCutsOffNoRequest(t *testing.T) {
	f := newSpreadFleet(t)
	load := startLoad(t, f.URLs())
	for i, domain := range []ident.DomainID{"a", "b", "c"} {
		unstopped := f.Hosts[(i+1)%3]
		assert.Assert(t, markStop(t, unstopped, drain.Domain, string(domain), false).Accepted)
		gone := func() bool { return !slices.Contains(entriesOf(unstopped), f.Hosts[i].Name) }
		assert.Assert(t, fleet.Await(3*time.Second, gone), "host %s is still listed as an entry host", f.Hosts[i].Name)
		awaitSafe(t, unstopped, drain.IDOf(drain.Domain, string(domain)))
		for _, h := range f.Hosts {
			if h.Domain == domain {
				f.Kill(h)
				assert.NilError(t, f.Restart(h))
			}
		}
		back := func() bool {
			return !slices.ContainsFunc(f.Hosts, func(h *fleet.Host) bool { return !ready(h, 6) })
		}
		assert.Assert(t, fleet.Await(settleTime, back), "the hosts of domain %s do not serve after their restart", domain)
		assert.Assert(t, markStop(t, unstopped, drain.Domain, string(domain), true).Accepted)
	}
	outcomes := load.Stop()
	twice, wrongNotRun := fleet.AtMostOnceViolations(outcomes, runsOf(f))
	t.Logf("%d requests", len(outcomes))
	assert.DeepEqual(t, fleet.CountFailures(outcomes), map[string]int{})
	assert.Equal(t, len(twice)+len(wrongNotRun), 0, "ran twice: %v; ran but reported as not-run: %v", twice, wrongNotRun)
}

// A stop of a second voter is rejected, with the reason, until the stop of the first voter is withdrawn.
func TestStopOfSecondVoterIsRejected(t *testing.T) {
	f := newSpreadFleet(t)
	first := markStop(t, f.Hosts[3], drain.Host, "e1", false)
	assert.Assert(t, first.Accepted)
	second := markStop(t, f.Hosts[4], drain.Host, "e2", false)
	assert.Assert(t, !second.Accepted && strings.Contains(second.Reason, "no majority"), second.Reason)
	assert.Assert(t, markStop(t, f.Hosts[3], drain.Host, "e1", true).Accepted)
	assert.Assert(t, markStop(t, f.Hosts[4], drain.Host, "e2", false).Accepted)
	awaitSafe(t, f.Hosts[4], "host/e2")
	assert.Assert(t, fleet.Await(settleTime, func() bool { return slices.Contains(entriesOf(f.Hosts[4]), "e1") }))
}
