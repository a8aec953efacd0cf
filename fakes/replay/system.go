package replay

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"shallotgap/core/ident"
	"shallotgap/core/lease"
	"shallotgap/core/quorum"
	"shallotgap/core/rows"
	"shallotgap/core/state"
	"shallotgap/core/work"
	"shallotgap/core/world"
)

// Timings and sizes of the simulated deployment.
const (
	tickInterval     = 20 * time.Millisecond
	announceInterval = 500 * time.Millisecond
	hostDelay        = 1500 * time.Microsecond // one-way delay between two hosts
	endpointDelay    = time.Millisecond        // one-way delay between a host and an endpoint
	diskSyncTime     = 2 * time.Millisecond    // time of a disk sync
	diskHosts        = 3                       // number of hosts with a disk, which are the voters
)

// system is the policy under test: the decision cores of all hosts, connected by a simulated network.
type system struct {
	*harness
	params         world.Params
	seed           uint64
	nodes          []*node // one per host
	nodeByName     map[ident.HostID]*node
	engineByID     map[ident.EndpointID]*engine
	unfinished     map[ident.RequestID]*requestScore // requests that have arrived but not ended
	running        map[ident.RequestID]*node         // hosts that sent the requests to an engine
	lastRequestSeq uint64
	rand           *rand.Rand
}

// node is one host with its decision core.
type node struct {
	*system
	name  ident.HostID
	world *world.World
}

// newSystem returns the policy; the limits of the weight store and the placement policy come from the profile.
func newSystem(h *harness, params world.Params, seed uint64) *system {
	params.Policy = h.Policy
	params.StoreRate = h.Rate
	params.StoreInFlight = h.InFlight
	s := &system{
		harness: h, params: params, seed: seed,
		nodeByName: map[ident.HostID]*node{},
		engineByID: map[ident.EndpointID]*engine{},
		unfinished: map[ident.RequestID]*requestScore{},
		running:    map[ident.RequestID]*node{},
		rand:       rand.New(rand.NewPCG(seed, 11)),
	}
	for _, e := range h.engines {
		s.engineByID[e.name] = e
	}
	return s
}

// prepare starts the hosts, announces the engines, and schedules the edits that fill the operators' table.
func (s *system) prepare() {
	var peers []world.Peer
	for n := range s.HostCount {
		peers = append(peers, world.Peer{Host: hostName(n), Domain: ident.DomainID(fmt.Sprintf("d%d", n%3)), Disk: n < diskHosts})
	}
	for n := range s.HostCount {
		s.addHost(n, peers)
	}
	for _, e := range s.engines {
		s.announce(e)
	}
	s.after(warmUp/2, s.writeRows)
}

// hostName returns the name of the n-th host.
func hostName(n int) ident.HostID { return ident.HostID(fmt.Sprintf("h%d", n+1)) }

// addHost starts the n-th host. The first hosts have a disk and are the voters.
func (s *system) addHost(n int, peers []world.Peer) {
	c := world.Config{
		Self: hostName(n), Incarnation: 1, Peers: peers, Params: s.params,
		Rand: rand.New(rand.NewPCG(s.seed, uint64(n))),
	}
	if n < diskHosts {
		c.Stored = &world.Stored{Disk: quorum.DiskID(fmt.Sprintf("disk-%d", n))}
	}
	w, err := world.New(c)
	if err != nil {
		panic(err) // cannot happen with an empty disk
	}
	host := &node{system: s, name: c.Self, world: w}
	s.nodes = append(s.nodes, host)
	s.nodeByName[c.Self] = host
	s.after(tickInterval, host.tick)
}

// tick advances the time of the decision core and schedules the next tick.
func (n *node) tick() {
	n.handle(world.Event{})
	n.after(tickInterval, n.tick)
}

// handle passes an event to the decision core and executes the resulting effects.
func (n *node) handle(e world.Event) {
	in := world.Input{Now: ident.Time(n.now), Wall: int64(n.now / time.Second), Event: e}
	for _, effect := range n.world.Handle(in) {
		n.execute(effect)
	}
}

// handleAfter passes an event to the decision core after a delay.
func (n *node) handleAfter(d time.Duration, e world.Event) { n.after(d, func() { n.handle(e) }) }

// execute carries out an effect: messages, writes and calls take their simulated time.
func (n *node) execute(e world.Effect) {
	switch {
	case e.Send != nil:
		n.sendTo(*e.Send)
	case e.Write != nil:
		n.write(*e.Write)
	case e.Forward != nil:
		f := e.Forward
		n.nodeByName[f.To].handleAfter(hostDelay, world.Event{Arrive: &world.Arrive{Request: f.Request, From: n.name, Endpoint: f.Endpoint}})
	case e.Dispatch != nil:
		n.dispatch(*e.Dispatch)
	case e.Refuse != nil:
		n.rejectRequest(*e.Refuse)
	case e.Load != nil:
		n.load(*e.Load)
	case e.Inspect != nil:
		n.inspect(e.Inspect.Endpoint)
	}
}

// sendTo sends a message to another host.
func (n *node) sendTo(o world.Outbound) {
	n.score.messages++
	n.nodeByName[o.To].handleAfter(hostDelay, world.Event{Message: &world.Inbound{From: n.name, Message: o.Message}})
}

// write simulates a disk write: messages that depend on the write are sent when the write is synced.
func (n *node) write(w world.Write) {
	n.after(diskSyncTime, func() {
		for _, o := range w.SendAfter {
			n.sendTo(o)
		}
		if w.Seq != 0 {
			n.handle(world.Event{Written: &world.Written{Seq: w.Seq}})
		}
	})
}

// arrive sends a request to a random host: callers spread over the entry hosts.
func (s *system) arrive(a Arrival, rec *requestScore) {
	n := s.nodes[s.rand.IntN(len(s.nodes))]
	s.lastRequestSeq++
	r := work.Request{
		ID:        ident.RequestID{Host: n.name, Incarnation: 1, Seq: s.lastRequestSeq},
		Workspace: a.Workspace, Model: a.Model, TimeLeft: a.TimeLeft, Urgency: a.Urgency, Tokens: a.Tokens,
	}
	s.unfinished[r.ID] = rec
	n.handle(world.Event{Arrive: &world.Arrive{Request: r, From: n.name}})
}

// dispatch sends a request to an engine.
func (n *node) dispatch(d world.Dispatch) {
	id := d.Request.ID
	n.running[id] = n
	n.after(endpointDelay, func() {
		e := n.engineByID[d.Endpoint.ID]
		rec := n.unfinished[id]
		rec.dispatched(e)
		e.addToBatch(d.Request.Model, rec.arrival.Tokens, func(err error) { n.after(endpointDelay, func() { n.requestEnded(id, err) }) })
	})
}

// requestEnded records the end of a request on an engine and reports it to the decision core. A request that was not
// sent stays unfinished, since the decision core may retry it.
func (n *node) requestEnded(id ident.RequestID, err error) {
	rec := n.unfinished[id]
	e := world.Ended{ID: id, State: work.Answered}
	switch {
	case err == nil:
		rec.answered()
		delete(n.unfinished, id)
	case errors.Is(err, errNotLoaded):
		n.score.totals.SentWithoutAdapter++
		e = world.Ended{ID: id, State: work.NotSent, Reason: work.EndpointFailed, Detail: err.Error()}
	default:
		e = world.Ended{ID: id, State: work.Broken, Reason: work.EndpointFailed, Detail: err.Error()}
		rec.unanswered(true)
		delete(n.unfinished, id)
	}
	n.handle(world.Event{Ended: &e})
}

// rejectRequest records the rejection of a request if this host is its entry host. Any other host passes the rejection to
// the entry host, which may then route the request to another host.
func (n *node) rejectRequest(r world.Refuse) {
	rec := n.unfinished[r.ID]
	if rec == nil {
		return
	}
	if r.To == n.name {
		n.score.countReason(r.Refusal.Reason)
		rec.unanswered(false)
		delete(n.unfinished, r.ID)
		n.handle(world.Event{Finished: &world.Finished{ID: r.ID}})
		return
	}
	entry := n.nodeByName[r.To]
	if world.Bounceable(&r.Refusal) {
		entry.handleAfter(hostDelay, world.Event{Bounced: &world.Bounced{ID: r.ID, Refusal: r.Refusal}})
		return
	}
	n.after(hostDelay, func() { entry.rejectRequest(r) })
}

// load sends a load order to an engine and reports the result to the decision core.
func (n *node) load(l world.Load) {
	e := n.engineByID[l.Endpoint.ID]
	n.after(endpointDelay, func() {
		e.load(l.Model, l.Evict, func(err error) {
			done := world.Loaded{Endpoint: l.Endpoint.ID, Fence: l.Endpoint.Fence, Model: l.Model, Evicted: l.Evict}
			if err != nil {
				done.Err = err.Error()
			}
			n.handleAfter(endpointDelay, world.Event{Loaded: &done})
		})
	})
}

// inspect reports the state of an engine to the decision core that ordered the inspection.
func (n *node) inspect(o lease.Owned) {
	e := n.engineByID[o.ID]
	in := world.Inspected{Endpoint: o.ID, Fence: o.Fence, Instance: e.instance, Running: len(e.running)}
	for m := range e.residentSince {
		in.Models = append(in.Models, m)
	}
	n.handleAfter(endpointDelay, world.Event{Inspected: &in})
}

// announcement returns the announcement of an engine.
func (s *system) announcement(e *engine) lease.Endpoint {
	return lease.Endpoint{
		ID: e.name, Kind: lease.Engine, URL: "replay://" + string(e.name), Domain: "d0", Service: "base",
		Slots: e.Slots, MaxRunning: e.Batch, Instance: e.instance, ChecksFence: true,
	}
}

// announce announces an engine to the first host, at once and then at a fixed interval.
func (s *system) announce(e *engine) {
	a := s.announcement(e)
	s.nodes[0].handle(world.Event{Announced: &a})
	s.after(announceInterval, func() { s.announce(e) })
}

// restarted announces a restarted engine at once, with its new instance number.
func (s *system) restarted(e *engine) {
	a := s.announcement(e)
	s.nodes[0].handle(world.Event{Announced: &a})
}

// writeRows proposes a row of the operators' table for every adapter.
func (s *system) writeRows() {
	weights := map[ident.Workspace]uint32{}
	for _, x := range s.Shares {
		weights[x.Workspace] = x.Weight
	}
	for n := range s.Adapters {
		w, m := s.workspaceOf(n), modelOf(n)
		r := rows.Row{Workspace: w, Adapter: m.Adapter, Version: m.Version, Weight: weights[w]}
		e := rows.Edit{ID: ident.EditID(m.Adapter), Key: rows.KeyOf(w, m.Adapter), Row: &r}
		s.nodes[0].handle(world.Event{Propose: &world.Proposal{Ticket: world.Ticket(n + 1), Command: state.Command{Edit: &e}}})
	}
}
