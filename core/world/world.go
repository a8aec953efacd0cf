// Package world is the deterministic decision core of one host: it takes events and returns effects.
//
// A World has no goroutines, sockets or clocks of its own. The same inputs always give the same effects, so a
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

// Peer is a host listed in the settings.
type Peer struct {
	Host   ident.HostID
	Domain ident.DomainID
	// Disk is true for a host with a data folder; it keeps a copy of the replicated log.
	Disk bool
}

// Stored is the replication state that a host read from its data folder at startup.
type Stored struct {
	Disk     quorum.DiskID
	Hard     quorum.HardState
	Snapshot quorum.Snapshot
	Entries  []quorum.Entry
}

// Config holds everything that New needs to create a World.
type Config struct {
	Self        ident.HostID
	Incarnation ident.Incarnation
	Peers       []Peer  // all hosts, including this one
	Stored      *Stored // nil on a host without a data folder
	Params      Params
	Rand        *rand.Rand
	Now         ident.Time
}

// World is the decision core of one host. It is not safe for concurrent use.
type World struct {
	Config
	now     ident.Time
	wall    int64    // Unix seconds
	effects []Effect // effects of the event that is being handled

	node   *quorum.Node // nil without a data folder
	state  *state.State
	recent *feed.Recent // the latest commands, for hosts without a log
	lease  lease.Holder
	// hostsDown lists the hosts without a lease according to the leader's latest reply to a renewal.
	hostsDown  []ident.HostID
	openWrites openWrites
	leadership *leadership // nil while another host leads
	leader     ident.HostID
	// compacting is true from a Compact effect until its Compacted event.
	compacting bool

	tickets          Ticket // the last ticket issued
	pendingProposals map[Ticket]*pendingProposal
	pendingQuestions map[Ticket]*pendingQuestion

	// sites are the endpoints that this host owns.
	sites map[ident.EndpointID]*place.Site
	// sitesVersion is the version of the ownership table that sites reflects.
	sitesVersion ownersVersion
	// items are the requests that this host, as owner, has queued or dispatched.
	items map[ident.RequestID]*place.Item
	// forwards are the requests that this host, as entry host, has sent to the owner of an endpoint.
	forwards map[ident.RequestID]forwarded
	// returned are the requests that this host, as entry host, will route again.
	returned []returned
	// openRequests is the number of requests received from callers and not yet finished.
	openRequests int
	// formerSites are the endpoints that this host owned and whose running requests it reports to the next owner.
	formerSites map[ident.EndpointID]*formerSite
	// takeovers holds the requests that former owners still run at the endpoints that this host owns now.
	takeovers map[ident.EndpointID]*takeover
	// orphaned are the requests of this host that still run at endpoints it no longer owns.
	orphaned map[ident.RequestID]bool
	// pendingReturns are the requests that return to their entry host once their claim is released.
	pendingReturns map[ident.RequestID]*pendingReturn
	// reports are the latest reports of other hosts on the endpoints that they own.
	reports map[ident.EndpointID]place.Report
	// reportedHolders lists the endpoints at which an adapter is resident, loading or waited for, according to reports.
	reportedHolders map[ident.Model][]ident.EndpointID
	routes          *routeIndex                    // nil before the first routing decision
	emptyWantsDue   ident.Time                     // when the next empty list of wanted loads may be sent
	sentCounts      map[ident.EndpointID]sentCount // requests that load reports may not include yet, by endpoint
	reportSchedule  reportSchedule
	rateBuckets     map[rateKey]*share.Bucket
	// avoided holds the time until which an adapter's requests are not routed to an engine that failed to load the adapter.
	avoided map[avoidKey]ident.Time
	// drainSeenAt holds when this host learned of a drain, by the log index at which the drain started.
	drainSeenAt map[ident.Index]ident.Time
	retryBudget share.RetryBudget
	poisonWatch
	limitWatch
}

// New returns the World of a host that starts at c.Now.
func New(c Config) (*World, error) {
	w := &World{
		Config:           c,
		now:              c.Now,
		state:            state.New(),
		recent:           feed.NewRecent(0),
		lease:            lease.Holder{Terms: c.Params.Lease, Incarnation: c.Incarnation},
		pendingProposals: map[Ticket]*pendingProposal{},
		pendingQuestions: map[Ticket]*pendingQuestion{},
		sites:            map[ident.EndpointID]*place.Site{},
		items:            map[ident.RequestID]*place.Item{},
		forwards:         map[ident.RequestID]forwarded{},
		reports:          map[ident.EndpointID]place.Report{},
		reportedHolders:  map[ident.Model][]ident.EndpointID{},
		reportSchedule:   newReportSchedule(),
		formerSites:      map[ident.EndpointID]*formerSite{},
		takeovers:        map[ident.EndpointID]*takeover{},
		orphaned:         map[ident.RequestID]bool{},
		sentCounts:       map[ident.EndpointID]sentCount{},
		pendingReturns:   map[ident.RequestID]*pendingReturn{},
		// Tickets start at the incarnation, so that a late reply to an earlier incarnation matches no ticket of this one.
		tickets:     Ticket(c.Incarnation),
		rateBuckets: map[rateKey]*share.Bucket{},
		avoided:     map[avoidKey]ident.Time{},
		drainSeenAt: map[ident.Index]ident.Time{},
		poisonWatch: newPoisonWatch(),
	}
	w.limitWatch = w.newLimitWatch()
	if c.Stored == nil {
		return w, nil
	}
	return w, w.startNode(*c.Stored)
}

// startNode starts the replication node from the stored state.
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
		Founders:          w.initialVoters(),
		Contacts:          w.diskHosts(),
		Domains:           w.domains(),
		HeartbeatInterval: w.Params.Heartbeat,
		ElectionTimeout:   w.Params.Election,
		MaxBatch:          512,
		Rand:              w.Rand,
	}, quorum.NewLog(s.Snapshot, s.Entries), s.Hard, w.Now)
	return nil
}

// restore replaces the replicated state by a snapshot.
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

// Handle processes one event and returns its effects.
func (w *World) Handle(in Input) []Effect {
	w.now = max(w.now, in.Now)
	w.wall = in.Wall
	if w.node != nil {
		// Tick before the event is handled, as this host may have lost the leadership while its process was paused.
		w.node.Tick(w.now)
		w.updateLeadership()
	}
	w.handle(in.Event)
	w.settle()
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

// tick runs all periodic work.
func (w *World) tick() {
	w.renew()
	w.resend()
	w.reroute()
	w.sendHandovers()
	w.expirePendingReturns()
	w.forgetBroken()
	w.tickLeader()
	w.tickSites()
	w.expire()
	w.broadcastReports()
}

// settle applies committed entries, adapts to changes of leadership and ownership, and dispatches requests.
func (w *World) settle() {
	w.runQuorum()
	w.updateLeadership()
	w.syncSites()
	w.dispatch()
	w.runQuorum()
}

func (w *World) emit(e Effect) { w.effects = append(w.effects, e) }

// send sends a message to a host; a message to this host itself is handled at once.
func (w *World) send(to ident.HostID, m Message) {
	if to == w.Self {
		w.receive(w.Self, m)
		return
	}
	w.emit(Effect{Send: &Outbound{To: to, Message: m}})
}

// note records a step of a request for operators who ask how the request was handled.
func (w *World) note(id ident.RequestID, step, cause, peer string) {
	w.emit(Effect{Note: &Note{Request: id, At: w.now, Step: step, Cause: cause, Peer: peer}})
}

// State returns the replicated state at the last index that this host has applied. The state must not be changed.
func (w *World) State() *state.State { return w.state }

// Leader returns the leader known to this host, or "" if none is known.
func (w *World) Leader() ident.HostID { return w.leader }

// Serving reports whether this host's lease is valid at its last event.
func (w *World) Serving() bool { return w.lease.Valid(w.now) }

// ServingAt reports whether this host's lease is valid at now, a reading of this host's clock.
func (w *World) ServingAt(now ident.Time) bool { return w.lease.Valid(now) }

// Members returns the membership of the replicated log as known to this host; nil on a host without a data folder.
func (w *World) Members() quorum.Members {
	if w.node == nil {
		return nil
	}
	members, _ := w.node.Members()
	return members
}
