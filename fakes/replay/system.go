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

// Timings of the virtual deployment.
const (
	tickEvery     = 20 * time.Millisecond
	announceEvery = 500 * time.Millisecond
	hostDelay     = 1500 * time.Microsecond // one way between hosts
	endpointDelay = time.Millisecond        // one way between a host and an endpoint
	syncTime      = 2 * time.Millisecond    // of a disk
	disks         = 3
)

// system runs the real decision cores of all hosts.
type system struct {
	*harness
	params  world.Params
	seed    uint64
	hosts   []*node
	byName  map[ident.HostID]*node
	engine  map[ident.EndpointID]*engine
	calls   map[ident.RequestID]*ending
	running map[ident.RequestID]*node
	seq     uint64
	rand    *rand.Rand
}

// node is one host with its world.
type node struct {
	*system
	name  ident.HostID
	world *world.World
}

func newSystem(l *harness, params world.Params, seed uint64) *system {
	params.Policy = l.Policy
	params.StoreRate = l.Rate
	params.StoreInFlight = l.InFlight
	s := &system{
		harness: l, params: params, seed: seed,
		byName:  map[ident.HostID]*node{},
		engine:  map[ident.EndpointID]*engine{},
		calls:   map[ident.RequestID]*ending{},
		running: map[ident.RequestID]*node{},
		rand:    rand.New(rand.NewPCG(seed, 11)),
	}
	for _, e := range l.engines {
		s.engine[e.name] = e
	}
	return s
}

// prepare starts the hosts, announces the engines and writes the table.
func (s *system) prepare() {
	var peers []world.Peer
	for n := range s.HostCount {
		peers = append(peers, world.Peer{Host: hostName(n), Domain: ident.DomainID(fmt.Sprintf("d%d", n%3)), Disk: n < disks})
	}
	for n := range s.HostCount {
		s.addHost(n, peers)
	}
	for _, e := range s.engines {
		s.announce(e)
	}
	s.after(warmUp/2, s.writeRows)
}

func hostName(n int) ident.HostID { return ident.HostID(fmt.Sprintf("h%d", n+1)) }

func (s *system) addHost(n int, peers []world.Peer) {
	c := world.Config{
		Self: hostName(n), Incarnation: 1, Peers: peers, Params: s.params,
		Rand: rand.New(rand.NewPCG(s.seed, uint64(n))),
	}
	if n < disks {
		c.Stored = &world.Stored{Disk: quorum.DiskID(fmt.Sprintf("disk-%d", n))}
	}
	w, err := world.New(c)
	if err != nil {
		panic(err) // an empty disk always gives a world
	}
	host := &node{system: s, name: c.Self, world: w}
	s.hosts = append(s.hosts, host)
	s.byName[c.Self] = host
	s.after(tickEvery, host.tick)
}

func (n *node) tick() {
	n.handle(world.Event{})
	n.after(tickEvery, n.tick)
}

func (n *node) handle(e world.Event) {
	in := world.Input{Now: ident.Time(n.now), Wall: int64(n.now / time.Second), Event: e}
	for _, effect := range n.world.Handle(in) {
		n.carryOut(effect)
	}
}

// later hands an event to the world after a delay.
func (n *node) later(d time.Duration, e world.Event) { n.after(d, func() { n.handle(e) }) }

func (n *node) carryOut(e world.Effect) {
	switch {
	case e.Send != nil:
		n.sendTo(*e.Send)
	case e.Write != nil:
		n.write(*e.Write)
	case e.Forward != nil:
		f := e.Forward
		n.byName[f.To].later(hostDelay, world.Event{Arrive: &world.Arrive{Request: f.Request, From: n.name, Endpoint: f.Endpoint}})
	case e.Dispatch != nil:
		n.dispatch(*e.Dispatch)
	case e.Refuse != nil:
		n.refused(*e.Refuse)
	case e.Load != nil:
		n.load(*e.Load)
	case e.Inspect != nil:
		n.inspect(e.Inspect.Endpoint)
	}
}

func (n *node) sendTo(o world.Outbound) {
	n.score.messages++
	n.byName[o.To].later(hostDelay, world.Event{Message: &world.Inbound{From: n.name, Message: o.Message}})
}

func (n *node) write(w world.Write) {
	n.after(syncTime, func() {
		for _, o := range w.SendAfter {
			n.sendTo(o)
		}
		if w.Seq != 0 {
			n.handle(world.Event{Written: &world.Written{Seq: w.Seq}})
		}
	})
}

// arrive hands a request to any one host, as callers do that keep their address answers.
func (s *system) arrive(a Arrival, ends *ending) {
	n := s.hosts[s.rand.IntN(len(s.hosts))]
	s.seq++
	r := work.Request{
		ID:        ident.RequestID{Host: n.name, Incarnation: 1, Seq: s.seq},
		Workspace: a.Workspace, Model: a.Model, TimeLeft: a.TimeLeft, Urgency: a.Urgency, Tokens: a.Tokens,
	}
	s.calls[r.ID] = ends
	n.handle(world.Event{Arrive: &world.Arrive{Request: r, From: n.name}})
}

func (n *node) dispatch(d world.Dispatch) {
	id := d.Request.ID
	n.running[id] = n
	n.after(endpointDelay, func() {
		e := n.engine[d.Endpoint.ID]
		ends := n.calls[id]
		ends.dispatched(e)
		e.start(d.Request.Model, ends.arrival.Tokens, func(err error) { n.after(endpointDelay, func() { n.ended(id, err) }) })
	})
}

func (n *node) ended(id ident.RequestID, err error) {
	ends := n.calls[id]
	e := world.Ended{ID: id, State: work.Answered}
	switch {
	case err == nil:
		ends.answered()
		delete(n.calls, id)
	case errors.Is(err, errNotHeld):
		n.score.res.SentWithoutAdapter++
		e = world.Ended{ID: id, State: work.NotSent, Reason: work.EndpointFailed, Detail: err.Error()}
	default:
		e = world.Ended{ID: id, State: work.Broken, Reason: work.EndpointFailed, Detail: err.Error()}
		ends.refused(true)
		delete(n.calls, id)
	}
	n.handle(world.Event{Ended: &e})
}

func (n *node) refused(r world.Refuse) {
	ends := n.calls[r.ID]
	if ends == nil {
		return
	}
	if r.To == n.name {
		n.score.reason(r.Refusal.Reason)
		ends.refused(false)
		delete(n.calls, r.ID)
		n.handle(world.Event{Finished: &world.Finished{ID: r.ID}})
		return
	}
	entry := n.byName[r.To]
	if world.Bounceable(&r.Refusal) {
		entry.later(hostDelay, world.Event{Bounced: &world.Bounced{ID: r.ID, Refusal: r.Refusal}})
		return
	}
	n.after(hostDelay, func() { entry.refused(r) })
}

func (n *node) load(l world.Load) {
	e := n.engine[l.Endpoint.ID]
	n.after(endpointDelay, func() {
		e.load(l.Model, l.Evict, func(err error) {
			done := world.Loaded{Endpoint: l.Endpoint.ID, Fence: l.Endpoint.Fence, Model: l.Model, Evicted: l.Evict}
			if err != nil {
				done.Err = err.Error()
			}
			n.later(endpointDelay, world.Event{Loaded: &done})
		})
	})
}

func (n *node) inspect(o lease.Owned) {
	e := n.engine[o.ID]
	in := world.Inspected{Endpoint: o.ID, Fence: o.Fence, Instance: e.instance, Running: len(e.running)}
	for m := range e.held {
		in.Models = append(in.Models, m)
	}
	n.later(endpointDelay, world.Event{Inspected: &in})
}

func (s *system) describe(e *engine) lease.Endpoint {
	return lease.Endpoint{
		ID: e.name, Kind: lease.Engine, URL: "replay://" + string(e.name), Domain: "d0", Service: "base",
		Slots: e.Slots, MaxRunning: e.Batch, Instance: e.instance, ChecksFence: true,
	}
}

func (s *system) announce(e *engine) {
	a := s.describe(e)
	s.hosts[0].handle(world.Event{Announced: &a})
	s.after(announceEvery, func() { s.announce(e) })
}

func (s *system) restarted(e *engine) {
	a := s.describe(e)
	s.hosts[0].handle(world.Event{Announced: &a})
}

// writeRows puts a row for every adapter in the table.
func (s *system) writeRows() {
	weights := map[ident.Workspace]uint32{}
	for _, x := range s.Shares {
		weights[x.Workspace] = x.Weight
	}
	for n := range s.Adapters {
		w, m := s.owner(n), modelOf(n)
		r := rows.Row{Workspace: w, Adapter: m.Adapter, Version: m.Version, Weight: weights[w]}
		e := rows.Edit{ID: ident.EditID(m.Adapter), Key: rows.KeyOf(w, m.Adapter), Row: &r}
		s.hosts[0].handle(world.Event{Propose: &world.Proposal{Ticket: world.Ticket(n + 1), Command: state.Command{Edit: &e}}})
	}
}
