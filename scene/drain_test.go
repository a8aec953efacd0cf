package scene

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"shallotgap/core/drain"
	"shallotgap/fakes/fleet"
)

// inForce is the users' bound on the time until an accepted change is in force everywhere.
const inForce = 3 * time.Second

// A host that is told to stop ends its work, moves what it owns and ends, and its stop is withdrawn when it is back.
func TestToldToStopCutsNoRequest(t *testing.T) {
	f := newSpread(t)
	load := startLoad(t, f.URLs())
	h := f.Hosts[0]
	f.Drain(h)
	assert.NilError(t, h.Err)
	safe := func() bool { phase, _ := phaseOf(f.Hosts[1], "host/e1"); return phase == drain.Safe }
	assert.Assert(t, fleet.Await(inForce, safe), "the host ended, but its stop is not safe in the eyes of e2")
	assert.NilError(t, f.Restart(h))
	gone := func() bool { phase, _ := phaseOf(f.Hosts[1], "host/e1"); return phase == "" }
	assert.Assert(t, fleet.Await(settleTime, gone), "the stop stands after the host is back")
	outcomes := load.Stop()
	twice, untrue := fleet.AtMostOnceViolations(outcomes, runsOf(f))
	assert.DeepEqual(t, fleet.CountFailures(outcomes), map[string]int{})
	assert.Equal(t, len(twice)+len(untrue), 0, "doubled: %v; untrue: %v", twice, untrue)
}

// A host that reaches no majority ends when it is told to, long before its drain timeout.
func TestToldToStopWithoutMajorityEnds(t *testing.T) {
	f := newSpread(t)
	h := f.Hosts[6]
	f.Isolate(h.Name)
	ended := make(chan struct{})
	go func() {
		f.Drain(h)
		close(ended)
	}()
	select {
	case <-ended:
		assert.NilError(t, h.Err)
	case <-time.After(10 * time.Second):
		t.Fatal("the host did not end")
	}
}
