package world

import (
	"time"

	"shallotgap/core/ident"
	"shallotgap/core/state"
)

// ResendInterval is the time without a reply after which a proposal or question is resent.
const ResendInterval = 300 * time.Millisecond

// ReplyTimeout is the time without a reply after which an operator's proposal fails with an unknown outcome and a question
// is dropped.
const ReplyTimeout = 8 * time.Second

// purpose tells how the result of a proposal is used; at most one field is set. If none is set, the result is ignored.
type purpose struct {
	ticket        Ticket         // ticket of the Propose event that caused the proposal
	opensClaim    bool           // true if the proposal opens a request's claim
	pendingReturn *pendingReturn // request to return once the proposed release of its claim is committed; nil for none
}

// pendingProposal is a proposal that the leader has not answered yet.
type pendingProposal struct {
	command    state.Command
	purpose    purpose
	proposedAt ident.Time
	sentAt     ident.Time
}

// pendingQuestion is a question that the leader has not answered yet.
type pendingQuestion struct {
	question Question
	ticket   Ticket // ticket of the Ask event that caused the question
	askedAt  ident.Time
	sentAt   ident.Time
}

// propose sends a command to the leader and resends it until the leader answers.
func (w *World) propose(c state.Command, p purpose) {
	w.tickets++
	w.pendingProposals[w.tickets] = &pendingProposal{command: c, purpose: p, proposedAt: w.now, sentAt: w.now}
	w.sendProposal(w.tickets, c)
}

func (w *World) sendProposal(ticket Ticket, c state.Command) {
	if w.leader != "" {
		w.send(w.leader, Message{Propose: &Proposal{Ticket: ticket, Command: c}})
	}
}

// proposed handles the leader's reply to a proposal according to the purpose of the proposal.
func (w *World) proposed(reply Proposed) {
	p, ok := w.pendingProposals[reply.Ticket]
	if !ok {
		return
	}
	delete(w.pendingProposals, reply.Ticket)
	if p.purpose.pendingReturn != nil {
		w.releasedForReturn(p.purpose.pendingReturn)
		return
	}
	if p.purpose.opensClaim {
		w.claimAnswered(*p.command.Open, reply.Result)
		return
	}
	if p.purpose.ticket != 0 {
		w.emit(Effect{Proposed: &Proposed{Ticket: p.purpose.ticket, Result: reply.Result}})
	}
}

// ask sends a question to the leader and resends it until the leader answers.
func (w *World) ask(q Question) {
	w.tickets++
	pending := &pendingQuestion{question: Question{Ticket: w.tickets, Name: q.Name}, ticket: q.Ticket, askedAt: w.now, sentAt: w.now}
	w.pendingQuestions[w.tickets] = pending
	w.sendQuestion(pending)
}

func (w *World) sendQuestion(pending *pendingQuestion) {
	if w.leader != "" {
		q := pending.question
		w.send(w.leader, Message{Ask: &q})
	}
}

// asked emits the leader's answer to a question, with the ticket of the Ask event.
func (w *World) asked(reply Asked) {
	pending, ok := w.pendingQuestions[reply.Ticket]
	if !ok {
		return
	}
	delete(w.pendingQuestions, reply.Ticket)
	reply.Ticket = pending.ticket
	w.emit(Effect{Asked: &reply})
}

// resend resends unanswered proposals and questions, and ends questions and operators' proposals that are older than
// ReplyTimeout. All other proposals are resent until they are answered.
func (w *World) resend() {
	for _, ticket := range sortedKeys(w.pendingProposals) {
		w.resendProposal(ticket, w.pendingProposals[ticket])
	}
	for _, ticket := range sortedKeys(w.pendingQuestions) {
		pending := w.pendingQuestions[ticket]
		if w.now.Sub(pending.askedAt) > ReplyTimeout {
			delete(w.pendingQuestions, ticket)
			continue
		}
		if w.now.Sub(pending.sentAt) >= ResendInterval {
			pending.sentAt = w.now
			w.sendQuestion(pending)
		}
	}
}

// resendProposal resends a proposal that is due, or ends an operator's proposal that is older than ReplyTimeout.
func (w *World) resendProposal(ticket Ticket, p *pendingProposal) {
	if p.purpose.ticket != 0 && w.now.Sub(p.proposedAt) > ReplyTimeout {
		delete(w.pendingProposals, ticket)
		res := state.Result{Err: "no answer from a majority; the change may still take effect"}
		w.emit(Effect{Proposed: &Proposed{Ticket: p.purpose.ticket, Result: res}})
		return
	}
	if w.now.Sub(p.sentAt) >= ResendInterval {
		p.sentAt = w.now
		w.sendProposal(ticket, p.command)
	}
}
