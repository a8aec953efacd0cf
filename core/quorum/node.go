package quorum

import (
	"errors"
	"math/rand/v2"
	"time"

	"shallotgap/core/ident"
)

// Role is the Raft role of a node in its current term.
type Role uint8

// The roles of a node.
const (
	Follower Role = iota
	Candidate
	Leader
)

// ErrNotLeader is returned for a proposal to a node that is not the leader.
var ErrNotLeader = errors.New("propose: this host is not the leader")

// ErrPending is returned for a membership change while an earlier one may still be uncommitted.
var ErrPending = errors.New("propose: another membership change is under way")

// Settings are the node's parameters.
type Settings struct {
	Self ident.HostID
	Disk DiskID
	// Founders are the hosts of the initial membership, which is created once all founders report an empty disk.
	Founders []ident.HostID
	// Contacts are all hosts with a data folder. A node that is no voter or finds no leader announces its disk to them.
	Contacts []ident.HostID
	// TargetVoters is the number of voters that the leader maintains; 0 means the number of founders.
	TargetVoters int
	// RepairAfter is how long a voter may be silent before a learner replaces it; 0 means that it is never replaced.
	RepairAfter time.Duration
	// Domains maps hosts to failure domains, Regions these to the regions that may be lost as a whole; the leader spreads the voters over both.
	// Domains that are not named are of one region.
	Domains           map[ident.HostID]ident.DomainID
	Regions           map[ident.DomainID]ident.RegionID
	HeartbeatInterval time.Duration
	// ElectionTimeout is the shortest election timeout. Each timeout is drawn at random between this value and twice
	// this value, and from a longer range after failed campaigns.
	ElectionTimeout time.Duration
	// MaxBatch is the largest number of entries in one Append message.
	MaxBatch int
	Rand     *rand.Rand
}

// progress is the replication state of one member on the leader.
type progress struct {
	match ident.Index // last index known to be durable at the member
	next  ident.Index // index of the next entry to send
	// heardAt is the time at which the last reply arrived; ackedSentAt is the time at which the leader sent the latest
	// message that the member has answered.
	heardAt     ident.Time
	ackedSentAt ident.Time
}

// Node is one participant of the replicated log.
type Node struct {
	Settings
	log         *Log
	hard        HardState
	role        Role
	leader      ident.HostID
	members     Members
	configIndex ident.Index

	now           ident.Time
	electionDue   ident.Time
	heartbeatDue  ident.Time
	leaderHeardAt ident.Time
	preVote       bool
	votes         map[ident.HostID]bool
	// pendingTransfer is a TimeoutNow that arrived before the leader's last entries; it is handled once the log has them.
	pendingTransfer *Message
	// noCampaignUntil is the time before which this node does not campaign, as its host is stopping.
	noCampaignUntil ident.Time
	// failedCampaigns counts the campaigns, including the current one, since this node last heard from a leader or was the
	// leader. Pre-votes do not count.
	failedCampaigns int
	peers           map[Member]*progress
	hellos          map[ident.HostID]hello

	hardDirty bool
	snapDirty bool
	unstable  ident.Index // first index not yet returned by Ready for writing; 0 for none
	messages  []Message
	applied   ident.Index

	seq    uint64
	writes []write // returned by Ready and not yet durable, oldest first
	// epoch is incremented when log entries are replaced; the completion of a write from an earlier epoch does not make any
	// current entry durable.
	epoch uint64
}

// New returns a node that continues from the log and hard state that were read from disk, at the clock reading now.
func New(s Settings, l *Log, h HardState, now ident.Time) *Node {
	n := &Node{Settings: s, log: l, hard: h, now: now, applied: l.snap.Index, hellos: map[ident.HostID]hello{}}
	n.leaderHeardAt = now.Add(-s.ElectionTimeout)
	if h.Term > 0 {
		// The node may have answered a leader right before it stopped. The leader relies on it not to vote for another
		// candidate within the election timeout.
		n.leaderHeardAt = now
	}
	n.members, n.configIndex = l.members()
	n.resetElection()
	return n
}

// Leader returns the leader known to this node ("" for none) and the current term.
func (n *Node) Leader() (ident.HostID, ident.Term) { return n.leader, n.hard.Term }

// Role returns the node's role in its current term.
func (n *Node) Role() Role { return n.role }

// Members returns the current membership and the index of its log entry.
func (n *Node) Members() (Members, ident.Index) { return n.members, n.configIndex }

// Commit returns the last index known to be committed.
func (n *Node) Commit() ident.Index { return n.log.commit }

// Compact replaces the log up to index by a snapshot with data, the state of the state machine after that entry. The
// returned snapshot must be written to disk. Compact returns false when index is not applied or is compacted already.
func (n *Node) Compact(index ident.Index, data []byte) (Snapshot, bool) {
	term, ok := n.log.term(index)
	if !ok || index > n.applied || index <= n.log.snap.Index {
		return Snapshot{}, false
	}
	s := Snapshot{Index: index, Term: term, Members: n.membersAt(index), Data: data}
	n.log.compact(s)
	return s, true
}

// Length returns the number of log entries after the snapshot.
func (n *Node) Length() int { return len(n.log.entries) }

// membersAt returns the membership that applies after entry i.
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

// self returns this node as a member: a learner if it is not in the membership.
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
