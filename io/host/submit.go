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

// ErrNoAnswer is returned when the leader did not answer a question in time.
var ErrNoAnswer = errors.New("no answer from the leader")

// NextID returns the id of a new request of this host.
func (h *Host) NextID() ident.RequestID {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.seq++
	return ident.RequestID{Host: h.Settings.Name, Incarnation: h.Incarnation, Seq: h.seq}
}

// Submit hands a caller's request to the decision core; its answer comes through the exchange.
func (h *Host) Submit(r work.Request, c relay.Call) *relay.Exchange {
	x := h.Relay.Open(r.ID, c)
	h.post(world.Event{Arrive: &world.Arrive{Request: r, From: h.Settings.Name}})
	return x
}

// Finish closes an exchange; work that goes on for it is cancelled.
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

// Announce passes on what an endpoint says of itself.
func (h *Host) Announce(e lease.Endpoint) { h.post(world.Event{Announced: &e}) }

// Propose brings a command through the log and returns its result.
func (h *Host) Propose(ctx context.Context, c state.Command) (state.Result, error) {
	t, answer := h.newTicket()
	h.post(world.Event{Propose: &world.Proposal{Ticket: t, Command: c}})
	v, err := h.await(ctx, t, answer)
	if err != nil {
		return state.Result{}, err
	}
	return v.(state.Result), nil
}

// ClaimRecord returns the record of a claim. Only a final state is taken from the leader's word: a host that no longer
// leads may not know of a claim, so all else is read in the order of the log.
func (h *Host) ClaimRecord(ctx context.Context, n claim.Name) (world.Asked, error) {
	a, err := h.ask(ctx, n)
	if err != nil || (a.Record != nil && (a.Record.State == claim.Done || a.Record.State == claim.InDoubt)) {
		return a, err
	}
	res, err := h.Propose(ctx, state.Command{ReadClaim: &n})
	if err != nil || res.Claim == nil {
		return world.Asked{}, ErrNoAnswer
	}
	return world.Asked{Index: res.Index, Record: res.Claim.Record}, nil
}

// ask returns the record of a claim as the host that leads, or did so, knows it.
func (h *Host) ask(ctx context.Context, n claim.Name) (world.Asked, error) {
	t, answer := h.newTicket()
	h.post(world.Event{Ask: &world.Question{Ticket: t, Name: n}})
	v, err := h.await(ctx, t, answer)
	if err != nil {
		return world.Asked{}, err
	}
	return v.(world.Asked), nil
}

func (h *Host) newTicket() (world.Ticket, chan any) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ticket++
	answer := make(chan any, 1)
	h.tickets[h.ticket] = answer
	return h.ticket, answer
}

func (h *Host) await(ctx context.Context, t world.Ticket, answer chan any) (any, error) {
	ctx, cancel := context.WithTimeout(ctx, world.ReplyTimeout+world.ResendInterval)
	defer cancel()
	select {
	case v := <-answer:
		return v, nil
	case <-ctx.Done():
		h.mu.Lock()
		delete(h.tickets, t)
		h.mu.Unlock()
		return nil, ErrNoAnswer
	}
}

func (h *Host) settle(t world.Ticket, v any) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if answer := h.tickets[t]; answer != nil {
		delete(h.tickets, t)
		answer <- v
	}
}
