// Package voter runs a control host of a deployment: the replicated log, the census of endpoints and, while it leads,
// the decisions on places.
package voter

import (
	"context"
	"math/rand/v2"
	"net"
	"time"

	"golang.org/x/sync/errgroup"

	"shallotgap/core/book"
	"shallotgap/core/census"
	"shallotgap/core/grant"
	"shallotgap/core/ident"
	"shallotgap/core/layout"
	"shallotgap/core/quorum"
	"shallotgap/core/world"
	"shallotgap/io/clock"
	"shallotgap/io/disk"
	"shallotgap/io/link"
	"shallotgap/io/logs"
	"shallotgap/io/metric"
)

// Engines carries out what the authority wants from engines.
type Engines interface {
	// Order sends an order with the holder's fencing number; it must not leave after until.
	Order(ctx context.Context, o grant.Order, fence ident.Fence, until ident.Time) grant.Result
	// Report asks an engine for its state.
	Report(ctx context.Context, t grant.Target) (grant.Report, error)
}

// Config is what a control host is made from.
type Config struct {
	// Self is the address for links, by which the host is known to the others.
	Self   ident.HostID
	Domain ident.DomainID
	// Seeds are control hosts to begin with.
	Seeds []ident.HostID
	// Bootstrap is true when the deployment starts for the first time; the seeds then form the first membership.
	Bootstrap bool
	// TargetVoters is the number of voters wanted.
	TargetVoters int
	Folder       string
	// OrderPause is how long another host's orders to an engine must be past before this one orders again.
	OrderPause  time.Duration
	GrantParams grant.Params
	Listener    net.Listener
	Engines     Engines
	RandomSeed  uint64
}

// Times and bounds of a control host.
const (
	tickEvery   = 10 * time.Millisecond
	heartbeat   = 60 * time.Millisecond   // a fifth of the election timeout
	election    = 300 * time.Millisecond  // many round trips, and a fraction of the callers' targets
	repairAfter = 1500 * time.Millisecond // a third of the 4 s that a successor has to catch up
	maxBatch    = 256                     // entries of one append: some tens of kB
	compactAt   = 2000                    // entries; a restart reads them in some ms
	compactOver = 4 << 20                 // bytes of entries: a small part of the smallest disk, 128 MB
	inboxLength = 16384                   // events that wait for the loop: some seconds of the busiest leader
	forgetAfter = 60 * time.Second        // of endpoints that are gone: longer than any heartbeat is late
	// slowDisk is how long a write may take before a leader gives up leading: hundreds of syncs, and less than the second
	// that operators wait.
	slowDisk = 700 * time.Millisecond
	// presenceLife is how long an entry host counts as ready after it said so: three intervals and a late one.
	presenceLife = 1500 * time.Millisecond
)

// Voter is one control host. The loop alone touches the fields from node on.
type Voter struct {
	logs.Common
	Config
	Meter *metric.Meter

	mesh  *link.Mesh
	store *disk.Store
	inbox chan func()
	disk  *disk.Queue[diskJob]
	ended chan struct{}

	node     *quorum.Node
	book     *book.Book
	census   *census.Census
	entries  map[ident.HostID]entryHost
	calls    *calls
	lead     *leading
	applied  ident.Index
	began    ident.Time
	sinceCut int // bytes applied since the last snapshot
	lastTerm ident.Term
	ordered  ident.Time // when this host last ordered under an earlier term
	beats    []census.ShortHeartbeat
	older    bool           // a control host that takes no beats was linked
	whole    []census.Entry // heartbeats that say the same of an endpoint but of other adapters, or are due as a whole
	// changed are the endpoints that the other hosts are to be told of.
	changed  []census.Entry
	statusAt ident.Time
	latest   layout.Change // the change that brought the layout in force
	lastRole quorum.Role
	// leaderless is since when this host knows no leader; 0 while it does.
	leaderless ident.Time
}

// entryHost is an entry host that is linked.
type entryHost struct {
	hello link.Hello
	said  link.Presence
	at    ident.Time
}

// New opens the data folder and returns a control host that is not running yet.
func New(common logs.Common, meter *metric.Meter, c Config) (*Voter, error) {
	store, stored, err := disk.Open(c.Folder)
	if err != nil {
		return nil, err
	}
	state, err := book.Restore(stored.Snapshot.Data)
	if err != nil {
		return nil, err
	}
	v := &Voter{
		Common: common, Config: c, Meter: meter, store: store,
		inbox: make(chan func(), inboxLength), disk: disk.NewQueue[diskJob](), ended: make(chan struct{}),
		book: state, census: census.New(forgetAfter), entries: map[ident.HostID]entryHost{}, calls: newCalls(),
		applied: stored.Snapshot.Index, began: clock.Boot(),
	}
	v.census.AwaitServices = true
	if v.book.Layout != nil {
		v.nameServices()
	}
	v.recall()
	v.mesh = link.New(common, link.Config{Self: link.Hello{Host: c.Self, Domain: c.Domain, Control: true, ShortHeartbeats: true}, Handler: v, Listener: c.Listener})
	v.node = v.newNode(stored)
	for _, h := range c.Seeds {
		v.mesh.Target(h)
	}
	return v, nil
}

func (v *Voter) newNode(stored world.Stored) *quorum.Node {
	s := quorum.Settings{
		Self: v.Self, Disk: stored.Disk, Contacts: v.Seeds, TargetVoters: v.TargetVoters, RepairAfter: repairAfter,
		Domains: map[ident.HostID]ident.DomainID{v.Self: v.Domain}, HeartbeatInterval: heartbeat, ElectionTimeout: election, MaxBatch: maxBatch,
		Rand: rand.New(rand.NewPCG(v.RandomSeed, uint64(clock.Boot()))),
	}
	if v.Bootstrap {
		s.Founders = v.Seeds
	}
	v.Log.WithField("disk", stored.Disk).WithField("term", stored.Hard.Term).WithField("snapshot", stored.Snapshot.Index).WithField("entries", len(stored.Entries)).WithField("found", v.Bootstrap).Info("log-opened")
	return quorum.New(s, quorum.NewLog(stored.Snapshot, stored.Entries), stored.Hard, clock.Boot())
}

// Run serves until the context ends or the disk fails.
func (v *Voter) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return v.mesh.Run(ctx) })
	group.Go(func() error { return v.loop(ctx) })
	group.Go(func() error { return v.writeAll(ctx) })
	group.Go(func() error { return v.keepEndpoints(ctx) })
	return group.Wait()
}

// loop is the only goroutine that touches the decisions.
func (v *Voter) loop(ctx context.Context) error {
	defer close(v.ended)
	ticker := time.NewTicker(tickEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			v.tick()
		case f := <-v.inbox:
			// The clock first: a host that was suspended must not act on a lease that is over.
			v.node.Tick(clock.Boot())
			f()
			v.runQueued()
		}
		v.settle(ctx)
	}
}

// runQueued handles what waits besides, so that one settling serves many events.
func (v *Voter) runQueued() {
	for range batchEvents {
		select {
		case f := <-v.inbox:
			f()
		default:
			return
		}
	}
}

const batchEvents = 128

// post hands work to the loop, unless it has ended.
func (v *Voter) post(f func()) {
	select {
	case v.inbox <- f:
	case <-v.ended:
	}
}

func (v *Voter) tick() {
	now := clock.Boot()
	v.node.Tick(now)
	v.noteLeader(now)
	v.census.Expire(now)
	v.flushCensus()
	v.calls.expire(now)
	v.passCalls()
	if late := v.disk.OldestAge(now); late > slowDisk && v.node.Role() == quorum.Leader {
		v.Log.WithField("step", "lead").WithField("write", late.String()).Warn("disk-slow")
		v.node.StepDown(quorum.ExcludeNone)
	}
	if now >= v.statusAt {
		v.sendStatus(now)
	}
}

// noteLeader notes since when no leader is known.
func (v *Voter) noteLeader(now ident.Time) {
	leader, _ := v.node.Leader()
	switch {
	case leader != "":
		v.leaderless = 0
	case v.leaderless == 0:
		v.leaderless = now
	}
}

// settle carries out what the log and the authority want after an event.
func (v *Voter) settle(ctx context.Context) {
	v.drainLog()
	v.noteRole()
	v.runAuthority(ctx)
	v.drainLog()
}

func (v *Voter) noteRole() {
	leader, term := v.node.Leader()
	if v.node.Role() == v.lastRole && term == v.lastTerm {
		return
	}
	v.lastRole, v.lastTerm = v.node.Role(), term
	v.Log.WithField("step", "lead").WithField("term", term).WithField("leader", leader).WithField("role", v.lastRole).WithField("commit", v.node.Commit()).Info("role")
	v.statusAt = 0
}

// Receive handles a message of another host.
func (v *Voter) Receive(from link.Hello, m link.Message) {
	v.post(func() { v.receive(from, m) })
}

func (v *Voter) receive(from link.Hello, m link.Message) {
	now := clock.Boot()
	switch {
	case m.Quorum != nil:
		v.node.Step(*m.Quorum)
	case m.Status != nil:
		v.meet(m.Status.Control)
	case m.Presence != nil:
		v.entries[from.Host] = entryHost{hello: from, said: *m.Presence, at: now}
	case m.Census != nil:
		v.observe(m.Census, false)
	case m.ShortHeartbeats != nil:
		v.repeat(m.ShortHeartbeats)
	case m.Fetch != nil:
		v.serveFetch(from.Host, *m.Fetch)
	case m.Call != nil:
		v.serveCall(from.Host, *m.Call)
	case m.Answer != nil:
		v.calls.answer(*m.Answer)
	default:
		v.receivePlaces(from, m, now)
	}
}

// LinkUp tells a host all that this one knows of endpoints.
func (v *Voter) LinkUp(peer link.Hello) {
	v.post(func() {
		if peer.Control {
			v.node.Domains[peer.Host] = peer.Domain
			v.mesh.Target(peer.Host)
			v.addContact(peer.Host)
			v.older = v.older || !peer.ShortHeartbeats
		}
		list := v.heard()
		if !peer.Control {
			list = v.forEntries(list)
		}
		if len(list) > 0 {
			v.mesh.Send(peer.Host, link.Message{Census: list})
		}
		v.mesh.Send(peer.Host, link.Message{Status: v.status()})
	})
}

// LinkDown forgets what an entry host said.
func (v *Voter) LinkDown(peer link.Hello) {
	v.post(func() { delete(v.entries, peer.Host) })
}

// meet keeps links to control hosts that others know.
func (v *Voter) meet(hosts []ident.HostID) {
	for _, h := range hosts {
		v.mesh.Target(h)
		v.addContact(h)
	}
}

func (v *Voter) addContact(h ident.HostID) {
	for _, known := range v.node.Contacts {
		if known == h {
			return
		}
	}
	v.node.Contacts = append(v.node.Contacts, h)
}

// Reseed takes other control hosts to begin with.
func (v *Voter) Reseed(seeds []ident.HostID) { v.post(func() { v.meet(seeds) }) }
