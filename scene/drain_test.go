package scene

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"shallotgap/core/drain"
	"shallotgap/fakes/fleet"
)

// inForceLimit is the required limit on the time from the acceptance of a change until all hosts apply it.
const inForceLimit = 3 * time.Second

// A host that gets a stop signal finishes its requests, hands over its endpoints and ends, without cutting off a request.
// After a restart the host withdraws its stop.
func TestDrainCutsOffNoRequest(t *testing.T) {
	f := newSpreadFleet(t)
	load := startLoad(t, f.URLs())
	h := f.Hosts[0]
	f.Drain(h)
	assert.NilError(t, h.Err)
	safe := func() bool { phase, _ := phaseOf(f.Hosts[1], "host/e1"); return phase == drain.Safe }
	assert.Assert(t, fleet.Await(inForceLimit, safe), "the host ended, but host e2 does not report its stop as safe")
	assert.NilError(t, f.Restart(h))
	gone := func() bool { phase, _ := phaseOf(f.Hosts[1], "host/e1"); return phase == "" }
	assert.Assert(t, fleet.Await(settleTime, gone), "the stop is not withdrawn after the restart of the host")
	outcomes := load.Stop()
	twice, wrongNotRun := fleet.AtMostOnceViolations(outcomes, runsOf(f))
	assert.DeepEqual(t, fleet.CountFailures(outcomes), map[string]int{})
	assert.Equal(t, len(twice)+len(wrongNotRun), 0, "ran twice: %v; ran but reported as not-run: %v", twice, wrongNotRun)
}

// A host without a connection to a majority ends soon after a stop signal, without waiting for the drain timeout.
func TestDrainWithoutMajorityEnds(t *testing.T) {
	f := newSpreadFleet(t)
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
