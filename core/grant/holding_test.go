package grant_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"shallotgap/core/census"
	"shallotgap/core/ident"
)

// Load: many more engines than are looked at for a request. Adapters are not loaded again while an engine that holds them
// has room, and nearly all requests are served, also when engines leave and come back meanwhile.
func TestSearchAmongThousandsOfEngines(t *testing.T) {
	s := newSim(t, 1500)
	s.run(2 * time.Second)
	for range 4 {
		s.traffic(150, 2*time.Second, func() string { return s.zipf(200, 1.1) })
		for id, e := range s.engines {
			if len(e.adapters) > 0 && e.running == 0 {
				s.crash(id)
				s.addEngine(string(id), true)
				break
			}
		}
	}
	s.run(6 * time.Second)
	s.check()
	assert.Assert(t, s.served >= s.asked*97/100, "served %d of %d, refused %v", s.served, s.asked, s.causes)
	loads := 0
	for _, n := range s.notes {
		if n.Step == "load" {
			loads++
		}
	}
	assert.Assert(t, loads <= 2*200, "%d loads for 200 adapters", loads)
}

// An engine that is taken away is found no more, under its old start or its new one.
func TestLostEnginesAreNotFound(t *testing.T) {
	s := newSim(t, 400)
	s.run(2 * time.Second)
	s.ask("only", 0)
	s.run(time.Second)
	var holder ident.EndpointID
	for id, e := range s.engines {
		if e.adapters["only"] != nil {
			holder = id
		}
	}
	assert.Assert(t, holder != "")
	gone := s.engines[holder].entry
	s.crash(holder)
	gone.State, gone.Seq = census.Gone, gone.Seq+1
	s.auth.Observe(gone, s.now)
	s.ask("only", 0)
	s.run(2 * time.Second)
	s.check()
	assert.Equal(t, s.served, 2, "refused %v, sent too early %d", s.causes, s.bounced)
}
