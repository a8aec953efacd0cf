// Package quorum replicates the log among the voters: election, replication, snapshots, membership.
//
// The node is pure: messages and clock readings go in, messages and writes come out of Ready.
// It follows Raft (Ongaro and Ousterhout, 2014) with pre-vote, check-quorum and learners.
package quorum

import (
	"slices"

	"shallotgap/core/ident"
)

// DiskID is the random identity of a data folder; an emptied folder gets a new one.
type DiskID string

// Member is a data folder that takes part in replication.
type Member struct {
	Host ident.HostID `json:"host"`
	Disk DiskID       `json:"disk"`
	// Voter is false for a learner, which receives the log but does not count in a majority.
	Voter bool `json:"voter,omitempty"`
}

// Members is the membership that one log entry puts in force.
type Members []Member

// Voters returns the number of voting members.
func (m Members) Voters() int {
	n := 0
	for _, member := range m {
		if member.Voter {
			n++
		}
	}
	return n
}

// Find returns the member on the host with the disk and whether there is one.
func (m Members) Find(h ident.HostID, d DiskID) (Member, bool) {
	i := slices.IndexFunc(m, func(x Member) bool { return x.Host == h && x.Disk == d })
	if i < 0 {
		return Member{}, false
	}
	return m[i], true
}

// EntryKind tells what a log entry carries.
type EntryKind uint8

// The kinds of log entries.
const (
	Normal  EntryKind = iota // Data is a command of the state machine
	Barrier                  // first entry of a leader's term; carries nothing
	Config                   // Members is the membership from this entry on
)

// Entry is one position of the replicated log.
type Entry struct {
	Index   ident.Index `json:"index"`
	Term    ident.Term  `json:"term"`
	Kind    EntryKind   `json:"kind,omitempty"`
	Data    []byte      `json:"data,omitempty"`
	Members Members     `json:"members,omitempty"`
}

// HardState is the part of a node's state that must be durable before its messages leave.
type HardState struct {
	Term ident.Term   `json:"term"`
	Vote ident.HostID `json:"vote,omitempty"`
}

// Snapshot replaces the log up to and including Index.
type Snapshot struct {
	Index   ident.Index `json:"index"`
	Term    ident.Term  `json:"term"`
	Members Members     `json:"members"`
	Data    []byte      `json:"data"`
}

// Kind tells what a message asks or answers.
type Kind uint8

// The kinds of messages.
const (
	PreVote Kind = iota + 1
	PreVoteReply
	Vote
	VoteReply
	Append
	AppendReply
	Install
	Hello     // a node that does not vote, or finds no leader, tells the other hosts its disk
	Bootstrap // the first membership, sent by the voter with the lowest name
	// TimeoutNow is sent by a leader that gives up its term: the receiver campaigns at once.
	TimeoutNow
)

// Message is what two nodes exchange.
type Message struct {
	Kind Kind         `json:"kind"`
	From ident.HostID `json:"from"`
	Disk DiskID       `json:"disk"`
	To   ident.HostID `json:"to"`
	Term ident.Term   `json:"term"`
	// Index and LogTerm name the last entry (votes) or the entry before Entries (append).
	Index   ident.Index `json:"index,omitempty"`
	LogTerm ident.Term  `json:"log-term,omitempty"`
	Commit  ident.Index `json:"commit,omitempty"`
	Entries []Entry     `json:"entries,omitempty"`
	Reject  bool        `json:"reject,omitempty"`
	// LeaderTransfer is set in a vote of a candidate that the leader of the term before named; voters that heard that leader
	// a moment ago need not wait.
	LeaderTransfer bool `json:"succeeds,omitempty"`
	// ToDisk names the data folder meant; a host with another one ignores the message.
	ToDisk DiskID `json:"to-disk,omitempty"`
	// SentAt is the leader's clock reading at the sending of an append or install; the reply returns it.
	SentAt ident.Time `json:"beat,omitempty"`
	// KnownDisk is the disk of To as From last heard of it; set in Hello.
	KnownDisk DiskID `json:"seen,omitempty"`
	// Hint is the last index that a rejecting follower may share with the leader.
	Hint     ident.Index `json:"hint,omitempty"`
	Snapshot *Snapshot   `json:"snapshot,omitempty"`
	Members  Members     `json:"members,omitempty"`
}
