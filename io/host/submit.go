package host

import (
	"context"
	"errors"

	"shallotgap/core/claim"
	"shallotgap/core/ident"
	"shallotgap/core/lease"
	"shallotgap/core/state"
	"shallotgap/core/work"
	"shallotgap/core/world"
	"shallotgap/io/relay"
)

// ErrNoAnswer is returned when the leader did not answer a proposal or a query in time.
var ErrNoAnswer = errors.New("no answer from the leader")

// NextID returns an unused request ID of this host.
func (h *Host) NextID() ident.RequestID {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.lastSeq++
	return ident.RequestID{Host: h.Settings.Name, Incarnation: h.Incarnation, Seq: h.lastSeq}
}

// Submit passes a caller's request to the decision core; the answer arrives on the returned exchange.
func (h *Host) Submit(r work.Request, c relay.Call) *relay.Exchange {
	x := h.Relay.Open(r.ID, c)
	h.post(world.Event{Arrive: &world.Arrive{Request: r, From: h.Settings.Name}})
	return x
}

// Finish closes an exchange and cancels its request if an endpoint may still be working on it.
func (h *Host) Finish(x *relay.Exchange) {
	defer h.post(world.Event{Finished: &world.Finished{ID: x.ID}})
	owner, working := h.Relay.Close(x.ID)
	defer h.post(world.Event{Finished: &world.Finished{ID: x.ID}})
	if !working {
		return
	}
	h.post(world.Event{Cancel: &world.Cancel{ID: x.ID}})
	if owner != "" {
		h.network.SendData(owner, relay.Frame{Cancel: &x.ID})
	}
}

// Announce posts an endpoint's announcement of its address and state.
func (h *Host) Announce(e lease.Endpoint) { h.post(world.Event{Announced: &e}) }

// Propose submits a command to the replicated log and returns the result of applying it.
func (h *Host) Propose(ctx context.Context, c state.Command) (state.Result, error) {
	t, reply := h.newTicket()
	h.post(world.Event{Propose: &world.Proposal{Ticket: t, Command: c}})
	v, err := h.awaitReply(ctx, t, reply)
	if err != nil {
		return state.Result{}, err
	}
	return v.(state.Result), nil
}

// ClaimRecord returns the record of a claim. It trusts the direct reply only if the claim is in a final state: a host
// that has lost the leadership may miss recent claims. Any other state is read through the replicated log.
func (h *Host) ClaimRecord(ctx context.Context, n claim.Name) (world.Asked, error) {
	a, err := h.queryClaim(ctx, n)
	if err != nil || (a.Record != nil && (a.Record.State == claim.Done || a.Record.State == claim.InDoubt)) {
		return a, err
	}
	res, err := h.Propose(ctx, state.Command{ReadClaim: &n})
	if err != nil || res.Claim == nil {
		return world.Asked{}, ErrNoAnswer
	}
	return world.Asked{Index: res.Index, Record: res.Claim.Record}, nil
}

// queryClaim asks the last known leader for the record of a claim. The record may be stale, as the leader may have been replaced.
func (h *Host) queryClaim(ctx context.Context, n claim.Name) (world.Asked, error) {
	t, reply := h.newTicket()
	h.post(world.Event{Ask: &world.Question{Ticket: t, Name: n}})
	v, err := h.awaitReply(ctx, t, reply)
	if err != nil {
		return world.Asked{}, err
	}
	return v.(world.Asked), nil
}

// newTicket registers a pending reply and returns its ticket and the channel on which the reply arrives.
func (h *Host) newTicket() (world.Ticket, chan any) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.lastTicket++
	reply := make(chan any, 1)
	h.tickets[h.lastTicket] = reply
	return h.lastTicket, reply
}

// awaitReply waits for a reply and forgets its ticket after a timeout.
func (h *Host) awaitReply(ctx context.Context, t world.Ticket, reply chan any) (any, error) {
	ctx, cancel := context.WithTimeout(ctx, world.ReplyTimeout+world.ResendInterval)
	defer cancel()
	select {
	case v := <-reply:
		return v, nil
	case <-ctx.Done():
		h.mu.Lock()
		delete(h.tickets, t)
		h.mu.Unlock()
		return nil, ErrNoAnswer
	}
}

// deliverReply passes a reply to the goroutine that waits for the ticket. It drops the reply if the wait has timed out.
func (h *Host) deliverReply(t world.Ticket, v any) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if reply := h.tickets[t]; reply != nil {
		delete(h.tickets, t)
		reply <- v
	}
}
