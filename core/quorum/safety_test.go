package quorum_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"shallotgap/core/ident"
	"shallotgap/core/quorum"
)

var threeVoters = quorum.Members{
	{Host: "a", Disk: "da", Voter: true}, {Host: "b", Disk: "db", Voter: true}, {Host: "c", Disk: "dc", Voter: true},
}

// emptyEntries returns entries without data of the given term with the indexes from..to.
func emptyEntries(term ident.Term, from, to ident.Index) []quorum.Entry {
	var list []quorum.Entry
	for i := from; i <= to; i++ {
		list = append(list, quorum.Entry{Index: i, Term: term})
	}
	return list
}

// newNode returns the node of host a, one of three voters; its log has the entry of the initial membership and the given
// entries.
func newNode(h quorum.HardState, entries ...quorum.Entry) *quorum.Node {
	initial := quorum.Entry{Index: 1, Term: 1, Kind: quorum.Config, Members: threeVoters}
	s := quorum.Settings{
		Self: "a", Disk: "da", Founders: []ident.HostID{"a", "b", "c"}, HeartbeatInterval: 100 * time.Millisecond,
		ElectionTimeout: 400 * time.Millisecond, MaxBatch: 64, Rand: rand.New(rand.NewPCG(1, 1)),
	}
	return quorum.New(s, quorum.NewLog(quorum.Snapshot{}, append([]quorum.Entry{initial}, entries...)), h, 0)
}

// messageFrom returns m as sent by host h to host a.
func messageFrom(h ident.HostID, m quorum.Message) quorum.Message {
	m.From, m.Disk, m.To = h, quorum.DiskID("d"+string(h)), "a"
	return m
}

// electLeader makes a node the leader of the next term, with the vote of b, and returns that term.
func electLeader(n *quorum.Node) ident.Term {
	n.Tick(ident.Time(2 * time.Second))
	_, term := n.Leader()
	n.Step(messageFrom("b", quorum.Message{Kind: quorum.PreVoteReply, Term: term + 1}))
	n.Step(messageFrom("b", quorum.Message{Kind: quorum.VoteReply, Term: term + 1}))
	return term + 1
}

func TestVoteCountsOnlyInItsTerm(t *testing.T) {
	n := newNode(quorum.HardState{Term: 3})
	n.Tick(ident.Time(2 * time.Second))
	n.Step(messageFrom("b", quorum.Message{Kind: quorum.PreVoteReply, Term: 4}))
	n.Step(messageFrom("c", quorum.Message{Kind: quorum.VoteReply, Term: 3}))
	assert.Equal(t, n.Role(), quorum.Candidate, "a vote of term 3 counted in term 4")
}

// A voter may have answered the leader right before a restart. The leader relies on it not to vote for another candidate
// within the election timeout, so a restarted voter must wait that long.
func TestRestartedVoterWaitsBeforeVoting(t *testing.T) {
	for elapsed, granted := range map[time.Duration]bool{
		100 * time.Millisecond: false, 399 * time.Millisecond: false, 401 * time.Millisecond: true,
	} {
		n := newNode(quorum.HardState{Term: 1})
		n.Tick(ident.Time(elapsed))
		n.Step(messageFrom("b", quorum.Message{Kind: quorum.Vote, Term: 2, Index: 1, LogTerm: 1}))
		_, term := n.Leader()
		assert.Equal(t, term == 2, granted, "vote requested %v after the restart", elapsed)
	}
}

func TestSnapshotKeepsAcknowledgedEntries(t *testing.T) {
	n := newNode(quorum.HardState{Term: 2}, emptyEntries(2, 2, 9)...)
	snap := quorum.Snapshot{Index: 5, Term: 2, Members: threeVoters}
	n.Step(messageFrom("b", quorum.Message{Kind: quorum.Install, Term: 2, Snapshot: &snap}))
	n.Step(messageFrom("b", quorum.Message{Kind: quorum.Append, Term: 2, Index: 9, LogTerm: 2, Commit: 9}))
	assert.Equal(t, n.Commit(), ident.Index(9))
}

func TestMembershipChangeWaitsForCommitInOwnTerm(t *testing.T) {
	n := newNode(quorum.HardState{Term: 1})
	n.Step(messageFrom("b", quorum.Message{Kind: quorum.Append, Term: 1, Index: 1, LogTerm: 1, Commit: 1}))
	term := electLeader(n)
	assert.Equal(t, n.Role(), quorum.Leader)
	_, err := n.Change(threeVoters[:2])
	assert.ErrorIs(t, err, quorum.ErrPending)
	completeWrites(n)
	n.Step(messageFrom("b", quorum.Message{Kind: quorum.AppendReply, Term: term, Index: 2}))
	_, err = n.Change(threeVoters[:2])
	assert.NilError(t, err)
}

// completeWrites completes all pending writes of a node and drops its messages.
func completeWrites(n *quorum.Node) {
	for r := n.Ready(); !r.Empty(); r = n.Ready() {
		n.Written(r.Seq)
	}
}

// The initial membership consists of the founders with a data folder, and waits for each of them.
func TestFoundersWithoutDataFolder(t *testing.T) {
	hello := func(h ident.HostID) func(*quorum.Node) {
		return func(n *quorum.Node) { n.Step(messageFrom(h, quorum.Message{Kind: quorum.Hello, KnownDisk: "da"})) }
	}
	drop := func(h ident.HostID) func(*quorum.Node) { return func(n *quorum.Node) { n.DropContact(h) } }
	cases := map[string]struct {
		steps []func(*quorum.Node)
		want  []ident.HostID
	}{
		"all have one":              {steps: []func(*quorum.Node){hello("b"), hello("c")}, want: []ident.HostID{"a", "b", "c"}},
		"one is silent":             {steps: []func(*quorum.Node){hello("b")}},
		"one has none":              {steps: []func(*quorum.Node){hello("b"), drop("c")}, want: []ident.HostID{"a", "b"}},
		"one has none, known first": {steps: []func(*quorum.Node){drop("c"), hello("b")}, want: []ident.HostID{"a", "b"}},
		"one has none, one silent":  {steps: []func(*quorum.Node){drop("c")}},
		"only this host has one":    {steps: []func(*quorum.Node){drop("b"), drop("c")}, want: []ident.HostID{"a"}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			contacts := []ident.HostID{"a", "b", "c"}
			n := quorum.New(quorum.Settings{
				Self: "a", Disk: "da", Founders: contacts, Contacts: contacts, HeartbeatInterval: 100 * time.Millisecond,
				ElectionTimeout: 400 * time.Millisecond, MaxBatch: 64, Rand: rand.New(rand.NewPCG(1, 1)),
			}, quorum.NewLog(quorum.Snapshot{}, nil), quorum.HardState{}, 0)
			for _, step := range c.steps {
				step(n)
			}
			members, _ := n.Members()
			var hosts []ident.HostID
			for _, m := range members {
				hosts = append(hosts, m.Host)
			}
			assert.DeepEqual(t, hosts, c.want)
			assert.DeepEqual(t, contacts, []ident.HostID{"a", "b", "c"}) // the caller's list is not modified
		})
	}
}
