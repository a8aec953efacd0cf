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

// engineSlots is the number of adapter slots of an engine, answerChunks the number of chunks of an answer.
const (
	engineSlots  = 2
	answerChunks = 9
)

// endpoint is a scripted engine or plain service. The engine of domain b and the service of domain c ignore fencing
// tokens.
type endpoint struct {
	lease.Endpoint
	slots        map[ident.Model]bool // resident adapters
	highestFence ident.Fence          // highest accepted fencing token
	running      []*execution
	// leavingSince is the time at which the endpoint's shutdown began; 0 without one.
	leavingSince time.Duration
	gone         bool
}

// execution is a request that was sent to an endpoint, with the host that sent it.
type execution struct {
	dispatch world.Dispatch
	host     *vtime.Host
	run      *world.World // identifies the process of the host that sent the request
	endpoint *endpoint
	seq      int // sequence number of the next chunk
	ended    bool
}

// addEndpoint adds an engine (kind "g") or a plain service ("p") in a domain and starts its announcements.
func (b *Bench) addEndpoint(kind string, d ident.DomainID, n int) {
	e := &endpoint{slots: map[ident.Model]bool{}}
	e.Endpoint = lease.Endpoint{
		ID: ident.EndpointID(kind + string(d)), Kind: lease.Engine, Domain: d, URL: "http://10.0.0." + string(rune('1'+n)),
		Service: "base", Slots: engineSlots, MaxRunning: 4, Instance: 1, ChecksFence: d != "b",
	}
	if kind == "p" {
		e.Kind, e.Service, e.Slots, e.ChecksFence = lease.Plain, "payments", 0, d != "c"
	}
	b.endpoints = append(b.endpoints, e)
	b.After(time.Duration(n)*time.Millisecond, func() { b.announce(e) })
}

// announce sends the endpoint's announcement to a running host, and again after each announceTime.
func (b *Bench) announce(e *endpoint) {
	if e.gone {
		return
	}
	for n := range b.Hosts {
		h := b.Hosts[(n+int(b.Now/announceTime))%len(b.Hosts)]
		if b.alive(h) {
			b.trigger(Announce, h)
			if b.alive(h) {
				announced := e.Endpoint
				b.Handle(h, world.Event{Announced: &announced})
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

// Leave starts the graceful shutdown of an endpoint.
func (b *Bench) Leave(e *endpoint) {
	e.Leaving = true
	e.leavingSince = b.Now
}

// Restart simulates a crash and restart of an endpoint: its adapters are unloaded and its requests fail.
func (b *Bench) Restart(e *endpoint) {
	e.Instance++
	e.slots = map[ident.Model]bool{}
	for _, r := range slices.Clone(e.running) {
		b.endExecution(r, work.Broken, work.EndpointFailed)
	}
}

// dispatch sends a request to its endpoint, provided that the host's lease is still valid when the first byte is sent.
func (b *Bench) dispatch(h *vtime.Host, d world.Dispatch) {
	run := h.World
	b.After(time.Millisecond, func() {
		b.whenThawed(h, run, func() {
			if b.Clock(h) >= d.Until {
				ended := world.Ended{ID: d.Request.ID, State: work.NotSent, Reason: work.NoLease}
				b.post(h, run, world.Event{Ended: &ended})
				return
			}
			b.After(time.Millisecond, func() { b.execute(&execution{dispatch: d, host: h, run: run, endpoint: b.endpoint(d.Endpoint.ID)}) })
		})
	})
}

// execute starts a request at its endpoint. Only an endpoint that checks fencing tokens rejects an outdated one.
func (b *Bench) execute(r *execution) {
	e, d := r.endpoint, r.dispatch
	if e.gone || d.Endpoint.Instance != e.Instance || !e.admits(d.Endpoint.Fence) || (e.Kind == lease.Engine && !e.slots[d.Request.Model]) {
		b.endExecution(r, work.Broken, work.EndpointFailed)
		return
	}
	b.Check.requestStarted(e, d)
	if r.host.World != r.run {
		return // the host's process ended meanwhile, which closed the connection
	}
	e.running = append(e.running, r)
	b.After(chunkTime, func() { b.sendNextChunk(r) })
}

// admits reports whether the endpoint accepts a fencing token, and remembers the highest.
func (e *endpoint) admits(f ident.Fence) bool {
	if e.ChecksFence && f < e.highestFence {
		return false
	}
	e.highestFence = max(e.highestFence, f)
	return true
}

// sendNextChunk sends the next chunk of an answer and schedules the following chunk.
func (b *Bench) sendNextChunk(r *execution) {
	if r.ended {
		return
	}
	c := chunk{id: r.dispatch.Request.ID, seq: r.seq, end: r.seq == answerChunks-1, body: answerBody(r.dispatch.Request)}
	r.seq++
	b.whenThawed(r.host, r.run, func() {
		if r.ended {
			return
		}
		switch c.seq {
		case 0:
			b.trigger(FirstToken, r.host)
		case answerChunks / 2:
			b.trigger(MidStream, r.host)
		case answerChunks - 1:
			b.trigger(Answer, r.host)
		}
		if r.host.World != r.run {
			return
		}
		b.sendChunk(r.host, r.dispatch.From, c)
		if c.end {
			b.endExecution(r, work.Answered, "")
			return
		}
		b.After(chunkTime, func() { b.sendNextChunk(r) })
	})
}

// answerBody returns the expected answer to a request, made of the request's id and its adapter.
func answerBody(r work.Request) string { return r.ID.String() + " " + r.Model.String() }

// endExecution ends an execution and reports the end state to the host.
func (b *Bench) endExecution(r *execution, s work.EndState, reason work.Reason) {
	r.ended = true
	r.endpoint.running = slices.DeleteFunc(r.endpoint.running, func(x *execution) bool { return x == r })
	ended := world.Ended{ID: r.dispatch.Request.ID, State: s, Reason: reason}
	b.After(0, func() {
		b.whenThawed(r.host, r.run, func() { b.post(r.host, r.run, world.Event{Ended: &ended}) })
	})
}

// abort cancels a request at the endpoint that runs it.
func (b *Bench) abort(id ident.RequestID) {
	for _, e := range b.endpoints {
		for _, r := range slices.Clone(e.running) {
			if r.dispatch.Request.ID == id {
				b.endExecution(r, work.Broken, work.Canceled)
			}
		}
	}
}

// dropExecutions ends the executions that a crashed host started, since its connections are closed.
func (b *Bench) dropExecutions(run *world.World) {
	for _, e := range b.endpoints {
		for _, r := range e.running {
			r.ended = r.ended || r.run == run
		}
		e.running = slices.DeleteFunc(e.running, func(r *execution) bool { return r.ended })
	}
}

// load sends a load order to an engine and reports the result to the host.
func (b *Bench) load(h *vtime.Host, l world.Load) {
	run := h.World
	done := world.Loaded{Endpoint: l.Endpoint.ID, Fence: l.Endpoint.Fence, Model: l.Model, Evicted: l.Evict}
	b.After(loadTime, func() {
		b.whenThawed(h, run, func() {
			done.Err = b.executeLoad(h, l)
			b.post(h, run, world.Event{Loaded: &done})
		})
	})
}

// executeLoad executes a load order at the engine and returns the error, or "" on success.
func (b *Bench) executeLoad(h *vtime.Host, l world.Load) string {
	e := b.endpoint(l.Endpoint.ID)
	switch {
	case b.Clock(h) >= l.Until:
		return "the lease lapsed"
	case e.gone || !e.admits(l.Endpoint.Fence):
		return "refused"
	}
	if l.Evict != nil {
		b.Check.adapterEvicted(e, *l.Evict)
		delete(e.slots, *l.Evict)
	}
	if b.failLoads || len(e.slots) >= engineSlots {
		return "load failed"
	}
	e.slots[l.Model] = true
	return ""
}

// inspect reports an endpoint's instance, number of running requests and resident adapters to the host that inspects it.
func (b *Bench) inspect(h *vtime.Host, in world.Inspect) {
	run := h.World
	b.After(2*linkDelay, func() {
		b.whenThawed(h, run, func() {
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
