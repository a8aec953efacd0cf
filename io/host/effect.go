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

// applyEffect performs one effect that the decision core requested. It runs in the loop and must not block.
func (h *Host) applyEffect(ctx context.Context, e world.Effect) {
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
		h.reject(*e.Refuse)
	case e.Load != nil:
		go func() {
			loaded := h.client.Load(ctx, *e.Load)
			h.countLoad(loaded)
			h.post(world.Event{Loaded: &loaded})
		}()
	case e.Inspect != nil:
		go func() {
			inspected := h.client.Inspect(ctx, e.Inspect.Endpoint)
			h.post(world.Event{Inspected: &inspected})
		}()
	case e.Compact != nil:
		go h.encodeSnapshot(*e.Compact)
	case e.Proposed != nil:
		h.deliverReply(e.Proposed.Ticket, e.Proposed.Result)
	case e.Asked != nil:
		h.deliverReply(e.Asked.Ticket, *e.Asked)
	case e.Note != nil:
		h.notes.add(Note{Note: *e.Note, Host: h.Settings.Name, Wall: time.Now()})
	}
}

// encodeSnapshot serializes a compacted state for the snapshot on disk and posts the result to the loop.
func (h *Host) encodeSnapshot(c world.Compact) {
	compacted := world.Compacted{Index: c.State.Applied}
	data, err := wire.Marshal(c.State)
	if err != nil {
		compacted.Err = err.Error()
		h.Log.WithField("step", "snapshot").WithError(err).Error("snapshot-failed")
	}
	compacted.Data = data
	h.post(world.Event{Compacted: &compacted})
}

// forward sends a request to the host that owns its endpoint. If the link to that host is down or its queue is full,
// the request is rejected as not run.
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

// dispatch sends a request to its endpoint in a new goroutine and posts the outcome to the loop.
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

// emitChunk sends one chunk of an answer to the entry host that holds the connection of the caller.
func (h *Host) emitChunk(to ident.HostID, c relay.Chunk) {
	if to == h.Settings.Name {
		h.Relay.Deliver(c)
		return
	}
	if !h.network.SendData(to, relay.Frame{Chunk: &c}) {
		h.cancelRequest(c.ID)
	}
}

// cancelRequest cancels a request whose entry host cannot be reached. The decision core lets a
// dispatched request that must run at most once continue, so that its outcome is recorded.
func (h *Host) cancelRequest(id ident.RequestID) {
	go h.post(world.Event{Cancel: &world.Cancel{ID: id}})
}

// abort cancels a request that is being sent or answered at one of this host's endpoints.
func (h *Host) abort(id ident.RequestID) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if cancel := h.running[id]; cancel != nil {
		cancel()
	}
}

// reject returns a rejection to the entry host of the request.
func (h *Host) reject(r world.Refuse) {
	c := relay.Chunk{ID: r.ID, Refusal: &r.Refusal}
	if r.To == h.Settings.Name {
		h.Relay.Deliver(c)
		return
	}
	h.Relay.DropCall(r.ID)
	h.network.SendData(r.To, relay.Frame{Chunk: &c})
}

// ReceiveControl posts a control message from another host to the loop.
func (h *Host) ReceiveControl(from ident.HostID, m world.Message) {
	h.post(world.Event{Message: &world.Inbound{From: from, Message: m}})
}

// ReceiveData handles a data frame from another host: a forwarded request, a chunk of an answer or a cancellation.
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

// LinkUp tells the decision core that a host is reachable.
func (h *Host) LinkUp(up ident.HostID) { h.post(world.Event{LinkUp: &world.LinkUp{Host: up}}) }

// LinkLost fails the exchanges whose requests the lost host owns and tells the decision core of the lost link.
func (h *Host) LinkLost(lost ident.HostID) {
	h.Relay.FailOwnedBy(lost)
	h.post(world.Event{LinkLost: &world.LinkLost{Host: lost}})
}
