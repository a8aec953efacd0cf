package world_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"shallotgap/core/ident"
	"shallotgap/core/lease"
	"shallotgap/core/state"
	"shallotgap/core/world"
)

// A restarted host ignores a late reply to a proposal of its previous incarnation.
func TestReplyToPreviousIncarnationIsIgnored(t *testing.T) {
	run := func(incarnation ident.Incarnation) (*world.World, world.Ticket) {
		peers := []world.Peer{{Host: "a", Domain: "a"}, {Host: "b", Domain: "b", Disk: true}}
		w, err := world.New(world.Config{
			Self: "a", Incarnation: incarnation, Peers: peers, Params: world.Defaults(), Rand: rand.New(rand.NewPCG(1, 1)),
		})
		assert.NilError(t, err)
		for range 2 {
			for _, e := range w.Handle(world.Input{Now: ident.Time(time.Second)}) {
				if e.Send != nil && e.Send.Message.Renew != nil {
					renewed := world.Message{Renewed: &lease.RenewReply{Sent: e.Send.Message.Renew.Sent, Incarnation: incarnation}}
					w.Handle(world.Input{Now: ident.Time(time.Second), Event: world.Event{Message: &world.Inbound{From: "b", Message: renewed}}})
				}
			}
		}
		for _, e := range w.Handle(world.Input{Now: ident.Time(time.Second), Event: world.Event{Propose: &world.Proposal{Ticket: 1}}}) {
			if e.Send != nil && e.Send.Message.Propose != nil {
				return w, e.Send.Message.Propose.Ticket
			}
		}
		t.Fatal("nothing was proposed")
		return nil, 0
	}
	_, earlier := run(1_000)
	w, _ := run(2_000)
	answer := world.Message{Proposed: &world.Proposed{Ticket: earlier, Result: state.Result{Index: 7}}}
	for _, e := range w.Handle(world.Input{
		Now: ident.Time(time.Second), Event: world.Event{Message: &world.Inbound{From: "b", Message: answer}},
	}) {
		assert.Assert(t, e.Proposed == nil, "the reply to the previous incarnation was accepted")
	}
}
