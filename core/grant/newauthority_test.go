package grant_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"shallotgap/core/book"
	"shallotgap/core/grant"
	"shallotgap/core/ident"
)

// The leader changes while one engine still has prompts to prefill. The new authority must learn of these prompts from the resumed requests
// and choose the other holder of the adapter, which runs as many streams.
func TestNewAuthorityLearnsPendingPrefill(t *testing.T) {
	s := newSim(t, 2)
	s.prefillRate, s.serialPrefill = 38, true
	s.advance(time.Second)
	for range 2 {
		s.askWith(grant.Ask{Ref: book.AdapterRef{Model: "base", Adapter: "hot"}, Prompt: 30_000, Output: 50, Gap: 400 * time.Millisecond})
	}
	s.advance(5 * time.Second)
	for _, e := range s.engines {
		assert.Assert(t, e.adapters["hot"] != nil)
	}
	s.failover()
	s.advance(100 * time.Millisecond)
	for k := range 8 {
		e := s.engines[ident.EndpointID(fmt.Sprintf("e%d", k%2))]
		a := grant.Ask{ID: grant.ID(fmt.Sprint("live", k)), Service: service, Ref: book.AdapterRef{Model: "base", Adapter: "hot"}, Prompt: 6000, Output: 50, Left: 5 * time.Second}
		s.auth.Resume(grant.RunningRequest{Ask: a, Instance: e.entry.Instance, Prefilled: k%2 == 1}, s.now)
	}
	s.askWith(grant.Ask{Ref: book.AdapterRef{Model: "base", Adapter: "hot"}, Prompt: 900, Output: 50, Gap: 400 * time.Millisecond})
	s.advance(50 * time.Millisecond)
	for _, l := range s.running {
		assert.Equal(t, l.Instance.ID, ident.EndpointID("e1"))
	}
	assert.Equal(t, len(s.running), 1)
}

// The leader changes, and heartbeats still list adapters that engines have unloaded since. The new authority must wait briefly
// for the engines' reports instead of sending requests that would be rejected.
func TestNewAuthorityWaitsForReports(t *testing.T) {
	s := newSim(t, 4)
	s.reportLag = 20 * time.Millisecond
	s.advance(time.Second)
	for k := range 4 * simAdapterSlots {
		s.ask(fmt.Sprintf("old%d", k), 0)
	}
	s.advance(2500 * time.Millisecond) // until heartbeats list the old adapters
	for k := range 4 * simAdapterSlots {
		s.ask(fmt.Sprintf("new%d", k), 0)
	}
	s.advance(400 * time.Millisecond) // until the new adapters have replaced most of the old ones
	s.failover()
	s.sentTooEarly = 0
	for k := range 4 * simAdapterSlots {
		s.ask(fmt.Sprintf("old%d", k), 0)
	}
	s.advance(50 * time.Millisecond)
	assert.Equal(t, s.sentTooEarly, 0)
}
