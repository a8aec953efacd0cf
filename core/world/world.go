// Package world joins all tables and systems of one host: events go in, effects come out.
//
// A world has no goroutines, sockets or clocks of its own. The same inputs give the same effects, so a
// recorded trace can be replayed.
package world

import (
	"fmt"
	"math/rand/v2"

	"shallotgap/core/feed"
	"shallotgap/core/ident"
	"shallotgap/core/lease"
	"shallotgap/core/place"
	"shallotgap/core/quorum"
	"shallotgap/core/share"
	"shallotgap/core/state"
	"shallotgap/core/wire"
)

// Peer is a host as the settings name it.
type Peer struct {
	Host   ident.HostID
	Domain ident.DomainID
	// Disk is true for a host with a data folder.
	Disk bool
}

// Stored is what the disk of a voter held at the start.
type Stored struct {
	Disk     quorum.DiskID
	Hard     quorum.HardState
	Snapshot quorum.Snapshot
	Entries  []quorum.Entry
}

// Config is what a world is made from.
type Config struct {
	Self        ident.HostID
	Incarnation ident.Incarnation
	Peers       []Peer // all hosts, this one included
	Stored      *Stored
	Params      Params
	Rand        *rand.Rand
	Now         ident.Time
}

// World is the decision core of one host.
type World struct {
	Config
	now     ident.Time
	wall    int64
	effects []Effect

	node   *quorum.Node // nil without a data folder
	state  *state.State
	recent *feed.Recent
	holder lease.Holder
	// down are the hosts without a lease, as the leader last said.
	down   []ident.HostID
	lead   *leadership // nil while another host leads
	leader ident.HostID
	// compacting is set while a snapshot is being encoded.
	compacting bool

	tickets Ticket
	pending map[Ticket]*pending
	asking  map[Ticket]*asking

	sites      map[ident.EndpointID]*place.Site
	ownersSeen ownersSeen
	items      map[ident.RequestID]*place.Item
	forwards   map[ident.RequestID]forwarded
	// returned are requests of this host's callers that go to another endpoint or owner.
	returned []returned
	// open is the number of callers' requests at this host.
	open int
	// left and taken are the endpoints whose work is handed over; stray are the requests that run at endpoints given up.
	left  map[ident.EndpointID]*leftSite
	taken map[ident.EndpointID]*takenSite
	stray map[ident.RequestID]bool
	// backs are the requests that go back to their entry host once their claim is released.
	backs   map[ident.RequestID]*backward
	reports map[ident.EndpointID]place.Report
	// holding are the endpoints of other hosts that have an adapter or will have it, by their reports.
	holding   map[ident.Model][]ident.EndpointID
	routes    *routeIndex
	wantsAt   ident.Time // when an empty list of wishes is due
	sending   map[ident.EndpointID]sending
	reporting reporting
	rates     map[rateKey]*share.Bucket
	avoided   map[avoidKey]ident.Time
	// draining is when this host learned of the drain that started at an index.
	draining map[ident.Index]ident.Time
	retries  share.RetryBudget
}

// New returns the world of a host that starts at c.Now.
func New(c Config) (*World, error) {
	w := &World{
		Config:    c,
		now:       c.Now,
		state:     state.New(),
		recent:    feed.NewRecent(0),
		holder:    lease.Holder{Terms: c.Params.Lease, Incarnation: c.Incarnation},
		pending:   map[Ticket]*pending{},
		asking:    map[Ticket]*asking{},
		sites:     map[ident.EndpointID]*place.Site{},
		items:     map[ident.RequestID]*place.Item{},
		forwards:  map[ident.RequestID]forwarded{},
		reports:   map[ident.EndpointID]place.Report{},
		holding:   map[ident.Model][]ident.EndpointID{},
		reporting: newReporting(),
		left:      map[ident.EndpointID]*leftSite{},
		taken:     map[ident.EndpointID]*takenSite{},
		stray:     map[ident.RequestID]bool{},
		sending:   map[ident.EndpointID]sending{},
		backs:     map[ident.RequestID]*backward{},
		// Tickets of two runs never meet, so that a late answer to the earlier run matches nothing.
		tickets:  Ticket(c.Incarnation),
		rates:    map[rateKey]*share.Bucket{},
		avoided:  map[avoidKey]ident.Time{},
		draining: map[ident.Index]ident.Time{},
	}
	if c.Stored == nil {
		return w, nil
	}
	return w, w.startNode(*c.Stored)
}

func (w *World) startNode(s Stored) error {
	if len(s.Snapshot.Data) > 0 {
		if err := w.restore(s.Snapshot); err != nil {
			return err
		}
	}
	w.node = quorum.New(quorum.Settings{
		Self:              w.Self,
		Disk:              s.Disk,
		RepairAfter:       w.Params.RepairAfter,
		Founders:          w.founders(),
		Contacts:          w.diskHosts(),
		Domains:           w.domains(),
		HeartbeatInterval: w.Params.Heartbeat,
		ElectionTimeout:   w.Params.Election,
		MaxBatch:          512,
		Rand:              w.Rand,
	}, quorum.NewLog(s.Snapshot, s.Entries), s.Hard, w.Now)
	return nil
}

func (w *World) restore(s quorum.Snapshot) error {
	var snap state.Snapshot
	if err := wire.Unmarshal(s.Data, &snap); err != nil {
		return fmt.Errorf("restore snapshot %d: %w", s.Index, err)
	}
	snap.Applied = s.Index
	w.state = state.Restore(snap)
	w.recent = feed.NewRecent(s.Index)
	return nil
}

// Handle takes one event at the clock reading now (wall in Unix seconds) and returns what to do.
func (w *World) Handle(in Input) []Effect {
	w.now = max(w.now, in.Now)
	w.wall = in.Wall
	if w.node != nil {
		// A host that stood still notices before anything else that it may have lost the lead.
		w.node.Tick(w.now)
		w.followLeader()
	}
	w.handle(in.Event)
	w.run()
	out := w.effects
	w.effects = nil
	return out
}

func (w *World) handle(e Event) {
	switch {
	case e.Message != nil:
		w.receive(e.Message.From, e.Message.Message)
	case e.Written != nil:
		w.written(*e.Written)
	case e.Arrive != nil:
		w.arrive(*e.Arrive)
	case e.Cancel != nil:
		w.cancel(e.Cancel.ID)
	case e.Ended != nil:
		w.ended(*e.Ended)
	case e.Announced != nil:
		w.announced(*e.Announced)
	case e.Loaded != nil:
		w.loaded(*e.Loaded)
	case e.Inspected != nil:
		w.inspected(*e.Inspected)
	case e.Propose != nil:
		w.propose(e.Propose.Command, purpose{ticket: e.Propose.Ticket})
	case e.Ask != nil:
		w.ask(*e.Ask)
	case e.Bounced != nil:
		w.bounced(*e.Bounced)
	case e.Finished != nil:
		w.finished(e.Finished.ID)
	case e.Compacted != nil:
		w.compacted(*e.Compacted)
	case e.LinkUp != nil:
		w.sendAllReports(e.LinkUp.Host)
	case e.LinkLost != nil:
		w.linkLost(e.LinkLost.Host)
	default:
		w.tick()
	}
}

// tick runs the systems that depend on the clock.
func (w *World) tick() {
	w.renew()
	w.resend()
	w.reroute()
	w.handOver()
	w.expireBacks()
	w.tickLeader()
	w.tickSites()
	w.expire()
	w.broadcastReports()
}

// run lets the systems follow what an event changed.
func (w *World) run() {
	w.runQuorum()
	w.followLeader()
	w.syncSites()
	w.dispatch()
	w.runQuorum()
}

func (w *World) emit(e Effect) { w.effects = append(w.effects, e) }

// send passes a message to a host; one to this host itself is handled at once.
func (w *World) send(to ident.HostID, m Message) {
	if to == w.Self {
		w.receive(w.Self, m)
		return
	}
	w.emit(Effect{Send: &Outbound{To: to, Message: m}})
}

func (w *World) note(id ident.RequestID, step, cause, peer string) {
	w.emit(Effect{Note: &Note{Request: id, At: w.now, Step: step, Cause: cause, Peer: peer}})
}

// State returns the replicated state as this host has applied it. The caller must not change it.
func (w *World) State() *state.State { return w.state }

// Leader returns the leading host as far as this host knows, or "".
func (w *World) Leader() ident.HostID { return w.leader }

// Serving reports whether this host's lease is valid.
func (w *World) Serving() bool { return w.holder.Valid(w.now) }

// ServingAt reports whether this host's lease is valid at a reading of its clock.
func (w *World) ServingAt(now ident.Time) bool { return w.holder.Valid(now) }

// Members returns the membership of the replicated log in force on this host; none without a data folder.
func (w *World) Members() quorum.Members {
	if w.node == nil {
		return nil
	}
	members, _ := w.node.Members()
	return members
}
