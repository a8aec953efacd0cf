package matrix

import (
	"maps"
	"slices"
	"time"

	"shallotgap/core/ident"
	"shallotgap/core/lease"
	"shallotgap/core/work"
	"shallotgap/core/world"
	"shallotgap/fakes/vtime"
)

// slotsOf and chunksOf are the slots of an engine and the pieces of an answer.
const (
	slotsOf  = 2
	chunksOf = 9
)

// endpoint is a scripted engine or plain service. The engine of domain b and the service of domain c ignore fences.
type endpoint struct {
	lease.Endpoint
	slots   map[ident.Model]bool
	fence   ident.Fence
	running []*running
	// leftAt is when the endpoint began to leave; 0 while it stays.
	leftAt time.Duration
	gone   bool
}

// running is a request at an endpoint.
type running struct {
	dispatch world.Dispatch
	host     *vtime.Host
	run      *world.World
	end      *endpoint
	seq      int
	over     bool
}

func (b *Bench) addEndpoint(kind string, d ident.DomainID, n int) {
	e := &endpoint{slots: map[ident.Model]bool{}}
	e.Endpoint = lease.Endpoint{
		ID: ident.EndpointID(kind + string(d)), Kind: lease.Engine, Domain: d, URL: "http://10.0.0." + string(rune('1'+n)),
		Service: "base", Slots: slotsOf, MaxRunning: 4, Instance: 1, ChecksFence: d != "b",
	}
	if kind == "p" {
		e.Kind, e.Service, e.Slots, e.ChecksFence = lease.Plain, "payments", 0, d != "c"
	}
	b.endpoints = append(b.endpoints, e)
	b.After(time.Duration(n)*time.Millisecond, func() { b.announce(e) })
}

// announce tells an entry host of the endpoint, again and again.
func (b *Bench) announce(e *endpoint) {
	if e.gone {
		return
	}
	for n := range b.Hosts {
		h := b.Hosts[(n+int(b.Now/announceTime))%len(b.Hosts)]
		if b.alive(h) {
			b.trigger(Announce, h)
			if b.alive(h) {
				said := e.Endpoint
				b.Handle(h, world.Event{Announced: &said})
			}
			break
		}
	}
	b.After(announceTime, func() { b.announce(e) })
}

func (b *Bench) endpoint(id ident.EndpointID) *endpoint {
	i := slices.IndexFunc(b.endpoints, func(e *endpoint) bool { return e.ID == id })
	return b.endpoints[i]
}

// Leave begins an endpoint's graceful shutdown.
func (b *Bench) Leave(e *endpoint) {
	e.Leaving = true
	e.leftAt = b.Now
}

// Restart empties an endpoint, as a crash does.
func (b *Bench) Restart(e *endpoint) {
	e.Instance++
	e.slots = map[ident.Model]bool{}
	for _, r := range slices.Clone(e.running) {
		b.endRun(r, work.Broken, work.EndpointFailed)
	}
}

// dispatch sends a request to its endpoint, if the lease still holds when the first byte goes out.
func (b *Bench) dispatch(h *vtime.Host, d world.Dispatch) {
	run := h.World
	b.After(time.Millisecond, func() {
		b.whenAwake(h, run, func() {
			if b.Clock(h) >= d.Until {
				ended := world.Ended{ID: d.Request.ID, State: work.NotSent, Reason: work.NoLease}
				b.post(h, run, world.Event{Ended: &ended})
				return
			}
			b.After(time.Millisecond, func() { b.arrive(&running{dispatch: d, host: h, run: run, end: b.endpoint(d.Endpoint.ID)}) })
		})
	})
}

// arrive runs a request at the endpoint. Only an endpoint that checks fences refuses an old one.
func (b *Bench) arrive(r *running) {
	e, d := r.end, r.dispatch
	if e.gone || d.Endpoint.Instance != e.Instance || !e.admits(d.Endpoint.Fence) || (e.Kind == lease.Engine && !e.slots[d.Request.Model]) {
		b.endRun(r, work.Broken, work.EndpointFailed)
		return
	}
	b.Check.runs(e, d)
	if r.host.World != r.run {
		return // the process died meanwhile and its connection is closed
	}
	e.running = append(e.running, r)
	b.After(chunkTime, func() { b.next(r) })
}

func (e *endpoint) admits(f ident.Fence) bool {
	if e.ChecksFence && f < e.fence {
		return false
	}
	e.fence = max(e.fence, f)
	return true
}

// next sends one piece of the answer.
func (b *Bench) next(r *running) {
	if r.over {
		return
	}
	c := chunk{id: r.dispatch.Request.ID, seq: r.seq, end: r.seq == chunksOf-1, body: bodyOf(r.dispatch.Request)}
	r.seq++
	b.whenAwake(r.host, r.run, func() {
		if r.over {
			return
		}
		switch c.seq {
		case 0:
			b.trigger(FirstToken, r.host)
		case chunksOf / 2:
			b.trigger(MidStream, r.host)
		case chunksOf - 1:
			b.trigger(Answer, r.host)
		}
		if r.host.World != r.run {
			return
		}
		b.sendChunk(r.host, r.dispatch.From, c)
		if c.end {
			b.endRun(r, work.Answered, "")
			return
		}
		b.After(chunkTime, func() { b.next(r) })
	})
}

// bodyOf is the answer to a request: it names the request and its adapter.
func bodyOf(r work.Request) string { return r.ID.String() + " " + r.Model.String() }

func (b *Bench) endRun(r *running, s work.EndState, why work.Reason) {
	r.over = true
	r.end.running = slices.DeleteFunc(r.end.running, func(x *running) bool { return x == r })
	ended := world.Ended{ID: r.dispatch.Request.ID, State: s, Reason: why}
	b.After(0, func() {
		b.whenAwake(r.host, r.run, func() { b.post(r.host, r.run, world.Event{Ended: &ended}) })
	})
}

func (b *Bench) abort(id ident.RequestID) {
	for _, e := range b.endpoints {
		for _, r := range slices.Clone(e.running) {
			if r.dispatch.Request.ID == id {
				b.endRun(r, work.Broken, work.Canceled)
			}
		}
	}
}

// dropRuns ends the work of a process that died: its connections are closed.
func (b *Bench) dropRuns(run *world.World) {
	for _, e := range b.endpoints {
		for _, r := range e.running {
			r.over = r.over || r.run == run
		}
		e.running = slices.DeleteFunc(e.running, func(r *running) bool { return r.over })
	}
}

func (b *Bench) load(h *vtime.Host, l world.Load) {
	run := h.World
	done := world.Loaded{Endpoint: l.Endpoint.ID, Fence: l.Endpoint.Fence, Model: l.Model, Evicted: l.Evict}
	b.After(loadTime, func() {
		b.whenAwake(h, run, func() {
			done.Err = b.order(h, l)
			b.post(h, run, world.Event{Loaded: &done})
		})
	})
}

// order carries out a load order at the engine and returns why not.
func (b *Bench) order(h *vtime.Host, l world.Load) string {
	e := b.endpoint(l.Endpoint.ID)
	switch {
	case b.Clock(h) >= l.Until:
		return "the lease lapsed"
	case e.gone || !e.admits(l.Endpoint.Fence):
		return "refused"
	}
	if l.Evict != nil {
		b.Check.evicts(e, *l.Evict)
		delete(e.slots, *l.Evict)
	}
	if b.failLoads || len(e.slots) >= slotsOf {
		return "load failed"
	}
	e.slots[l.Model] = true
	return ""
}

func (b *Bench) inspect(h *vtime.Host, in world.Inspect) {
	run := h.World
	b.After(2*linkDelay, func() {
		b.whenAwake(h, run, func() {
			e := b.endpoint(in.Endpoint.ID)
			out := world.Inspected{Endpoint: e.ID, Fence: in.Endpoint.Fence, Instance: e.Instance, Running: len(e.running)}
			for m := range maps.Keys(e.slots) {
				out.Models = append(out.Models, m)
			}
			slices.SortFunc(out.Models, func(x, y ident.Model) int { return cmpModels(x, y) })
			b.post(h, run, world.Event{Inspected: &out})
		})
	})
}

func cmpModels(x, y ident.Model) int {
	if x.String() < y.String() {
		return -1
	}
	return 1
}
