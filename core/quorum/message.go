// Package quorum replicates a log among voters with Raft (Ongaro and Ousterhout, 2014): leader election, log replication,
// snapshots and membership changes, extended by pre-vote, check-quorum, learners and leadership transfer.
//
// A Node does no I/O and reads no clock. The code that runs the Node passes in messages and clock readings, and gets
// the messages to send and the data to write from Ready.
package quorum

import (
	"slices"

	"shallotgap/core/ident"
)

// DiskID is the random identifier of a data folder; a folder that was emptied gets a new one.
type DiskID string

// Member is a data folder that takes part in replication, and its host.
type Member struct {
	Host ident.HostID `json:"host"`
	Disk DiskID       `json:"disk"`
	// Voter is false for a learner, which receives the log but does not count towards a majority.
	Voter bool `json:"voter,omitempty"`
}

// Members is a membership, as stored in a config entry of the log.
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

// Find returns the member with the given host and disk, and whether there is one.
func (m Members) Find(h ident.HostID, d DiskID) (Member, bool) {
	i := slices.IndexFunc(m, func(x Member) bool { return x.Host == h && x.Disk == d })
	if i < 0 {
		return Member{}, false
	}
	return m[i], true
}

// EntryKind is the type of a log entry.
type EntryKind uint8

// The kinds of log entries.
const (
	Normal  EntryKind = iota // Data is a command for the state machine
	Barrier                  // empty first entry of a leader's term
	Config                   // Members is the membership from this entry on; it applies as soon as the entry is in the log
)

// Entry is one entry of the replicated log.
type Entry struct {
	Index   ident.Index `json:"index"`
	Term    ident.Term  `json:"term"`
	Kind    EntryKind   `json:"kind,omitempty"`
	Data    []byte      `json:"data,omitempty"`
	Members Members     `json:"members,omitempty"`
}

// HardState is the part of a node's state that must be durable before the node sends messages based on it.
type HardState struct {
	Term ident.Term   `json:"term"`
	Vote ident.HostID `json:"vote,omitempty"`
}

// Snapshot is the state machine's state after entry Index; it replaces the log up to and including that entry.
type Snapshot struct {
	Index   ident.Index `json:"index"`
	Term    ident.Term  `json:"term"`
	Members Members     `json:"members"`
	Data    []byte      `json:"data"`
}

// Kind is the type of a message.
type Kind uint8

// The kinds of messages.
const (
	PreVote Kind = iota + 1
	PreVoteReply
	Vote
	VoteReply
	Append
	AppendReply
	Install   // snapshot for a member whose next entry is no longer in the leader's log
	Hello     // announces the sender's disk; sent by nodes that do not vote or find no leader
	Bootstrap // initial membership, sent by the founder with the lowest name
	// TimeoutNow is sent by a leader that steps down; the receiver campaigns without waiting for its election timeout.
	TimeoutNow
)

// Message is a message from one node to another. Which fields are set depends on Kind.
type Message struct {
	Kind Kind         `json:"kind"`
	From ident.HostID `json:"from"`
	Disk DiskID       `json:"disk"`
	To   ident.HostID `json:"to"`
	Term ident.Term   `json:"term"`
	// Index and LogTerm identify the candidate's last entry (Vote, PreVote) or the entry before Entries (Append).
	Index   ident.Index `json:"index,omitempty"`
	LogTerm ident.Term  `json:"log-term,omitempty"`
	Commit  ident.Index `json:"commit,omitempty"`
	Entries []Entry     `json:"entries,omitempty"`
	Reject  bool        `json:"reject,omitempty"`
	// LeaderTransfer is set in a Vote of a candidate that the previous leader chose as its successor. Voters then answer
	// even if they have heard from that leader within the election timeout.
	LeaderTransfer bool `json:"succeeds,omitempty"`
	// ToDisk is the data folder for which the message is meant; a host with another data folder ignores the message.
	ToDisk DiskID `json:"to-disk,omitempty"`
	// SentAt is the leader's clock reading when it sent an Append or Install; the reply returns it.
	SentAt ident.Time `json:"beat,omitempty"`
	// KnownDisk is the receiver's disk according to the sender; set in Hello.
	KnownDisk DiskID `json:"seen,omitempty"`
	// Hint is set when a follower rejects an Append: the last index at which its log may match the leader's.
	Hint     ident.Index `json:"hint,omitempty"`
	Snapshot *Snapshot   `json:"snapshot,omitempty"`
	Members  Members     `json:"members,omitempty"`
}
