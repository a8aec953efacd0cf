package quorum_test

import (
	"cmp"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"shallotgap/core/ident"
	"shallotgap/core/quorum"
)

var lifeSeeds = flag.Int("life-seeds", 10, "number of long lives of clusters in virtual time")

// Timing of a life in virtual time, as of the platform's deployments.
const (
	lifeTick    = 10 * time.Millisecond
	lifeCatchUp = 4 * time.Second // a host counts as lost for so long after it is back
	lifeOutage  = 1300 * time.Millisecond
	lifeRepair  = 1500 * time.Millisecond

	proposeEvery = 20 // mean number of ticks between two proposals of a leader
)

// machine is a host with its disk; node is nil while it is down.
type machine struct {
	id      ident.HostID
	disk    quorum.DiskID
	node    *quorum.Node
	stored  storedLog
	cut     bool
	idleAt  ident.Time // time at which the disk has finished all writes
	lostTil ident.Time // time until which the loss of its disk counts
}

// storedLog is what is durable on a disk.
type storedLog struct {
	hard    quorum.HardState
	snap    quorum.Snapshot
	entries []quorum.Entry
}

func (s *storedLog) write(r quorum.Ready) {
	if r.Hard != nil {
		s.hard = *r.Hard
	}
	if r.Snapshot != nil {
		s.snap, s.entries = *r.Snapshot, nil
	}
	if len(r.Entries) > 0 {
		first := r.Entries[0].Index
		s.entries = append(slices.Clone(s.entries[:first-s.snap.Index-1]), r.Entries...)
	}
}

func (s *storedLog) last() (ident.Term, ident.Index) {
	if k := len(s.entries); k > 0 {
		return s.entries[k-1].Term, s.entries[k-1].Index
	}
	return s.snap.Term, s.snap.Index
}

func (s *storedLog) members() quorum.Members {
	members := s.snap.Members
	for _, e := range s.entries {
		if e.Kind == quorum.Config {
			members = e.Members
		}
	}
	return members
}

// delivery is a message or the end of a write that is due at a machine.
type delivery struct {
	due  ident.Time
	to   ident.HostID
	disk quorum.DiskID // the disk of a write; empty for a message
	from ident.HostID
	do   func(*machine)
}

// clusterLife is a cluster whose machines are emptied, replaced, cut off and lose power over a long time.
type clusterLife struct {
	t         *testing.T
	rand      *rand.Rand
	seed      uint64
	now       ident.Time
	tolerance int
	voters    int     // 0 for as many as the tolerance asks for
	loss      float64 // share of the messages that are lost
	machines  []*machine
	started   int
	pending   []delivery
	// changed is set once a disk or a machine has changed since the last check.
	changed bool
	acked   ident.Index
	domains map[ident.HostID]ident.DomainID
	regions map[ident.DomainID]ident.RegionID
	history []string
}

func newClusterLife(t *testing.T, seed uint64, tolerance int) *clusterLife {
	l := &clusterLife{t: t, rand: rand.New(rand.NewPCG(seed, 7)), seed: seed, tolerance: tolerance}
	for range 2*tolerance + 1 {
		l.add()
	}
	founders := l.ids()[:3]
	for _, m := range l.machines {
		l.start(m, founders)
	}
	return l
}

func (l *clusterLife) ids() (list []ident.HostID) {
	for _, m := range l.machines {
		list = append(list, m.id)
	}
	return list
}

func (l *clusterLife) add() *machine {
	l.started++
	m := &machine{id: ident.HostID(fmt.Sprint("c", l.started)), disk: quorum.DiskID(fmt.Sprint("d", l.started))}
	l.machines = append(l.machines, m)
	return m
}

// start starts a machine with what its disk holds.
func (l *clusterLife) start(m *machine, founders []ident.HostID) {
	s := quorum.Settings{
		Self: m.id, Disk: m.disk, Founders: founders, Contacts: l.ids(), TargetVoters: cmp.Or(l.voters, 2*l.tolerance+1), RepairAfter: lifeRepair,
		Domains: l.domains, Regions: l.regions, HeartbeatInterval: clusterHeartbeat, ElectionTimeout: clusterElection, MaxBatch: 256,
		Rand: rand.New(rand.NewPCG(l.rand.Uint64(), 1)),
	}
	m.node = quorum.New(s, quorum.NewLog(m.stored.snap, slices.Clone(m.stored.entries)), m.stored.hard, l.now)
	m.idleAt = l.now
	l.changed = true
}

// step runs one action on a machine and carries out the resulting writes and messages.
func (l *clusterLife) step(m *machine, do func(*machine)) {
	m.node.Tick(l.now)
	do(m)
	for r := m.node.Ready(); !r.Empty(); r = m.node.Ready() {
		l.send(l.now, m, r.Immediate)
		if r.Seq != 0 {
			m.idleAt = max(l.now, m.idleAt).Add(time.Millisecond)
			l.pending = append(l.pending, delivery{due: m.idleAt, to: m.id, disk: m.disk, do: func(m *machine) {
				m.stored.write(r)
				m.node.Written(r.Seq)
				l.changed = true
			}})
		}
		l.send(max(l.now, m.idleAt), m, r.AfterWrite)
		if m.node.LeadershipConfirmed() {
			l.acked = max(l.acked, m.node.Commit())
		}
	}
}

func (l *clusterLife) send(at ident.Time, from *machine, list []quorum.Message) {
	for _, msg := range list {
		delay := time.Duration(1+l.rand.IntN(4)) * time.Millisecond
		l.pending = append(l.pending, delivery{due: at.Add(delay), to: msg.To, from: from.id, do: func(m *machine) { m.node.Step(msg) }})
	}
}

func (l *clusterLife) find(id ident.HostID) *machine {
	for _, m := range l.machines {
		if m.id == id {
			return m
		}
	}
	return nil
}

// run lets time pass and checks after each change that the cluster bears the losses that it must.
func (l *clusterLife) run(span time.Duration) {
	for end := l.now.Add(span); l.now < end; l.now = l.now.Add(time.Millisecond) {
		due := l.pending
		l.pending = nil
		slices.SortStableFunc(due, func(a, b delivery) int { return cmp.Compare(a.due, b.due) })
		for _, d := range due {
			if d.due > l.now {
				l.pending = append(l.pending, d)
				continue
			}
			l.deliver(d)
		}
		for _, m := range l.machines {
			if m.node != nil && l.now%ident.Time(lifeTick) == 0 {
				l.step(m, func(m *machine) {
					if l.rand.IntN(proposeEvery) == 0 {
						_, _ = m.node.Propose([]byte("x")) // only a leader accepts it
					}
				})
			}
		}
		if l.changed {
			l.changed = false
			l.mustBearLosses()
		}
	}
}

func (l *clusterLife) deliver(d delivery) {
	to, from := l.find(d.to), l.find(d.from)
	switch {
	case to == nil || to.node == nil || d.disk != "" && d.disk != to.disk:
	case d.disk == "" && (from == nil || from.cut || to.cut || l.rand.Float64() < l.loss):
	default:
		l.step(to, d.do)
	}
}

// mustBearLosses checks that after the loss of as many further disks as may be lost now, and of all power, the rest can elect a leader
// that holds what was committed.
func (l *clusterLife) mustBearLosses() {
	var others []*machine
	lost := 0
	for _, m := range l.machines {
		if m.lostTil > l.now {
			lost++
		} else {
			others = append(others, m)
		}
	}
	if l.now < ident.Time(lifeCatchUp) {
		return // the cluster is being founded
	}
	eachSubset(others, l.tolerance-lost, func(further []*machine) {
		survivors := slices.DeleteFunc(slices.Clone(l.machines), func(m *machine) bool { return slices.Contains(further, m) })
		if !slices.ContainsFunc(survivors, func(m *machine) bool { return l.canLead(m, survivors) }) {
			l.fail(survivors)
		}
	})
}

func (l *clusterLife) fail(survivors []*machine) {
	text := ""
	for _, m := range survivors {
		term, index := m.stored.last()
		text += fmt.Sprintf("\n%s %s last %d of term %d: %v", m.id, m.disk, index, term, m.stored.members())
	}
	l.t.Fatalf("seed %d at %v: nobody can lead after %v; %d was committed; survivors:%s", l.seed, time.Duration(l.now), l.history, l.acked, text)
}

// canLead reports whether a machine can be elected by survivors with what their disks hold, and holds what was committed.
func (l *clusterLife) canLead(m *machine, survivors []*machine) bool {
	members := m.stored.members()
	if self, known := members.Find(m.id, m.disk); !known || !self.Voter {
		return false
	}
	term, index := m.stored.last()
	votes := 0
	for _, v := range survivors {
		known, found := members.Find(v.id, v.disk)
		vTerm, vIndex := v.stored.last()
		if found && known.Voter && len(v.stored.members()) > 0 && cmp.Or(cmp.Compare(vTerm, term), cmp.Compare(vIndex, index)) <= 0 {
			votes++
		}
	}
	return votes > members.Voters()/2 && index >= l.acked
}

// eachSubset calls f with each subset of n machines.
func eachSubset(list []*machine, n int, f func([]*machine)) {
	if n <= 0 {
		f(nil)
		return
	}
	for i := range list {
		eachSubset(list[i+1:], n-1, func(rest []*machine) { f(append([]*machine{list[i]}, rest...)) })
	}
}

// disturb disturbs at most as many machines as may be lost, and brings all of them back.
func (l *clusterLife) disturb() {
	order := l.rand.Perm(len(l.machines))
	if l.rand.IntN(2) == 0 {
		slices.Sort(order) // the oldest first
	}
	var targets []*machine
	for _, i := range order[:1+l.rand.IntN(l.tolerance)] {
		targets = append(targets, l.machines[i])
	}
	for _, m := range targets {
		kind := []string{"empty", "replace", "cut", "restart", "stall the disk of"}[l.rand.IntN(5)]
		l.history = append(l.history, fmt.Sprint(kind, " ", m.id, " at ", time.Duration(l.now)))
		l.begin(m, kind)
		l.run(time.Duration(l.rand.IntN(800)) * time.Millisecond)
	}
	l.run(lifeOutage)
	for _, m := range slices.Clone(l.machines) {
		m.cut = false
		if m.node == nil {
			l.start(m, nil)
		}
		if m.lostTil > l.now {
			m.lostTil = l.now.Add(lifeCatchUp)
		}
	}
	if l.rand.IntN(4) == 0 {
		l.run(time.Duration(l.rand.IntN(2000)) * time.Millisecond)
		l.losePower()
	}
	l.run(lifeCatchUp + 500*time.Millisecond)
}

// begin begins a disturbance of one machine.
func (l *clusterLife) begin(m *machine, kind string) {
	const untilBack = time.Hour
	switch kind {
	case "cut":
		m.cut = true
		return
	case "stall the disk of":
		m.idleAt = l.now.Add(lifeOutage)
		return
	case "empty":
		l.started++
		m.disk, m.stored, m.lostTil = quorum.DiskID(fmt.Sprint("d", l.started)), storedLog{}, l.now.Add(untilBack)
	case "replace":
		l.machines = slices.DeleteFunc(l.machines, func(x *machine) bool { return x == m })
		l.add().lostTil = l.now.Add(untilBack)
	}
	m.node = nil
	l.changed = true
}

// losePower stops all machines and starts them again; losses of disks that count go on to count until the hosts had time to catch up.
func (l *clusterLife) losePower() {
	l.history = append(l.history, fmt.Sprint("all lose power at ", time.Duration(l.now)))
	for _, m := range l.machines {
		m.node = nil
	}
	l.run(lifeOutage)
	for _, m := range l.machines {
		l.start(m, nil)
		if m.lostTil > l.now {
			m.lostTil = l.now.Add(lifeCatchUp)
		}
	}
}

// At every instant of a long life, the voters bear the loss of as many disks as the deployment must bear.
func TestMembershipBearsLossOfDisksAtAnyInstant(t *testing.T) {
	cases := map[string]int{"three hosts": 1, "five hosts": 2}
	for name, tolerance := range cases {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(*lifeSeeds) {
				l := newClusterLife(t, seed, tolerance)
				l.loss = float64(seed%2) * 0.05
				l.run(2 * lifeCatchUp)
				for range 8 {
					l.disturb()
				}
				assert.Assert(t, l.acked > 0, "seed %d: nothing was committed", seed)
			}
		})
	}
}
