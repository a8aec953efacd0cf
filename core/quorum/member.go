package quorum

import (
	"slices"

	"shallotgap/core/ident"
)

// sendHello tells the founders and members this node's disk, so that it is admitted.
func (n *Node) sendHello() {
	n.hellos[n.Self] = n.Disk
	for _, h := range n.helloTargets() {
		n.send(Message{Kind: Hello, To: h, Index: n.log.last(), Members: n.members})
	}
	n.found()
}

func (n *Node) helloTargets() []ident.HostID {
	targets := slices.Clone(n.Founders)
	for _, m := range n.members {
		targets = append(targets, m.Host)
	}
	slices.Sort(targets)
	targets = slices.Compact(targets)
	return slices.DeleteFunc(targets, func(h ident.HostID) bool { return h == n.Self })
}

func (n *Node) stepHello(m Message) {
	if len(n.members) == 0 && len(m.Members) == 0 {
		n.hellos[m.From] = m.Disk
		n.found()
		return
	}
	if n.role == Leader {
		n.admit(m.From, m.Disk)
	}
}

// found forms the first membership. Only the founder with the lowest name does so, and only when every
// founder has said that its disk is empty: a single emptied disk can never found a second history.
func (n *Node) found() {
	if len(n.members) > 0 || len(n.Founders) == 0 || slices.Min(n.Founders) != n.Self {
		return
	}
	members := Members{}
	for _, h := range n.Founders {
		disk, heard := n.hellos[h]
		if !heard {
			return
		}
		members = append(members, Member{Host: h, Disk: disk, Voter: true})
	}
	n.adoptFirst(members)
	for _, h := range n.helloTargets() {
		n.send(Message{Kind: Found, To: h, Members: members})
	}
}

func (n *Node) stepFound(m Message) {
	if len(n.members) == 0 && n.log.last() == 0 {
		n.adoptFirst(m.Members)
	}
}

// adoptFirst writes the first membership as entry 1 of term 1 on every founder alike.
func (n *Node) adoptFirst(members Members) {
	n.setHard(Hard{Term: max(1, n.hard.Term), Vote: n.hard.Vote})
	n.log.entries = []Entry{{Index: 1, Term: 1, Kind: Config, Members: members}}
	n.markUnstable(1)
	n.adoptMembers()
}

// adoptMembers puts the latest membership of the log in force.
func (n *Node) adoptMembers() {
	n.members, n.configAt = n.log.members()
	if n.role == Leader {
		n.trackMembers()
	}
}

func (n *Node) trackMembers() {
	old := n.peers
	n.peers = map[Member]*progress{}
	for _, m := range n.members {
		p := old[m]
		if p == nil {
			p = old[Member{Host: m.Host, Disk: m.Disk, Voter: !m.Voter}]
		}
		if p == nil {
			p = &progress{next: n.log.last() + 1, heard: n.now}
		}
		n.peers[m] = p
	}
}

// Change proposes a new membership; one change at a time.
func (n *Node) Change(members Members) (ident.Index, error) {
	if n.role != Leader {
		return 0, ErrNotLeader
	}
	if n.configAt > n.log.commit {
		return 0, ErrPending
	}
	i := n.appendOwn(Entry{Kind: Config, Members: members})
	n.broadcast()
	return i, nil
}

// admit moves a host with a new disk one step towards being a voter: first a learner, then, once it has caught up,
// its old disk is removed, and then the new one votes.
func (n *Node) admit(h ident.HostID, d DiskID) {
	member, known := n.members.Find(h, d)
	if known && member.Voter {
		return
	}
	next := slices.Clone(n.members)
	if !known {
		next = append(next, Member{Host: h, Disk: d})
		_, _ = n.Change(next)
		return
	}
	if n.peers[member].match < n.log.commit {
		return
	}
	old := slices.IndexFunc(next, func(m Member) bool { return m.Host == h && m.Disk != d })
	if old >= 0 {
		_, _ = n.Change(slices.Delete(next, old, old+1))
		return
	}
	next[slices.Index(next, member)].Voter = true
	_, _ = n.Change(next)
}
