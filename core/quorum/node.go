package quorum

import (
	"errors"
	"math/rand/v2"
	"time"

	"shallotgap/core/ident"
)

// Role is what a node does in its term.
type Role uint8

// The roles of a node.
const (
	Follower Role = iota
	Candidate
	Leader
)

// ErrNotLeader is returned for a proposal to a node that does not lead.
var ErrNotLeader = errors.New("propose: this host is not the leader")

// ErrPending is returned for a membership change while another one is not committed.
var ErrPending = errors.New("propose: another membership change is under way")

// Settings are the node's parameters.
type Settings struct {
	Self ident.HostID
	Disk DiskID
	// Founders are the hosts that form the first membership once all of them report an empty disk.
	Founders []ident.HostID
	// Contacts are all hosts with a data folder.
	Contacts []ident.HostID
	// TargetVoters is the number of voters wanted; 0 means as many as there are founders.
	TargetVoters int
	// RepairAfter is how long a voter may be silent before a learner takes its seat; 0 means that it keeps it.
	RepairAfter time.Duration
	// Domains are the failure domains of the hosts, over which the voters are spread.
	Domains           map[ident.HostID]ident.DomainID
	HeartbeatInterval time.Duration
	// ElectionTimeout is the shortest election timeout; the longest is twice that, and more after campaigns that failed.
	ElectionTimeout time.Duration
	// MaxBatch bounds the entries of one append message.
	MaxBatch int
	Rand     *rand.Rand
}

// progress is what a leader knows of one member.
type progress struct {
	match ident.Index
	next  ident.Index
	// heard is when the last reply came, beat when the last message that the member answered was sent.
	heard ident.Time
	beat  ident.Time
}

// Node is one member of the replicated log.
type Node struct {
	Settings
	log      *Log
	hard     HardState
	role     Role
	leader   ident.HostID
	members  Members
	configAt ident.Index

	now       ident.Time
	electAt   ident.Time
	beatAt    ident.Time
	heardLead ident.Time
	preVote   bool
	votes     map[ident.HostID]bool
	// succeed is the word of a leader that gives up its term, kept until the log holds all that it sent.
	succeed *Message
	// heldUntil is when a host that stops may campaign again.
	heldUntil ident.Time
	// failed counts the campaigns for votes since a leader was last heard.
	failed int
	peers  map[Member]*progress
	hellos map[ident.HostID]hello

	hardDirty bool
	snapDirty bool
	unstable  ident.Index // first index not yet handed out for writing; 0 for none
	messages  []Message
	applied   ident.Index

	seq    uint64
	writes []write // handed out and not yet durable, oldest first
	// epoch counts the times that entries were replaced; a write of an earlier epoch proves nothing.
	epoch uint64
}

// New returns a node that continues from what the disk held at the clock reading now.
func New(s Settings, l *Log, h HardState, now ident.Time) *Node {
	n := &Node{Settings: s, log: l, hard: h, now: now, applied: l.snap.Index, hellos: map[ident.HostID]hello{}}
	n.heardLead = now.Add(-s.ElectionTimeout)
	if h.Term > 0 {
		// The node may have heard a leader right before it stopped; its promise not to vote still holds.
		n.heardLead = now
	}
	n.members, n.configAt = l.members()
	n.resetElection()
	return n
}

// Leader returns the host that leads as far as this node knows, and the term.
func (n *Node) Leader() (ident.HostID, ident.Term) { return n.leader, n.hard.Term }

// Role returns what the node does in its term.
func (n *Node) Role() Role { return n.role }

// Members returns the membership in force and the index of its entry.
func (n *Node) Members() (Members, ident.Index) { return n.members, n.configAt }

// Commit returns the last index known to be held by a majority.
func (n *Node) Commit() ident.Index { return n.log.commit }

// Compact replaces the log up to the applied index by a snapshot of the state machine.
// The caller writes the returned snapshot to disk.
func (n *Node) Compact(index ident.Index, data []byte) (Snapshot, bool) {
	term, ok := n.log.term(index)
	if !ok || index > n.applied || index <= n.log.snap.Index {
		return Snapshot{}, false
	}
	s := Snapshot{Index: index, Term: term, Members: n.membersAt(index), Data: data}
	n.log.compact(s)
	return s, true
}

// Length returns the number of entries after the snapshot.
func (n *Node) Length() int { return len(n.log.entries) }

func (n *Node) membersAt(i ident.Index) Members {
	members := n.log.snap.Members
	for _, e := range n.log.entries {
		if e.Index > i {
			break
		}
		if e.Kind == Config {
			members = e.Members
		}
	}
	return members
}

func (n *Node) self() Member {
	m, ok := n.members.Find(n.Self, n.Disk)
	if !ok {
		return Member{Host: n.Self, Disk: n.Disk}
	}
	return m
}

func (n *Node) send(m Message) {
	m.From = n.Self
	m.Disk = n.Disk
	if m.Term == 0 {
		m.Term = n.hard.Term
	}
	if m.Kind == Append || m.Kind == Install {
		m.SentAt = n.now
	}
	n.messages = append(n.messages, m)
}
