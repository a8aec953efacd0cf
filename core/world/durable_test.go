package world_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"shallotgap/core/ident"
	"shallotgap/core/quorum"
	"shallotgap/core/world"
)

// newVoter returns host a of three voters, started from a disk with term 1 and only the entry of the initial membership.
func newVoter(t *testing.T) *world.World {
	t.Helper()
	var members quorum.Members
	var peers []world.Peer
	for _, h := range []ident.HostID{"a", "b", "c"} {
		members = append(members, quorum.Member{Host: h, Disk: quorum.DiskID("d" + h), Voter: true})
		peers = append(peers, world.Peer{Host: h, Domain: ident.DomainID(h), Disk: true})
	}
	stored := world.Stored{
		Disk: "da", Hard: quorum.HardState{Term: 1}, Entries: []quorum.Entry{{Index: 1, Term: 1, Kind: quorum.Config, Members: members}},
	}
	w, err := world.New(world.Config{Self: "a", Peers: peers, Stored: &stored, Params: world.Defaults(), Rand: rand.New(rand.NewPCG(1, 1))})
	assert.NilError(t, err)
	return w
}

// A reply that depends on a write is not sent before the write is durable, even if the message that it answers is resent.
func TestMessagesWaitForDurableWrite(t *testing.T) {
	snap := quorum.Snapshot{Index: 9, Term: 2, Members: quorum.Members{{Host: "b", Disk: "db", Voter: true}}}
	cases := map[string]quorum.Message{
		"vote":     {Kind: quorum.Vote, Term: 2, Index: 1, LogTerm: 1},
		"append":   {Kind: quorum.Append, Term: 2, Index: 1, LogTerm: 1, Entries: []quorum.Entry{{Index: 2, Term: 2}}},
		"snapshot": {Kind: quorum.Install, Term: 2, Snapshot: &snap},
	}
	for name, m := range cases {
		t.Run(name, func(t *testing.T) {
			w := newVoter(t)
			m.From, m.Disk, m.To = "b", "db", "a"
			for range 3 {
				event := world.Event{Message: &world.Inbound{From: "b", Message: world.Message{Quorum: &m}}}
				for _, e := range w.Handle(world.Input{Now: ident.Time(500 * time.Millisecond), Event: event}) {
					assert.Assert(t, e.Send == nil || e.Send.Message.Quorum == nil, "sent before any write was durable: %+v", e.Send)
				}
			}
		})
	}
}
