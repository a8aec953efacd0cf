// Package voter runs a control host of a deployment: it replicates the log, keeps the census of endpoints and, while it is
// the leader, runs the grant authority, which assigns requests to engines.
package voter

import (
	"cmp"
	"context"
	"math/rand/v2"
	"net"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"shallotgap/core/book"
	"shallotgap/core/census"
	"shallotgap/core/grant"
	"shallotgap/core/ident"
	"shallotgap/core/layout"
	"shallotgap/core/quorum"
	corereach "shallotgap/core/reach"
	"shallotgap/core/resume"
	"shallotgap/core/world"
	"shallotgap/io/calls"
	"shallotgap/io/clock"
	"shallotgap/io/disk"
	"shallotgap/io/link"
	"shallotgap/io/logs"
	"shallotgap/io/metric"
	"shallotgap/io/reach"
)

// Engines sends the leader's orders and report requests to engines.
type Engines interface {
	// Order sends an order from its holder, with the holder's fencing token. It must not send the order after until.
	Order(ctx context.Context, o grant.Order, holder corereach.Holder, until ident.Time) grant.Result
	// Report requests an engine's report of its state.
	Report(ctx context.Context, t grant.Target) (grant.Report, error)
}

// Config holds the settings and dependencies of a control host.
type Config struct {
	// Self is the host's link address, which is also its ID.
	Self   ident.HostID
	Domain ident.DomainID
	// Regions are the regions of the failure domains, over which the voters are spread.
	Regions map[ident.DomainID]ident.RegionID
	// Operators is the address at which the host takes the calls of operators; empty if it takes none.
	Operators string
	// Seeds are the hosts to which the host connects first.
	Seeds []ident.HostID
	// Bootstrap is true when the deployment starts for the first time; the control hosts among the seeds then form the initial
	// membership.
	Bootstrap bool
	// TargetVoters is the number of voters that the leader maintains.
	TargetVoters int
	Folder       string
	// WrapFile wraps the files that are written; nil for none. Tests use it to make writes fail.
	WrapFile func(name string, f disk.File) disk.File
	// Interrupt ends the wait of New for room on a full disk when it is closed; nil for a wait without end.
	Interrupt <-chan struct{}
	// OrderPause is the minimum time from this host's last order as leader to its first order of a later term. Orders of
	// two hosts to one engine must not alternate within it.
	OrderPause  time.Duration
	GrantParams grant.Params
	Listener    net.Listener
	// Network opens the host's links; nil for a link.Mesh.
	Network link.Opener
	Engines Engines
	// DecodeLayout decodes the operators' text of a layout; nil if nothing can be read from it again.
	DecodeLayout func(source []byte) (*layout.Layout, error)
	// Paths sends to engines; nil if Engines needs no paths.
	Paths      *reach.Client
	RandomSeed uint64
}

// Timing and limits of a control host.
const (
	tickInterval     = 10 * time.Millisecond
	quorumHeartbeat  = 60 * time.Millisecond   // a fifth of electionTimeout
	electionTimeout  = 300 * time.Millisecond  // many network round trips, yet a fraction of the callers' latency targets
	repairAfter      = 1500 * time.Millisecond // delay before a lost voter is replaced: a third of the 4 s in which a new voter must catch up
	maxAppendEntries = 256                     // log entries per Append message: some tens of kB
	compactEntries   = 2000                    // log length that triggers compaction; a restart reads so many entries within milliseconds
	compactBytes     = 4 << 20                 // bytes of applied entries that trigger compaction: a small part of the smallest disk, 128 MB
	inboxCapacity    = 16384                   // limit of queued events: as many as the busiest leader gets in some seconds
	// slowDiskLimit is the duration of a disk write above which a leader steps down: the time of hundreds of syncs, yet less
	// than the 1 s that operators wait for a call.
	slowDiskLimit = 700 * time.Millisecond
	// presenceTTL is how long an entry host counts as ready after its last Presence message: three sending intervals and a
	// delay.
	presenceTTL = 1500 * time.Millisecond
)

// Voter is one control host. Only the goroutine of loop may access the fields from node on.
type Voter struct {
	logs.Common
	Config
	*calls.Forwarder
	Meter *metric.Meter

	mesh  link.Network
	store *disk.Store
	inbox chan func() // events for the loop
	disk  *disk.Queue[diskJob]
	ended chan struct{} // closed when the loop has ended

	node               *quorum.Node
	book               *book.Book
	census             *census.Census
	entryHosts         map[ident.HostID]entryHost
	linkedControlHosts map[ident.HostID]struct{}
	membersIndex       ident.Index // log index of the membership whose hosts are linked to
	leaderCalls        leaderCalls
	leadership         *leadership
	applied            ident.Index
	startedAt          ident.Time
	streams            *resume.Table   // builds that wrote to streams
	newStreams         []resume.Record // records that the other control hosts have not been sent
	bytesSinceSnapshot int             // size in bytes of the entries applied since the last snapshot
	lastTerm           ident.Term
	lastOrder          ident.Time // time of the last order that this host sent as leader of an earlier term
	shortHeartbeats    []census.ShortHeartbeat
	alive              []ident.Instance // see link.Message.Alive; sent with the next tick
	hasLegacyPeers     bool             // true once a control host that cannot read short heartbeats has connected
	// fullHeartbeats are heartbeats without a change that are sent in full, because the adapters differ from the previous
	// heartbeat or the full form is due.
	fullHeartbeats []census.Entry
	// changedEndpoints are the changes of endpoints that are sent to the other hosts with the next tick.
	changedEndpoints []census.Entry
	nextStatus       ident.Time    // time of the next status message; 0 for the next tick
	latestChange     layout.Change // the change from the previous layout to the current one
	encodedLayout    encodedLayout
	lastRole         quorum.Role
	// leaderlessSince is the time since which this host knows no leader; 0 while it knows one.
	leaderlessSince ident.Time
	turn            turn
	announced       announcedLeader
	addresses       entryHostAddresses
	oddEntries      map[ident.EndpointID]bool // endpoints named by entries that were rejected
}

// entryHost is a linked entry host with its last Presence message.
type entryHost struct {
	hello      link.Hello
	presence   link.Presence
	receivedAt ident.Time
}

// New opens the data folder and returns a control host that serves once Run is called.
func New(common logs.Common, meter *metric.Meter, c Config) (*Voter, error) {
	store, stored, err := disk.OpenWith(disk.Config{Folder: c.Folder, Wrap: c.WrapFile, WaitForRoom: true, Stop: c.Interrupt}.Observed(common, meter))
	if err != nil {
		return nil, err
	}
	state, err := book.Restore(stored.Snapshot.Data)
	if err != nil {
		return nil, err
	}
	v := &Voter{
		Common: common, Config: c, Meter: meter, store: store,
		inbox: make(chan func(), inboxCapacity), disk: disk.NewQueue[diskJob](), ended: make(chan struct{}),
		book: state, census: census.New(census.DefaultRetention), entryHosts: map[ident.HostID]entryHost{}, linkedControlHosts: map[ident.HostID]struct{}{}, oddEntries: map[ident.EndpointID]bool{},
		leaderCalls: leaderCalls{proposed: map[ident.Index][]proposal{}},
		applied:     stored.Snapshot.Index, startedAt: clock.Boot(),
	}
	v.completeLayout(v.book.Layout)
	v.streams = resume.NewTable(state.Builds.Life(), resume.Capacity)
	v.Forwarder = calls.New(calls.Config{Send: v.sendCall})
	v.census.AwaitServices = true
	v.census.LeaveSilence = cmp.Or(v.GrantParams.HeartbeatLag, census.DefaultLeaveSilence)
	v.census.Departed = func(i ident.Instance) census.State { return v.book.Departures.State(i) }
	if v.book.Layout != nil {
		v.setCensusServices()
	}
	v.restoreEndpoints()
	v.restoreEntryHosts()
	if c.Paths != nil {
		c.Paths.OnSaid(v.noteSaid)
	}
	v.mesh = c.Network.Open(common, link.Config{Self: link.Hello{Host: c.Self, Domain: c.Domain, Control: true, ShortHeartbeats: true, Operators: c.Operators}, Handler: v, Listener: c.Listener})
	v.node = v.newNode(stored)
	for _, h := range c.Seeds {
		v.mesh.Target(h)
	}
	v.linkToMembers()
	return v, nil
}

func (v *Voter) newNode(stored world.Stored) *quorum.Node {
	s := quorum.Settings{
		Self: v.Self, Disk: stored.Disk, Contacts: slices.Clone(v.Seeds), TargetVoters: v.TargetVoters, RepairAfter: repairAfter,
		Domains: map[ident.HostID]ident.DomainID{v.Self: v.Domain}, Regions: v.Regions, HeartbeatInterval: quorumHeartbeat, ElectionTimeout: electionTimeout, MaxBatch: maxAppendEntries,
		Rand: rand.New(rand.NewPCG(v.RandomSeed, uint64(clock.Boot()))),
	}
	if v.Bootstrap {
		s.Founders = v.Seeds
	}
	v.Log.WithField("disk", stored.Disk).WithField("term", stored.Hard.Term).WithField("snapshot", stored.Snapshot.Index).WithField("entries", len(stored.Entries)).WithField("found", v.Bootstrap).Info("log-opened")
	return quorum.New(s, quorum.NewLog(stored.Snapshot, stored.Entries), stored.Hard, clock.Boot())
}

// Run serves until the context ends or a disk write fails.
func (v *Voter) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	context.AfterFunc(ctx, v.store.Abandon)
	group.Go(func() error { return v.mesh.Run(ctx) })
	group.Go(func() error { return v.loop(ctx) })
	group.Go(func() error { return v.runDiskWriter(ctx) })
	group.Go(func() error { return v.saveEndpoints(ctx) })
	group.Go(func() error { return v.saveEntryHosts(ctx) })
	return group.Wait()
}

// loop handles all events in one goroutine, so that the state of the Voter needs no lock.
func (v *Voter) loop(ctx context.Context) error {
	defer close(v.ended)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			v.turn = turn{startedAt: clock.Boot()}
			v.tick()
		case f := <-v.inbox:
			v.turn = turn{startedAt: clock.Boot(), events: 1}
			// Tick ends an expired leadership first: a host that was suspended must not act on it.
			v.node.Tick(clock.Boot())
			f()
			v.runQueued()
		}
		v.processEffects(ctx)
		v.endTurn()
	}
}

// runQueued handles further queued events, so that one call of processEffects covers many of them. It stops early after expensive ones,
// since heartbeats wait for the end of the turn.
func (v *Voter) runQueued() {
	for v.turn.events <= maxEventBatch && clock.Boot().Sub(v.turn.startedAt) < maxTurn {
		select {
		case f := <-v.inbox:
			v.turn.events++
			f()
		default:
			return
		}
	}
}

// Limits of one turn of the loop.
const (
	maxEventBatch = 128
	maxTurn       = quorumHeartbeat / 4
)

// post queues f to run in the loop; it drops f once the loop has ended.
func (v *Voter) post(f func()) {
	select {
	case v.inbox <- f:
	case <-v.ended:
	}
}

func (v *Voter) tick() {
	now := clock.Boot()
	v.node.Tick(now)
	for _, e := range v.census.Expire(now) {
		if e.State != census.Gone {
			v.logEndpoint(e, "expired")
			v.Meter.Count("shallotgap_endpoints_expired_total")
		}
	}
	v.flushCensus()
	v.flushStreams()
	v.followLeader(now)
	v.setOwnRelays(now)
	v.dialOrphans(now)
	if late := v.disk.OldestAge(now); late > slowDiskLimit && v.node.Role() == quorum.Leader {
		v.Log.WithField("step", "lead").WithField("write", late.String()).Warn("disk-slow")
		v.node.StepDown(quorum.ExcludeNone)
	}
	if now >= v.nextStatus {
		v.gaugeHealth()
		if v.leadership != nil {
			v.leadership.holders.Keep(func(i ident.Instance) bool { e, known := v.census.Get(i.ID); return known && e.Instance == i })
		}
		v.sendStatus(now)
	}
}

// processEffects executes the effects of the log and of the grant authority after an event.
func (v *Voter) processEffects(ctx context.Context) {
	v.processLog()
	v.logRoleChange()
	v.runAuthority(ctx)
	v.processLog()
}

func (v *Voter) logRoleChange() {
	leader, term := v.node.Leader()
	if v.node.Role() == v.lastRole && term == v.lastTerm {
		return
	}
	v.lastRole, v.lastTerm = v.node.Role(), term
	v.Log.WithField("step", "lead").WithField("term", term).WithField("leader", leader).WithField("role", v.lastRole).WithField("commit", v.node.Commit()).Info("role")
	v.nextStatus = 0
}

// Receive handles a message from another host.
func (v *Voter) Receive(from link.Hello, m link.Message) {
	v.post(func() { v.receive(from, m) })
}

func (v *Voter) receive(from link.Hello, m link.Message) {
	now := clock.Boot()
	switch {
	case m.Quorum != nil:
		v.node.Step(*m.Quorum)
	case m.Status != nil:
		v.addControlHosts(m.Status.Control)
		v.noteLeader(from, *m.Status, now)
	case m.Presence != nil:
		v.entryHosts[from.Host] = entryHost{hello: from, presence: *m.Presence, receivedAt: now}
		v.sendRelays(from, *m.Presence, now)
	case m.Census != nil:
		v.observeEndpoints(m.Census, false)
	case m.ShortHeartbeats != nil:
		v.observeShort(m.ShortHeartbeats)
	case m.Alive != nil:
		for _, i := range m.Alive {
			v.census.Confirm(i, now)
		}
	case m.Fetch != nil:
		v.serveFetch(from.Host, *m.Fetch)
	case m.Crashed != nil:
		v.relayCrash(from, *m.Crashed)
	case m.Call != nil:
		v.serveCall(from.Host, *m.Call)
	case m.EndpointCall != nil:
		v.serveEndpointCall(from.Host, *m.EndpointCall)
	case m.Said != nil:
		v.handleSaid(from.Host, *m.Said, now)
	case m.Answer != nil:
		v.Resolve(*m.Answer)
	case m.Begun != nil:
		for _, r := range m.Begun {
			v.streams.Add(r, now) // the sender sends it to all control hosts
		}
	default:
		v.receiveGrantMessage(from, m, now)
	}
}

// LinkUp sends a newly linked host the known endpoints and this host's status.
func (v *Voter) LinkUp(peer link.Hello) {
	v.post(func() {
		if peer.Control {
			v.node.Domains[peer.Host] = peer.Domain
			v.linkedControlHosts[peer.Host] = struct{}{}
			v.addControlHosts([]ident.HostID{peer.Host})
			v.sendStreams(peer.Host)
			v.hasLegacyPeers = v.hasLegacyPeers || !peer.ShortHeartbeats
		} else if peer.Address != "" {
			v.dropContact(peer.Address)
			v.noteAddress(peer.Address, clock.Boot())
		}
		list := v.heardEndpoints()
		if !peer.Control {
			list = census.Followed(list, v.isPlain)
		}
		if len(list) > 0 {
			v.mesh.Send(peer.Host, link.Message{Census: list})
		}
		v.mesh.Send(peer.Host, link.Message{Status: v.status()})
	})
}

// LinkDown removes a disconnected host. Calls that were forwarded to the host are sent again.
func (v *Voter) LinkDown(peer link.Hello) {
	v.LinkLost(peer.Host)
	v.post(func() {
		delete(v.entryHosts, peer.Host)
		delete(v.linkedControlHosts, peer.Host)
	})
}

// linkToMembers links to the hosts of the latest membership in the log. After a loss of power of all hosts, the seeds may be hosts
// that lost their disks or are gone.
func (v *Voter) linkToMembers() {
	members, index := v.node.Members()
	if index == v.membersIndex {
		return
	}
	v.membersIndex = index
	for _, m := range members {
		v.mesh.Target(m.Host)
	}
}

// addControlHosts links to control hosts and registers them with the node as contacts.
func (v *Voter) addControlHosts(hosts []ident.HostID) {
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

// dropContact removes an entry host that was given as a seed from the hosts that may become voters.
func (v *Voter) dropContact(h ident.HostID) {
	v.node.DropContact(h)
	if v.Bootstrap && len(v.node.Founders) == 0 {
		v.Log.WithField("step", "found").WithField("peer", h).Warn("no-founder")
	}
}

// Reseed connects to the control hosts of changed settings; it keeps the existing links.
func (v *Voter) Reseed(seeds []ident.HostID) { v.post(func() { v.addControlHosts(seeds) }) }
