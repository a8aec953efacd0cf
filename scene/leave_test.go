package scene

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"shallotgap/fakes/fleet"
)

// An endpoint that announces its shutdown gets no new requests after 3 s, not even from a host that was cut off right
// before, and is then removed from the list of endpoints. The other hosts keep serving.
func TestLeavingEndpointGetsNoNewRequests(t *testing.T) {
	f := newSpreadFleet(t)
	cut := f.Hosts[6]
	load := startLoad(t, f.URLs()[:6])
	isolatedLoad := startLoad(t, []string{cut.URL()})
	f.Isolate(cut.Name)
	for _, p := range f.Plains {
		if p.Fake.ID == "pb" {
			p.Fake.StartDrain()
		}
	}
	<-time.After(3 * time.Second)
	before := f.Plains[1].Fake.Counts()
	gone := func() bool { return ready(f.Hosts[0], 5) }
	assert.Assert(t, fleet.Await(settleTime, gone), "the endpoint is not removed")
	served := load.Count()
	assert.Assert(t, fleet.Await(settleTime, func() bool { return load.Count() > served+100 }), "no requests are served")
	assert.DeepEqual(t, f.Plains[1].Fake.Counts(), before)
	load.Stop()
	isolatedLoad.Stop()
}
