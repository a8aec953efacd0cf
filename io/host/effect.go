package host

import (
	"context"
	"time"

	"shallotgap/core/ident"
	"shallotgap/core/wire"
	"shallotgap/core/work"
	"shallotgap/core/world"
	"shallotgap/io/peer"
	"shallotgap/io/relay"
)

var _ peer.Receiver = (*Host)(nil)

// carryOut does what the decision core wants. It must not block.
func (h *Host) carryOut(ctx context.Context, e world.Effect) {
	switch {
	case e.Send != nil:
		h.network.SendControl(e.Send.To, e.Send.Message)
	case e.Write != nil:
		h.writes.Add(*e.Write, 0)
	case e.Forward != nil:
		h.forward(*e.Forward)
	case e.Dispatch != nil:
		h.dispatch(ctx, *e.Dispatch)
	case e.Abort != nil:
		h.abort(e.Abort.ID)
	case e.Refuse != nil:
		h.refuse(*e.Refuse)
	case e.Load != nil:
		go func() {
			done := h.client.Load(ctx, *e.Load)
			h.countLoad(done)
			h.post(world.Event{Loaded: &done})
		}()
	case e.Inspect != nil:
		go func() {
			done := h.client.Inspect(ctx, e.Inspect.Endpoint)
			h.post(world.Event{Inspected: &done})
		}()
	case e.Compact != nil:
		go h.encode(*e.Compact)
	case e.Proposed != nil:
		h.settle(e.Proposed.Ticket, e.Proposed.Result)
	case e.Asked != nil:
		h.settle(e.Asked.Ticket, *e.Asked)
	case e.Note != nil:
		h.notes.add(Note{Note: *e.Note, Host: h.Settings.Name, Wall: time.Now()})
	}
}

// encode turns a snapshot into the form that goes to disk.
func (h *Host) encode(c world.Compact) {
	done := world.Compacted{Index: c.State.Applied}
	data, err := wire.Marshal(c.State)
	if err != nil {
		done.Err = err.Error()
		h.Log.WithField("step", "snapshot").WithError(err).Error("snapshot-failed")
	}
	done.Data = data
	h.post(world.Event{Compacted: &done})
}

func (h *Host) forward(f world.Forward) {
	call, ok := h.Relay.LookupCall(f.Request.ID)
	if !ok {
		return
	}
	h.Relay.SetOwner(f.Request.ID, f.To)
	frame := relay.Frame{Forward: &relay.Forward{Request: f.Request, Endpoint: f.Endpoint, Call: call}}
	if h.network.SendData(f.To, frame) {
		return
	}
	r := work.Refusal{Outcome: work.NotRun, Reason: work.LinkLost, Step: "forward", Peer: string(f.To), RetryAfter: world.DefaultRetryAfter}
	h.Relay.Deliver(relay.Chunk{ID: f.Request.ID, Refusal: &r})
}

// dispatch runs a request in its own goroutine and posts its end.
func (h *Host) dispatch(ctx context.Context, d world.Dispatch) {
	id := d.Request.ID
	call, ok := h.Relay.LookupCall(id)
	if !ok {
		e := world.Ended{ID: id, State: work.NotSent, Reason: work.LinkLost, Detail: "the request's body is gone"}
		go h.post(world.Event{Ended: &e})
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	h.mu.Lock()
	h.running[id] = cancel
	h.mu.Unlock()
	go func() {
		ended := h.client.Run(ctx, d, call, func(c relay.Chunk) { h.emitChunk(d.From, c) })
		cancel()
		h.mu.Lock()
		delete(h.running, id)
		h.mu.Unlock()
		if d.From != h.Settings.Name {
			h.Relay.DropCall(id)
		}
		h.post(world.Event{Ended: &ended})
	}()
}

// emitChunk passes a piece of an answer to the entry host that holds the caller.
func (h *Host) emitChunk(to ident.HostID, c relay.Chunk) {
	if to == h.Settings.Name {
		h.Relay.Deliver(c)
		return
	}
	if !h.network.SendData(to, relay.Frame{Chunk: &c}) {
		h.abortRepeatable(c.ID)
	}
}

// abortRepeatable stops work whose entry host cannot be reached.
func (h *Host) abortRepeatable(id ident.RequestID) {
	go h.post(world.Event{Cancel: &world.Cancel{ID: id}})
}

func (h *Host) abort(id ident.RequestID) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if cancel := h.running[id]; cancel != nil {
		cancel()
	}
}

func (h *Host) refuse(r world.Refuse) {
	c := relay.Chunk{ID: r.ID, Refusal: &r.Refusal}
	if r.To == h.Settings.Name {
		h.Relay.Deliver(c)
		return
	}
	h.Relay.DropCall(r.ID)
	h.network.SendData(r.To, relay.Frame{Chunk: &c})
}

// ReceiveControl hands a control message to the loop.
func (h *Host) ReceiveControl(from ident.HostID, m world.Message) {
	h.post(world.Event{Message: &world.Inbound{From: from, Message: m}})
}

// ReceiveData takes a frame of the data plane.
func (h *Host) ReceiveData(from ident.HostID, f relay.Frame) {
	switch {
	case f.Forward != nil:
		h.Relay.StoreCall(f.Forward.Request.ID, f.Forward.Call)
		h.post(world.Event{Arrive: &world.Arrive{Request: f.Forward.Request, From: from, Endpoint: f.Forward.Endpoint}})
	case f.Chunk != nil && world.Bounceable(f.Chunk.Refusal):
		h.Relay.SetOwner(f.Chunk.ID, "")
		h.post(world.Event{Bounced: &world.Bounced{ID: f.Chunk.ID, Refusal: *f.Chunk.Refusal}})
	case f.Chunk != nil:
		h.Relay.Deliver(*f.Chunk)
	case f.Cancel != nil:
		h.post(world.Event{Cancel: &world.Cancel{ID: *f.Cancel}})
	}
}

// LinkUp tells the core that a host can be reached.
func (h *Host) LinkUp(up ident.HostID) { h.post(world.Event{LinkUp: &world.LinkUp{Host: up}}) }

// LinkLost breaks off what depended on the link.
func (h *Host) LinkLost(lost ident.HostID) {
	h.Relay.FailOwnedBy(lost)
	h.post(world.Event{LinkLost: &world.LinkLost{Host: lost}})
}
