package world

import (
	"time"

	"shallotgap/core/ident"
	"shallotgap/core/state"
)

// ResendAfter is the time after which an unanswered proposal or question is sent again.
const ResendAfter = 300 * time.Millisecond

// GiveUpAfter is the time after which an operator's proposal gets the answer that its result is unknown.
const GiveUpAfter = 8 * time.Second

// purpose tells what the answer to a proposal is for: an edge ticket, or a request's claim.
type purpose struct {
	ticket        Ticket
	claim         bool
	pendingReturn *pendingReturn
}

// pending is a proposal without an answer.
type pendingProposal struct {
	command state.Command
	purpose purpose
	since   ident.Time
	sentAt  ident.Time
}

// asking is a question without an answer.
type pendingQuestion struct {
	question Question
	ticket   Ticket
	since    ident.Time
	sentAt   ident.Time
}

// propose sends a command to the leader and keeps it until it is answered.
func (w *World) propose(c state.Command, p purpose) {
	w.tickets++
	w.pendingProposals[w.tickets] = &pendingProposal{command: c, purpose: p, since: w.now, sentAt: w.now}
	w.sendProposal(w.tickets, c)
}

func (w *World) sendProposal(t Ticket, c state.Command) {
	if w.leader != "" {
		w.send(w.leader, Message{Propose: &Proposal{Ticket: t, Command: c}})
	}
}

func (w *World) proposed(a Proposed) {
	p, ok := w.pendingProposals[a.Ticket]
	if !ok {
		return
	}
	delete(w.pendingProposals, a.Ticket)
	if p.purpose.pendingReturn != nil {
		w.releasedForReturn(p.purpose.pendingReturn)
		return
	}
	if p.purpose.claim {
		w.claimAnswered(*p.command.Open, a.Result)
		return
	}
	if p.purpose.ticket != 0 {
		w.emit(Effect{Proposed: &Proposed{Ticket: p.purpose.ticket, Result: a.Result}})
	}
}

func (w *World) ask(q Question) {
	w.tickets++
	a := &pendingQuestion{question: Question{Ticket: w.tickets, Name: q.Name}, ticket: q.Ticket, since: w.now, sentAt: w.now}
	w.pendingQuestions[w.tickets] = a
	w.sendQuestion(a)
}

func (w *World) sendQuestion(a *pendingQuestion) {
	if w.leader != "" {
		q := a.question
		w.send(w.leader, Message{Ask: &q})
	}
}

func (w *World) asked(a Asked) {
	q, ok := w.pendingQuestions[a.Ticket]
	if !ok {
		return
	}
	delete(w.pendingQuestions, a.Ticket)
	a.Ticket = q.ticket
	w.emit(Effect{Asked: &a})
}

// resend repeats proposals and questions that got no answer.
func (w *World) resend() {
	for _, t := range sortedKeys(w.pendingProposals) {
		w.resendProposal(t, w.pendingProposals[t])
	}
	for _, t := range sortedKeys(w.pendingQuestions) {
		a := w.pendingQuestions[t]
		if w.now.Sub(a.since) > GiveUpAfter {
			delete(w.pendingQuestions, t)
			continue
		}
		if w.now.Sub(a.sentAt) >= ResendAfter {
			a.sentAt = w.now
			w.sendQuestion(a)
		}
	}
}

func (w *World) resendProposal(t Ticket, p *pendingProposal) {
	if p.purpose.ticket != 0 && w.now.Sub(p.since) > GiveUpAfter {
		delete(w.pendingProposals, t)
		res := state.Result{Err: "no answer from a majority; the change may still take effect"}
		w.emit(Effect{Proposed: &Proposed{Ticket: p.purpose.ticket, Result: res}})
		return
	}
	if w.now.Sub(p.sentAt) >= ResendAfter {
		p.sentAt = w.now
		w.sendProposal(t, p.command)
	}
}
