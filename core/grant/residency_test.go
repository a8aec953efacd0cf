package grant_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"shallotgap/core/census"
	"shallotgap/core/ident"
)

// With far more engines than one search visits, adapters must not be loaded again while a holder has room, and nearly all
// requests must be served, also while engines crash and restart.
func TestSearchAmongThousandsOfEngines(t *testing.T) {
	s := newSim(t, 1500)
	s.advance(2 * time.Second)
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
	s.advance(6 * time.Second)
	s.check()
	assert.Assert(t, s.served >= s.asked*97/100, "served %d of %d, rejections by cause %v", s.served, s.asked, s.causes)
	loads := 0
	for _, n := range s.notes {
		if n.Step == "load" {
			loads++
		}
	}
	assert.Assert(t, loads <= 2*200, "%d loads for 200 adapters, want at most 400", loads)
}

// The residency index must not return a removed engine: a request for its adapter must be served by another engine.
func TestRemovedEnginesAreNotFound(t *testing.T) {
	s := newSim(t, 400)
	s.advance(2 * time.Second)
	s.ask("only", 0)
	s.advance(time.Second)
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
	s.advance(2 * time.Second)
	s.check()
	assert.Equal(t, s.served, 2, "rejections by cause %v, sent before the load completed: %d", s.causes, s.sentTooEarly)
}
