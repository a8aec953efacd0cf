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

// Load: the authority moves while one engine has prompts to read. The new one hears of them and sends what comes next to
// the other engine that holds the adapter, where as many streams run.
func TestNewAuthorityKnowsUnreadPrompts(t *testing.T) {
	s := newSim(t, 2)
	s.readRate, s.queued = 38, true
	s.run(time.Second)
	for range 2 {
		s.askWith(grant.Ask{Ref: book.AdapterRef{Model: "base", Adapter: "hot"}, Prompt: 30_000, Output: 50, Gap: 400 * time.Millisecond})
	}
	s.run(5 * time.Second)
	for _, e := range s.engines {
		assert.Assert(t, e.adapters["hot"] != nil)
	}
	s.failover()
	s.run(100 * time.Millisecond)
	for k := range 8 {
		e := s.engines[ident.EndpointID(fmt.Sprintf("e%d", k%2))]
		a := grant.Ask{ID: grant.ID(fmt.Sprint("live", k)), Service: service, Ref: book.AdapterRef{Model: "base", Adapter: "hot"}, Prompt: 6000, Output: 50, Left: 5 * time.Second}
		s.auth.Resume(grant.RunningRequest{Ask: a, Instance: e.entry.Instance, Prefilled: k%2 == 1}, s.now)
	}
	s.askWith(grant.Ask{Ref: book.AdapterRef{Model: "base", Adapter: "hot"}, Prompt: 900, Output: 50, Gap: 400 * time.Millisecond})
	s.run(50 * time.Millisecond)
	for _, l := range s.live {
		assert.Equal(t, l.Instance.ID, ident.EndpointID("e1"))
	}
	assert.Equal(t, len(s.live), 1)
}

// Load: the authority moves, and heartbeats list adapters that engines have dropped since. The new one waits for the
// engines' reports for a moment and sends nothing that would be refused.
func TestNewAuthorityWaitsForReports(t *testing.T) {
	s := newSim(t, 4)
	s.reportLag = 20 * time.Millisecond
	s.run(time.Second)
	for k := range 4 * simSlots {
		s.ask(fmt.Sprintf("old%d", k), 0)
	}
	s.run(2500 * time.Millisecond) // heartbeats list them
	for k := range 4 * simSlots {
		s.ask(fmt.Sprintf("new%d", k), 0)
	}
	s.run(400 * time.Millisecond) // they have replaced most of the old ones
	s.failover()
	s.bounced = 0
	for k := range 4 * simSlots {
		s.ask(fmt.Sprintf("old%d", k), 0)
	}
	s.run(50 * time.Millisecond)
	assert.Equal(t, s.bounced, 0)
}
