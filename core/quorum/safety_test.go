package quorum_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"shallotgap/core/ident"
	"shallotgap/core/quorum"
)

var three = quorum.Members{{Host: "a", Disk: "da", Voter: true}, {Host: "b", Disk: "db", Voter: true}, {Host: "c", Disk: "dc", Voter: true}}

// normal returns entries of one term with the given indexes, after the founding entry.
func normal(term ident.Term, from, to ident.Index) []quorum.Entry {
	var list []quorum.Entry
	for i := from; i <= to; i++ {
		list = append(list, quorum.Entry{Index: i, Term: term})
	}
	return list
}

// newNode returns host a of three voters with a log of the founding entry and the given ones.
func newNode(h quorum.HardState, entries ...quorum.Entry) *quorum.Node {
	founding := quorum.Entry{Index: 1, Term: 1, Kind: quorum.Config, Members: three}
	s := quorum.Settings{
		Self: "a", Disk: "da", Founders: []ident.HostID{"a", "b", "c"}, HeartbeatInterval: 100 * time.Millisecond,
		ElectionTimeout: 400 * time.Millisecond, MaxBatch: 64, Rand: rand.New(rand.NewPCG(1, 1)),
	}
	return quorum.New(s, quorum.NewLog(quorum.Snapshot{}, append([]quorum.Entry{founding}, entries...)), h, 0)
}

func from(h ident.HostID, m quorum.Message) quorum.Message {
	m.From, m.Disk, m.To = h, quorum.DiskID("d"+string(h)), "a"
	return m
}

// lead makes a node the leader of the next term by the vote of b.
func lead(n *quorum.Node) ident.Term {
	n.Tick(ident.Time(2 * time.Second))
	_, term := n.Leader()
	n.Step(from("b", quorum.Message{Kind: quorum.PreVoteReply, Term: term + 1}))
	n.Step(from("b", quorum.Message{Kind: quorum.VoteReply, Term: term + 1}))
	return term + 1
}

func TestVoteCountsOnlyInItsTerm(t *testing.T) {
	n := newNode(quorum.HardState{Term: 3})
	n.Tick(ident.Time(2 * time.Second))
	n.Step(from("b", quorum.Message{Kind: quorum.PreVoteReply, Term: 4}))
	n.Step(from("c", quorum.Message{Kind: quorum.VoteReply, Term: 3}))
	assert.Equal(t, n.Role(), quorum.Candidate, "a vote of term 3 made a leader of term 4")
}

// A voter that restarts may have heard the leader right before, whose leases rest on its not voting for a while.
func TestRestartedVoterKeepsItsPromiseNotToVote(t *testing.T) {
	for at, granted := range map[time.Duration]bool{100 * time.Millisecond: false, 399 * time.Millisecond: false, 401 * time.Millisecond: true} {
		n := newNode(quorum.HardState{Term: 1})
		n.Tick(ident.Time(at))
		n.Step(from("b", quorum.Message{Kind: quorum.Vote, Term: 2, Index: 1, LogTerm: 1}))
		_, term := n.Leader()
		assert.Equal(t, term == 2, granted, "at %v", at)
	}
}

func TestSnapshotKeepsEntriesThatWereAcknowledged(t *testing.T) {
	n := newNode(quorum.HardState{Term: 2}, normal(2, 2, 9)...)
	snap := quorum.Snapshot{Index: 5, Term: 2, Members: three}
	n.Step(from("b", quorum.Message{Kind: quorum.Install, Term: 2, Snapshot: &snap}))
	n.Step(from("b", quorum.Message{Kind: quorum.Append, Term: 2, Index: 9, LogTerm: 2, Commit: 9}))
	assert.Equal(t, n.Commit(), ident.Index(9))
}

func TestNoMembershipChangeBeforeAnEntryOfTheOwnTermIsCommitted(t *testing.T) {
	n := newNode(quorum.HardState{Term: 1})
	n.Step(from("b", quorum.Message{Kind: quorum.Append, Term: 1, Index: 1, LogTerm: 1, Commit: 1}))
	term := lead(n)
	assert.Equal(t, n.Role(), quorum.Leader)
	_, err := n.Change(three[:2])
	assert.ErrorIs(t, err, quorum.ErrPending)
	drain(n)
	n.Step(from("b", quorum.Message{Kind: quorum.AppendReply, Term: term, Index: 2}))
	_, err = n.Change(three[:2])
	assert.NilError(t, err)
}

// drain makes all that a node wants written durable.
func drain(n *quorum.Node) {
	for r := n.Ready(); !r.Empty(); r = n.Ready() {
		n.Written(r.Seq)
	}
}
