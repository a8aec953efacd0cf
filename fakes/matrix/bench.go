// Package matrix runs every fault at every step of a small deployment in virtual time and checks what must always
// hold. The decision cores are the real ones; endpoints, callers and the data links between hosts are scripted fakes.
package matrix

import (
	"time"

	"shallotgap/core/ident"
	"shallotgap/core/rows"
	"shallotgap/core/work"
	"shallotgap/core/world"
	"shallotgap/fakes/vtime"
)

// Times of the bench's fakes.
const (
	linkDelay    = 2 * time.Millisecond
	chunkTime    = 15 * time.Millisecond
	loadTime     = 60 * time.Millisecond
	announceTime = 500 * time.Millisecond
	answerGrace  = time.Second
)

// Bench is one deployment with its endpoints, callers and operator.
type Bench struct {
	*vtime.Fleet
	Check     *Checker
	endpoints []*endpoint
	exchanges map[ident.RequestID]*exchange
	open      map[ident.RequestID]*exchange // those without an answer
	frozen    map[*vtime.Host]bool
	cuts      map[way]bool
	held      map[way][]func()
	epochs    map[way]int
	failLoads bool
	seq       uint64
	trigger   func(Step, *vtime.Host)
	rows      map[*vtime.Host]int
	answers   map[*vtime.Host]map[world.Ticket]func(world.Proposed)
	tickets   map[*vtime.Host]world.Ticket
}

type way struct{ from, to ident.HostID }

// exchange is a caller's request at its entry host.
type exchange struct {
	request work.Request
	entry   *vtime.Host
	run     *world.World
	owner   ident.HostID
	next    int
	over    func(reply)
	done    bool
}

// reply is how a caller's request ended.
type reply struct {
	refusal *work.Refusal // nil for a whole answer
	body    string
}

// frame is a message of the data plane.
type frame struct {
	forward *world.Forward
	chunk   *chunk
	cancel  *ident.RequestID
}

// chunk is a piece of an answer.
type chunk struct {
	id      ident.RequestID
	seq     int
	body    string
	end     bool
	refusal *work.Refusal
}

// NewBench returns a deployment of five hosts, three of them voters, and six endpoints in three failure domains.
// record, if not nil, is asked for recorders of the hosts' inputs.
func NewBench(seed uint64, record func(*vtime.Host, world.TraceHeader) vtime.Recorder) *Bench {
	params := world.Defaults()
	params.EntryLife = time.Second
	params.StoreRate = 20
	b := &Bench{
		exchanges: map[ident.RequestID]*exchange{}, open: map[ident.RequestID]*exchange{}, frozen: map[*vtime.Host]bool{}, cuts: map[way]bool{},
		held: map[way][]func(){}, epochs: map[way]int{}, rows: map[*vtime.Host]int{},
		answers: map[*vtime.Host]map[world.Ticket]func(world.Proposed){}, trigger: func(Step, *vtime.Host) {},
		tickets: map[*vtime.Host]world.Ticket{},
	}
	b.Check = &Checker{bench: b, ran: map[ident.RequestID]int{}, keys: map[ident.Key]int{}, told: map[ident.RequestID]work.Outcome{}, applied: map[*world.World]ident.Index{}, rows: map[rows.RowKey]acceptedRow{}}
	network := vtime.Network{Delay: time.Millisecond, Jitter: time.Millisecond}
	b.Fleet = vtime.New(vtime.Config{Hosts: 5, Disks: 3, Domains: 3, Params: params, Network: network, MaxSyncDelay: 2 * time.Millisecond, Seed: seed, Record: record})
	b.OnEffects = b.seen
	for n, d := range []ident.DomainID{"a", "b", "c"} {
		b.addEndpoint("g", d, n)
		b.addEndpoint("p", d, n)
	}
	return b
}

// alive reports whether a host's process can act now.
func (b *Bench) alive(h *vtime.Host) bool { return h.World != nil && !b.frozen[h] }

func (b *Bench) host(name ident.HostID) *vtime.Host {
	for _, h := range b.Hosts {
		if h.Name == name {
			return h
		}
	}
	return nil
}

// seen carries out the effects that vtime leaves to the edge.
func (b *Bench) seen(h *vtime.Host, effects []world.Effect) {
	run := h.World
	b.Check.look(h)
	for _, e := range effects {
		for _, s := range stepsOf(e) {
			b.trigger(s, h)
		}
		if h.World != run {
			return
		}
		b.carryOut(h, e)
	}
	if n := h.World.State().Rows.Len(); n > b.rows[h] {
		b.rows[h] = n
		b.trigger(Apply, h)
	}
}

func (b *Bench) carryOut(h *vtime.Host, e world.Effect) {
	switch {
	case e.Forward != nil:
		b.forward(h, *e.Forward)
	case e.Dispatch != nil:
		b.dispatch(h, *e.Dispatch)
	case e.Abort != nil:
		b.abort(e.Abort.ID)
	case e.Refuse != nil:
		b.sendChunk(h, e.Refuse.To, chunk{id: e.Refuse.ID, refusal: &e.Refuse.Refusal})
	case e.Load != nil:
		b.load(h, *e.Load)
	case e.Inspect != nil:
		b.inspect(h, *e.Inspect)
	case e.Proposed != nil:
		if f := b.answers[h][e.Proposed.Ticket]; f != nil {
			f(*e.Proposed)
		}
	}
}

// whenAwake runs a step of a host's edge once the process can act; a process that died meanwhile takes it along.
func (b *Bench) whenAwake(h *vtime.Host, run *world.World, step func()) {
	if h.World != run {
		return
	}
	if b.frozen[h] {
		b.After(chunkTime, func() { b.whenAwake(h, run, step) })
		return
	}
	step()
}

// post hands an event to a host's present run.
func (b *Bench) post(h *vtime.Host, run *world.World, e world.Event) {
	if h.World == run {
		b.Handle(h, e)
	}
}

// link sends a frame of the data plane. A cut link keeps frames until it heals; a reset one loses them.
func (b *Bench) link(from, to *vtime.Host, f frame) {
	w := way{from.Name, to.Name}
	epoch, run := b.epochs[w], to.World
	step := func() {
		if b.epochs[w] == epoch && to.World == run {
			b.whenAwake(to, run, func() { b.receive(to, from.Name, f) })
		}
	}
	if b.cuts[w] {
		b.held[w] = append(b.held[w], step)
		return
	}
	b.After(linkDelay, step)
}

func (b *Bench) receive(h *vtime.Host, from ident.HostID, f frame) {
	switch {
	case f.forward != nil:
		b.Handle(h, world.Event{Arrive: &world.Arrive{Request: f.forward.Request, From: from, Endpoint: f.forward.Endpoint}})
	case f.cancel != nil:
		b.Handle(h, world.Event{Cancel: &world.Cancel{ID: *f.cancel}})
	case world.Bounceable(f.chunk.refusal):
		if x := b.exchanges[f.chunk.id]; x != nil {
			x.owner = ""
		}
		b.Handle(h, world.Event{Bounced: &world.Bounced{ID: f.chunk.id, Refusal: *f.chunk.refusal}})
	default:
		b.deliver(*f.chunk)
	}
}

func (b *Bench) forward(h *vtime.Host, f world.Forward) {
	x := b.exchanges[f.Request.ID]
	if x == nil || x.done {
		return
	}
	x.owner = f.To
	b.link(h, b.host(f.To), frame{forward: &f})
}

func (b *Bench) sendChunk(h *vtime.Host, to ident.HostID, c chunk) {
	if to == h.Name {
		b.deliver(c)
		return
	}
	b.link(h, b.host(to), frame{chunk: &c})
}

// deliver passes a piece of an answer to its caller, as io/relay does.
func (b *Bench) deliver(c chunk) {
	x := b.exchanges[c.id]
	if x == nil || x.done {
		return
	}
	if c.refusal == nil && c.seq != x.next {
		c.refusal = &work.Refusal{Outcome: work.InDoubt, Reason: work.LinkLost, Step: "sequence"}
	}
	x.next++
	if c.refusal != nil || c.end {
		b.finish(x, reply{refusal: c.refusal, body: c.body})
	}
}

// finish gives the caller its final answer and tells the entry host.
func (b *Bench) finish(x *exchange, r reply) {
	x.done = true
	delete(b.open, x.request.ID)
	if x.entry.World == x.run {
		id := x.request.ID
		b.After(0, func() {
			b.whenAwake(x.entry, x.run, func() {
				b.post(x.entry, x.run, world.Event{Finished: &world.Finished{ID: id}})
				b.post(x.entry, x.run, world.Event{Cancel: &world.Cancel{ID: id}})
			})
		})
	}
	b.Check.answered(x.request, r)
	x.over(r)
}

// Submit sends a caller's request to an entry host.
func (b *Bench) Submit(h *vtime.Host, r work.Request, over func(reply)) {
	b.seq++
	r.ID = ident.RequestID{Host: h.Name, Incarnation: h.World.Incarnation, Seq: b.seq}
	x := &exchange{request: r, entry: h, run: h.World, over: over}
	b.exchanges[r.ID] = x
	b.open[r.ID] = x
	b.trigger(Admit, h)
	b.After(r.TimeLeft+answerGrace, func() {
		if !x.done {
			b.finish(x, reply{refusal: &work.Refusal{Outcome: work.InDoubt, Reason: work.Late, Step: "answer"}})
		}
	})
	if h.World == x.run && h.World != nil {
		b.Handle(h, world.Event{Arrive: &world.Arrive{Request: r, From: h.Name}})
	}
}

// Reset breaks all data links of a host: frames under way are lost and both sides notice.
func (b *Bench) Reset(h *vtime.Host) {
	for _, other := range b.Hosts {
		if other == h {
			continue
		}
		for _, w := range []way{{h.Name, other.Name}, {other.Name, h.Name}} {
			b.epochs[w]++
			delete(b.held, w)
		}
		b.lost(h, other.Name)
		b.lost(other, h.Name)
	}
}

// lost breaks off what depended on a link, as io/relay and io/host do.
func (b *Bench) lost(h *vtime.Host, other ident.HostID) {
	for _, x := range b.sorted() {
		if x.entry == h && x.run == h.World && x.owner == other && !x.done {
			b.finish(x, reply{refusal: &work.Refusal{Outcome: work.InDoubt, Reason: work.LinkLost, Step: "link"}})
		}
	}
	if h.World != nil {
		b.Handle(h, world.Event{LinkLost: &world.LinkLost{Host: other}})
	}
}

// Crash ends a host's process with all that its edge holds.
func (b *Bench) Crash(h *vtime.Host) {
	if h.World == nil {
		return
	}
	run := h.World
	b.Fleet.Crash(h)
	delete(b.frozen, h)
	delete(b.rows, h)
	b.Reset(h)
	for _, x := range b.sorted() {
		if x.run == run && !x.done {
			b.finish(x, reply{refusal: &work.Refusal{Outcome: work.InDoubt, Reason: work.LinkLost, Step: "connection"}})
		}
	}
	b.dropRuns(run)
}
