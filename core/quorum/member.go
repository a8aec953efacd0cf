package quorum

import (
	"slices"

	"shallotgap/core/ident"
)

// hello is what a host last said of its disk.
type hello struct {
	disk  DiskID
	seen  DiskID // this node's disk as the host knew it
	empty bool   // whether the host knew no members
}

// sendHello tells the other hosts this node's disk, so that it is admitted.
func (n *Node) sendHello() {
	for _, h := range n.helloTargets() {
		n.sayHello(h)
	}
	n.found()
}

func (n *Node) sayHello(h ident.HostID) {
	n.send(Message{Kind: Hello, To: h, Index: n.log.last(), Members: n.members, KnownDisk: n.hellos[h].disk})
}

func (n *Node) helloTargets() []ident.HostID {
	targets := slices.Concat(n.Founders, n.Contacts)
	for _, m := range n.members {
		targets = append(targets, m.Host)
	}
	slices.Sort(targets)
	targets = slices.Compact(targets)
	return slices.DeleteFunc(targets, func(h ident.HostID) bool { return h == n.Self })
}

func (n *Node) stepHello(m Message) {
	n.hellos[m.From] = hello{disk: m.Disk, seen: m.KnownDisk, empty: len(m.Members) == 0}
	if len(n.members) == 0 {
		if m.KnownDisk != n.Disk {
			n.sayHello(m.From)
		}
		n.found()
		return
	}
	if n.role == Leader {
		n.admit(m.From, m.Disk)
	}
	if _, known := n.members.Find(m.From, m.Disk); known && m.Index == 0 && n.configAt == 1 && n.log.snap.Index == 0 {
		// The founding message was lost.
		n.sayHello(m.From)
		n.send(Message{Kind: Bootstrap, To: m.From, Members: n.members})
	}
}

// found forms the first membership. Only the founder with the lowest name does so, and only when every founder has
// said that its disk is empty, knowing the founder's present disk: neither a single emptied disk nor a late message to
// an earlier one can found a second history.
func (n *Node) found() {
	if len(n.members) > 0 || len(n.Founders) == 0 || slices.Min(n.Founders) != n.Self {
		return
	}
	members := Members{}
	for _, h := range n.Founders {
		said := n.hellos[h]
		if h == n.Self {
			said = hello{disk: n.Disk, seen: n.Disk, empty: true}
		}
		if said.disk == "" || said.seen != n.Disk || !said.empty {
			return
		}
		members = append(members, Member{Host: h, Disk: said.disk, Voter: true})
	}
	n.adoptFirst(members)
	for _, h := range n.helloTargets() {
		n.send(Message{Kind: Bootstrap, To: h, Members: members})
	}
}

func (n *Node) stepFound(m Message) {
	if len(n.members) == 0 && n.log.last() == 0 && n.hellos[m.From].disk == m.Disk {
		n.adoptFirst(m.Members)
	}
}

// adoptFirst writes the first membership as entry 1 of term 1 on every founder alike.
func (n *Node) adoptFirst(members Members) {
	n.setHard(HardState{Term: max(1, n.hard.Term), Vote: n.hard.Vote})
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
			p = &progress{next: n.log.last() + 1, heard: n.now, beat: n.now.Add(-n.ElectionTimeout)}
		}
		n.peers[m] = p
	}
}

// Change proposes a new membership; one change at a time, and none before an entry of the leader's own term is
// committed: until then a change of an earlier term may still be under way elsewhere (Ongaro, 2015).
func (n *Node) Change(members Members) (ident.Index, error) {
	if n.role != Leader {
		return 0, ErrNotLeader
	}
	if term, ok := n.log.term(n.log.commit); n.configAt > n.log.commit || !ok || term != n.hard.Term {
		return 0, ErrPending
	}
	i := n.appendOwn(Entry{Kind: Config, Members: members})
	n.broadcast()
	return i, nil
}
