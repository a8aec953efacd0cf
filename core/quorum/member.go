package quorum

import (
	"slices"

	"shallotgap/core/ident"
)

// hello is the content of the last Hello from a host.
type hello struct {
	disk      DiskID
	knownDisk DiskID // the disk that the other host has recorded for this node
	empty     bool   // whether the host has no membership yet
}

// sendHello announces this node's disk to the other hosts, so that the leader adds the disk as a learner.
func (n *Node) sendHello() {
	for _, h := range n.helloTargets() {
		n.sendHelloTo(h)
	}
	n.bootstrap()
}

func (n *Node) sendHelloTo(h ident.HostID) {
	n.send(Message{Kind: Hello, To: h, Index: n.log.last(), Members: n.members, KnownDisk: n.hellos[h].disk})
}

// helloTargets returns the other hosts that may have a data folder.
func (n *Node) helloTargets() []ident.HostID {
	targets := slices.Concat(n.Founders, n.Contacts)
	for _, m := range n.members {
		targets = append(targets, m.Host)
	}
	slices.Sort(targets)
	targets = slices.Compact(targets)
	return slices.DeleteFunc(targets, func(h ident.HostID) bool { return h == n.Self })
}

// DropContact removes a host that turned out to have no data folder from the contacts and the founders.
func (n *Node) DropContact(h ident.HostID) {
	drop := func(list []ident.HostID) []ident.HostID {
		return slices.DeleteFunc(slices.Clone(list), func(known ident.HostID) bool { return known == h })
	}
	n.Contacts, n.Founders = drop(n.Contacts), drop(n.Founders)
	n.bootstrap()
}

// stepHello records the disk of another host, which may then be added as a learner or take part in the initial membership.
func (n *Node) stepHello(m Message) {
	n.hellos[m.From] = hello{disk: m.Disk, knownDisk: m.KnownDisk, empty: len(m.Members) == 0}
	if len(n.members) == 0 {
		if m.KnownDisk != n.Disk {
			n.sendHelloTo(m.From)
		}
		n.bootstrap()
		return
	}
	if n.role == Leader {
		n.admit(m.From, m.Disk)
	}
	if _, known := n.members.Find(m.From, m.Disk); known && m.Index == 0 && n.configIndex == 1 && n.log.snap.Index == 0 {
		// This founder has no log yet: its Bootstrap message was lost.
		n.sendHelloTo(m.From)
		n.send(Message{Kind: Bootstrap, To: m.From, Members: n.members})
	}
}

// bootstrap creates the initial membership. Only the founder with the lowest name does so, and only when all founders have
// reported an empty disk in a Hello that names this node's current disk. This way neither a single emptied disk nor a
// delayed Hello that was meant for an earlier disk of this node can start a second log.
func (n *Node) bootstrap() {
	if len(n.members) > 0 || len(n.Founders) == 0 || slices.Min(n.Founders) != n.Self {
		return
	}
	members := Members{}
	for _, h := range n.Founders {
		latest := n.hellos[h]
		if h == n.Self {
			latest = hello{disk: n.Disk, knownDisk: n.Disk, empty: true}
		}
		if latest.disk == "" || latest.knownDisk != n.Disk || !latest.empty {
			return
		}
		members = append(members, Member{Host: h, Disk: latest.disk, Voter: true})
	}
	n.adoptInitialMembers(members)
	for _, h := range n.helloTargets() {
		n.send(Message{Kind: Bootstrap, To: h, Members: members})
	}
}

func (n *Node) stepBootstrap(m Message) {
	if len(n.members) == 0 && n.log.last() == 0 && n.hellos[m.From].disk == m.Disk {
		n.adoptInitialMembers(m.Members)
	}
}

// adoptInitialMembers stores the initial membership as entry 1 of term 1, the same on every founder.
func (n *Node) adoptInitialMembers(members Members) {
	n.setHard(HardState{Term: max(1, n.hard.Term), Vote: n.hard.Vote})
	n.log.entries = []Entry{{Index: 1, Term: 1, Kind: Config, Members: members}}
	n.markUnstable(1)
	n.adoptMembers()
}

// adoptMembers applies the latest membership in the log, committed or not.
func (n *Node) adoptMembers() {
	n.members, n.configIndex = n.log.members()
	if n.role == Leader {
		n.trackMembers()
	}
}

// trackMembers adapts the leader's replication progress to the current membership. A learner that becomes a voter, or the
// reverse, keeps its progress.
func (n *Node) trackMembers() {
	old := n.peers
	n.peers = map[Member]*progress{}
	for _, m := range n.members {
		p := old[m]
		if p == nil {
			p = old[Member{Host: m.Host, Disk: m.Disk, Voter: !m.Voter}]
		}
		if p == nil {
			p = &progress{next: n.log.last() + 1, heardAt: n.now, ackedSentAt: n.now.Add(-n.ElectionTimeout)}
		}
		n.peers[m] = p
	}
}

// Change proposes a new membership and returns the index of its entry. It returns ErrPending while an earlier change is not
// committed, and before the leader has committed an entry of its own term: until then a change from an earlier term may
// still be in progress on other nodes (Ongaro, 2015).
func (n *Node) Change(members Members) (ident.Index, error) {
	if n.role != Leader {
		return 0, ErrNotLeader
	}
	if term, ok := n.log.term(n.log.commit); n.configIndex > n.log.commit || !ok || term != n.hard.Term {
		return 0, ErrPending
	}
	i := n.appendOwn(Entry{Kind: Config, Members: members})
	n.broadcast()
	return i, nil
}
