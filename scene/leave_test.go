package scene

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"shallotgap/fakes/fleet"
)

// An endpoint that leaves gets nothing new after 3 s, also from a host that was cut off right before, and is then
// forgotten; no request of the other hosts is cut.
func TestLeavingEndpointGetsNothingNew(t *testing.T) {
	f := newSpread(t)
	cut := f.Hosts[6]
	load := startLoad(t, f.URLs()[:6])
	apart := startLoad(t, []string{cut.URL()})
	f.Isolate(cut.Name)
	for _, p := range f.Plains {
		if p.Fake.ID == "pb" {
			p.Fake.StartDrain()
		}
	}
	<-time.After(3 * time.Second)
	before := f.Plains[1].Fake.Counts()
	gone := func() bool { return ready(f.Hosts[0], 5) }
	assert.Assert(t, fleet.Await(settleTime, gone), "the endpoint is not forgotten")
	n := load.Count()
	assert.Assert(t, fleet.Await(settleTime, func() bool { return load.Count() > n+100 }), "nothing is served")
	assert.DeepEqual(t, f.Plains[1].Fake.Counts(), before)
	load.Stop()
	apart.Stop()
}
