package world

import (
	"time"

	"shallotgap/core/ident"
	"shallotgap/core/state"
)

// ResendInterval is the time after which an unanswered proposal or question is sent again.
const ResendInterval = 300 * time.Millisecond

// ReplyTimeout is the time after which an operator's proposal gets the answer that its result is unknown.
const ReplyTimeout = 8 * time.Second

// purpose tells what the answer to a proposal is for: an edge ticket, or a request's claim.
type purpose struct {
	ticket  Ticket
	request bool
	back    *backward
}

// pending is a proposal without an answer.
type pending struct {
	command state.Command
	purpose purpose
	since   ident.Time
	sentAt  ident.Time
}

// asking is a question without an answer.
type asking struct {
	question Question
	ticket   Ticket
	since    ident.Time
	sentAt   ident.Time
}

// propose sends a command to the leader and keeps it until it is answered.
func (w *World) propose(c state.Command, p purpose) {
	w.tickets++
	w.pending[w.tickets] = &pending{command: c, purpose: p, since: w.now, sentAt: w.now}
	w.sendProposal(w.tickets, c)
}

func (w *World) sendProposal(t Ticket, c state.Command) {
	if w.leader != "" {
		w.send(w.leader, Message{Propose: &Proposal{Ticket: t, Command: c}})
	}
}

func (w *World) proposed(a Proposed) {
	p, ok := w.pending[a.Ticket]
	if !ok {
		return
	}
	delete(w.pending, a.Ticket)
	if p.purpose.back != nil {
		w.released(p.purpose.back)
		return
	}
	if p.purpose.request {
		w.claimed(*p.command.Open, a.Result)
		return
	}
	if p.purpose.ticket != 0 {
		w.emit(Effect{Proposed: &Proposed{Ticket: p.purpose.ticket, Result: a.Result}})
	}
}

func (w *World) ask(q Question) {
	w.tickets++
	a := &asking{question: Question{Ticket: w.tickets, Name: q.Name}, ticket: q.Ticket, since: w.now, sentAt: w.now}
	w.asking[w.tickets] = a
	w.sendQuestion(a)
}

func (w *World) sendQuestion(a *asking) {
	if w.leader != "" {
		q := a.question
		w.send(w.leader, Message{Ask: &q})
	}
}

func (w *World) asked(a Asked) {
	q, ok := w.asking[a.Ticket]
	if !ok {
		return
	}
	delete(w.asking, a.Ticket)
	a.Ticket = q.ticket
	w.emit(Effect{Asked: &a})
}

// resend repeats proposals and questions that got no answer.
func (w *World) resend() {
	for _, t := range sortedKeys(w.pending) {
		w.resendProposal(t, w.pending[t])
	}
	for _, t := range sortedKeys(w.asking) {
		a := w.asking[t]
		if w.now.Sub(a.since) > ReplyTimeout {
			delete(w.asking, t)
			continue
		}
		if w.now.Sub(a.sentAt) >= ResendInterval {
			a.sentAt = w.now
			w.sendQuestion(a)
		}
	}
}

func (w *World) resendProposal(t Ticket, p *pending) {
	if p.purpose.ticket != 0 && w.now.Sub(p.since) > ReplyTimeout {
		delete(w.pending, t)
		res := state.Result{Err: "no answer from a majority; the change may still take effect"}
		w.emit(Effect{Proposed: &Proposed{Ticket: p.purpose.ticket, Result: res}})
		return
	}
	if w.now.Sub(p.sentAt) >= ResendInterval {
		p.sentAt = w.now
		w.sendProposal(t, p.command)
	}
}
