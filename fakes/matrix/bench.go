// Package matrix injects every fault at every step of a small deployment that runs in virtual time, and checks the
// invariants of the system. The decision cores are real; endpoints, callers and the data links between hosts are
// scripted fakes.
package matrix

import (
	"time"

	"shallotgap/core/ident"
	"shallotgap/core/rows"
	"shallotgap/core/work"
	"shallotgap/core/world"
	"shallotgap/fakes/vtime"
)

// Durations of the simulated endpoints and data links.
const (
	linkDelay    = 2 * time.Millisecond
	chunkTime    = 15 * time.Millisecond
	loadTime     = 60 * time.Millisecond
	announceTime = 500 * time.Millisecond
	answerGrace  = time.Second // a caller waits this much longer than its deadline
)

// Bench is a simulated deployment with its endpoints, callers and operators.
type Bench struct {
	*vtime.Fleet
	Check       *Checker
	ThinkTime   time.Duration // pause of a caller between two requests
	endpoints   []*endpoint
	exchanges   map[ident.RequestID]*exchange
	unanswered  map[ident.RequestID]*exchange // exchanges without a final answer
	frozen      map[*vtime.Host]bool
	cuts        map[direction]bool                                    // links that are cut
	heldFrames  map[direction][]func()                                // deliveries that wait until a cut link heals
	linkEpochs  map[direction]int                                     // incremented by each reset of the link
	failLoads   bool                                                  // whether load orders fail
	seq         uint64                                                // sequence number of the last request
	trigger     func(Step, *vtime.Host)                               // called when a host reaches a step
	rowCounts   map[*vtime.Host]int                                   // rows at the last event of the host
	onProposed  map[*vtime.Host]map[world.Ticket]func(world.Proposed) // callbacks of proposed commands
	lastTickets map[*vtime.Host]world.Ticket
}

// direction is one direction of the data link between two hosts.
type direction struct{ from, to ident.HostID }

// exchange is the state of a caller's request at its entry host, which passes the chunks of the answer to the caller.
type exchange struct {
	request  work.Request
	entry    *vtime.Host
	entryRun *world.World // identifies the process of the entry host that took the request
	owner    ident.HostID // host to which the request was forwarded
	nextSeq  int          // sequence number of the next chunk
	onReply  func(reply)
	done     bool
}

// reply is the final result of a caller's request.
type reply struct {
	refusal *work.Refusal // nil when the answer is complete
	body    string
}

// frame is a message of the data plane; exactly one field is set.
type frame struct {
	forward *world.Forward
	chunk   *chunk
	cancel  *ident.RequestID
}

// chunk is a part of an answer, or the rejection that ends the answer.
type chunk struct {
	id      ident.RequestID
	seq     int
	body    string
	end     bool
	refusal *work.Refusal
}

// NewBench returns a deployment of five hosts, three of them voters, and six endpoints in three failure domains.
// record, if not nil, is called at each start of a host and returns a recorder of its inputs, or nil.
func NewBench(seed uint64, record func(*vtime.Host, world.TraceHeader) vtime.Recorder) *Bench {
	params := world.Defaults()
	params.EntryLife = time.Second
	params.StoreRate = 20
	b := &Bench{
		ThinkTime: thinkTime,
		exchanges: map[ident.RequestID]*exchange{}, unanswered: map[ident.RequestID]*exchange{},
		frozen: map[*vtime.Host]bool{}, cuts: map[direction]bool{},
		heldFrames: map[direction][]func(){}, linkEpochs: map[direction]int{}, rowCounts: map[*vtime.Host]int{},
		onProposed: map[*vtime.Host]map[world.Ticket]func(world.Proposed){}, trigger: func(Step, *vtime.Host) {},
		lastTickets: map[*vtime.Host]world.Ticket{},
	}
	b.Check = &Checker{
		bench: b, runsByRequest: map[ident.RequestID]int{}, runsByKey: map[ident.Key]int{}, outcomes: map[ident.RequestID]work.Outcome{},
		applied: map[*world.World]ident.Index{}, acceptedRows: map[rows.RowKey]acceptedRow{},
	}
	network := vtime.Network{Delay: time.Millisecond, Jitter: time.Millisecond}
	b.Fleet = vtime.New(vtime.Config{
		Hosts: 5, Disks: 3, Domains: 3, Params: params, Network: network,
		MaxSyncDelay: 2 * time.Millisecond, Seed: seed, Record: record,
	})
	b.OnEffects = b.onEffects
	for n, d := range []ident.DomainID{"a", "b", "c"} {
		b.addEndpoint("g", d, n)
		b.addEndpoint("p", d, n)
	}
	return b
}

// alive reports whether a host's process is running and not frozen.
func (b *Bench) alive(h *vtime.Host) bool { return h.World != nil && !b.frozen[h] }

func (b *Bench) host(name ident.HostID) *vtime.Host {
	for _, h := range b.Hosts {
		if h.Name == name {
			return h
		}
	}
	return nil
}

// onEffects applies the effects that vtime does not simulate, and triggers the steps that these effects begin.
func (b *Bench) onEffects(h *vtime.Host, effects []world.Effect) {
	run := h.World
	b.Check.checkHost(h)
	for _, e := range effects {
		for _, s := range stepsOf(e) {
			b.trigger(s, h)
		}
		if h.World != run {
			return
		}
		b.applyEffect(h, e)
	}
	if n := h.World.State().Rows.Len(); n > b.rowCounts[h] {
		b.rowCounts[h] = n
		b.trigger(Apply, h)
	}
}

// applyEffect applies an effect to endpoints, callers and data links.
func (b *Bench) applyEffect(h *vtime.Host, e world.Effect) {
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
		if f := b.onProposed[h][e.Proposed.Ticket]; f != nil {
			f(*e.Proposed)
		}
	}
}

// whenThawed calls f, which is a part of a host's I/O, as soon as the process is not frozen. The call is dropped if the
// process has ended.
func (b *Bench) whenThawed(h *vtime.Host, run *world.World, f func()) {
	if h.World != run {
		return
	}
	if b.frozen[h] {
		b.After(chunkTime, func() { b.whenThawed(h, run, f) })
		return
	}
	f()
}

// post passes an event to a host, unless the process that run belongs to has ended.
func (b *Bench) post(h *vtime.Host, run *world.World, e world.Event) {
	if h.World == run {
		b.Handle(h, e)
	}
}

// link sends a frame of the data plane from one host to another. A cut link holds its frames until the link heals; a reset
// link loses its frames.
func (b *Bench) link(from, to *vtime.Host, f frame) {
	d := direction{from.Name, to.Name}
	epoch, run := b.linkEpochs[d], to.World
	deliverFrame := func() {
		if b.linkEpochs[d] == epoch && to.World == run {
			b.whenThawed(to, run, func() { b.receive(to, from.Name, f) })
		}
	}
	if b.cuts[d] {
		b.heldFrames[d] = append(b.heldFrames[d], deliverFrame)
		return
	}
	b.After(linkDelay, deliverFrame)
}

// receive passes a frame that arrived at host h to the host or, for a chunk, to the caller.
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

// forward sends a request from its entry host to the owner.
func (b *Bench) forward(h *vtime.Host, f world.Forward) {
	x := b.exchanges[f.Request.ID]
	if x == nil || x.done {
		return
	}
	x.owner = f.To
	b.link(h, b.host(f.To), frame{forward: &f})
}

// sendChunk sends a chunk from host h to the entry host named by to.
func (b *Bench) sendChunk(h *vtime.Host, to ident.HostID, c chunk) {
	if to == h.Name {
		b.deliver(c)
		return
	}
	b.link(h, b.host(to), frame{chunk: &c})
}

// deliver passes a chunk of an answer to the caller. As io/relay does, deliver fails the request on a
// gap in the sequence numbers.
func (b *Bench) deliver(c chunk) {
	x := b.exchanges[c.id]
	if x == nil || x.done {
		return
	}
	if c.refusal == nil && c.seq != x.nextSeq {
		c.refusal = &work.Refusal{Outcome: work.InDoubt, Reason: work.LinkLost, Step: "sequence"}
	}
	x.nextSeq++
	if c.refusal != nil || c.end {
		b.finish(x, reply{refusal: c.refusal, body: c.body})
	}
}

// finish passes the final answer to the caller and notifies the entry host.
func (b *Bench) finish(x *exchange, r reply) {
	x.done = true
	delete(b.unanswered, x.request.ID)
	if x.entry.World == x.entryRun {
		id := x.request.ID
		b.After(0, func() {
			b.whenThawed(x.entry, x.entryRun, func() {
				b.post(x.entry, x.entryRun, world.Event{Finished: &world.Finished{ID: id}})
				b.post(x.entry, x.entryRun, world.Event{Cancel: &world.Cancel{ID: id}})
			})
		})
	}
	b.Check.requestEnded(x.request, r)
	x.onReply(r)
}

// Submit sends a caller's request to an entry host and calls onReply with the final answer.
func (b *Bench) Submit(h *vtime.Host, r work.Request, onReply func(reply)) {
	b.seq++
	r.ID = ident.RequestID{Host: h.Name, Incarnation: h.World.Incarnation, Seq: b.seq}
	x := &exchange{request: r, entry: h, entryRun: h.World, onReply: onReply}
	b.exchanges[r.ID] = x
	b.unanswered[r.ID] = x
	b.trigger(Admit, h)
	b.After(r.TimeLeft+answerGrace, func() {
		if !x.done {
			b.finish(x, reply{refusal: &work.Refusal{Outcome: work.InDoubt, Reason: work.Late, Step: "answer"}})
		}
	})
	if h.World == x.entryRun && h.World != nil {
		b.Handle(h, world.Event{Arrive: &world.Arrive{Request: r, From: h.Name}})
	}
}

// Reset resets all data links of a host: frames in flight are lost and both sides are notified.
func (b *Bench) Reset(h *vtime.Host) {
	for _, other := range b.Hosts {
		if other == h {
			continue
		}
		for _, d := range []direction{{h.Name, other.Name}, {other.Name, h.Name}} {
			b.linkEpochs[d]++
			delete(b.heldFrames, d)
		}
		b.linkLost(h, other.Name)
		b.linkLost(other, h.Name)
	}
}

// linkLost fails the requests that host h forwarded over a lost link and notifies the host, as io/relay and io/host do.
func (b *Bench) linkLost(h *vtime.Host, other ident.HostID) {
	for _, x := range b.sortedUnanswered() {
		if x.entry == h && x.entryRun == h.World && x.owner == other && !x.done {
			b.finish(x, reply{refusal: &work.Refusal{Outcome: work.InDoubt, Reason: work.LinkLost, Step: "link"}})
		}
	}
	if h.World != nil {
		b.Handle(h, world.Event{LinkLost: &world.LinkLost{Host: other}})
	}
}

// Crash ends a host's process, its data links, the requests of its callers and its connections to endpoints.
func (b *Bench) Crash(h *vtime.Host) {
	if h.World == nil {
		return
	}
	run := h.World
	b.Fleet.Crash(h)
	delete(b.frozen, h)
	delete(b.rowCounts, h)
	b.Reset(h)
	for _, x := range b.sortedUnanswered() {
		if x.entryRun == run && !x.done {
			b.finish(x, reply{refusal: &work.Refusal{Outcome: work.InDoubt, Reason: work.LinkLost, Step: "connection"}})
		}
	}
	b.dropExecutions(run)
}
