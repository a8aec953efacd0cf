package voter

import (
	"context"
	"errors"
	"fmt"
	"time"

	"shallotgap/core/book"
	"shallotgap/core/ident"
	"shallotgap/core/layout"
	"shallotgap/core/quorum"
	"shallotgap/core/wire"
	"shallotgap/io/clock"
	"shallotgap/io/link"
)

// Errors of operators' calls. After any of them, the command may still be committed.
var (
	errStopping = errors.New("the host is stopping")
	errNoReply  = errors.New("no leader confirmed it in time")
)

// callTimeout limits a call. It is shorter than the 1 s after which operators' clients try another host.
const callTimeout = 850 * time.Millisecond

// calls holds the operators' commands and reads that wait on this host.
type calls struct {
	next    uint64
	pending map[uint64]*pendingCall
	// proposed holds the calls that wait for the commit of their log entry, by the index of the entry.
	proposed map[ident.Index][]proposal
	// deferred holds the calls that wait until this host's leadership is confirmed.
	deferred []func()
}

// maxDeferred limits the deferred calls; operators have a few calls in progress at once.
const maxDeferred = 64

// pendingCall is a call of an operator on this host that has no answer yet.
type pendingCall struct {
	call      link.Call
	done      chan link.Answer
	startedAt ident.Time
	sentTo    ident.HostID // the leader that last received the call
}

// proposal is a call whose command was appended to the log in a term.
type proposal struct {
	term  ident.Term
	reply func(link.Answer)
	id    uint64
}

func newCalls() *calls {
	return &calls{next: uint64(clock.Boot()), pending: map[uint64]*pendingCall{}, proposed: map[ident.Index][]proposal{}}
}

func (c *calls) answer(a link.Answer) {
	if p := c.pending[a.ID]; p != nil {
		delete(c.pending, a.ID)
		p.done <- a
	}
}

func (c *calls) expire(now ident.Time) {
	for id, p := range c.pending {
		if now.Sub(p.startedAt) > callTimeout {
			delete(c.pending, id)
		}
	}
}

// committed answers the calls that waited for the entry at index i. They fail if an entry of another term replaced theirs.
func (c *calls) committed(i ident.Index, term ident.Term) {
	for _, p := range c.proposed[i] {
		if p.term == term {
			p.reply(link.Answer{ID: p.id, Done: true})
		} else {
			p.reply(link.Answer{ID: p.id, Cause: "the leader changed"})
		}
	}
	delete(c.proposed, i)
}

// SetLayout replicates a validated layout; it changes nothing if the current layout has this version or a higher one.
func (v *Voter) SetLayout(ctx context.Context, l *layout.Layout) error {
	_, err := v.call(ctx, link.Call{Command: book.Command{Layout: l}})
	return err
}

// SetNewest replicates the newest version of an adapter.
func (v *Voter) SetNewest(ctx context.Context, n book.Newest) error {
	_, err := v.call(ctx, link.Call{Command: book.Command{Newest: &n}})
	return err
}

// Layout returns the operator's source text of the current layout, as confirmed by the leader.
func (v *Voter) Layout(ctx context.Context) ([]byte, error) {
	a, err := v.call(ctx, link.Call{Read: true})
	return a.Source, err
}

// call sends a call to the leader and returns the answer.
func (v *Voter) call(ctx context.Context, c link.Call) (link.Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	done := make(chan link.Answer, 1)
	v.post(func() {
		v.calls.next++
		c.ID = v.calls.next
		v.calls.pending[c.ID] = &pendingCall{call: c, done: done, startedAt: clock.Boot()}
		v.forwardCalls()
	})
	select {
	case a := <-done:
		if !a.Done {
			return a, fmt.Errorf("call the leader: %s", a.Cause)
		}
		return a, nil
	case <-ctx.Done():
		return link.Answer{}, fmt.Errorf("call the leader: %w", errNoReply)
	case <-v.ended:
		return link.Answer{}, errStopping
	}
}

// forwardCalls sends each pending call to the current leader, unless this leader has received it already.
func (v *Voter) forwardCalls() {
	leader, _ := v.node.Leader()
	if leader == "" {
		return
	}
	for _, p := range v.calls.pending {
		if p.sentTo == leader {
			continue
		}
		if leader == v.Self {
			if v.leadership != nil {
				p.sentTo = leader
				v.serveCall(v.Self, p.call)
			}
			continue
		}
		if v.mesh.Send(leader, link.Message{Call: &p.call}) {
			p.sentTo = leader
		}
	}
}

// serveCall executes a call as the leader. A host that is not the leader ignores the call, and the sender forwards it to the
// next leader.
func (v *Voter) serveCall(from ident.HostID, c link.Call) {
	reply := func(a link.Answer) {
		if from == v.Self {
			v.calls.answer(a)
			return
		}
		v.mesh.Send(from, link.Message{Answer: &a})
	}
	if !v.node.LeadershipConfirmed() {
		if v.node.Role() == quorum.Leader && len(v.calls.deferred) < maxDeferred {
			v.calls.deferred = append(v.calls.deferred, func() { v.serveCall(from, c) })
		}
		return // the sender forwards the call to the next leader or times out
	}
	switch {
	case c.Read && v.book.Layout == nil:
		reply(link.Answer{ID: c.ID, Cause: "there is no layout yet"})
	case c.Read:
		reply(link.Answer{ID: c.ID, Done: true, Source: v.book.Layout.Source})
	case c.Command.Layout != nil && v.book.Layout != nil && c.Command.Layout.Version <= v.book.Layout.Version:
		reply(link.Answer{ID: c.ID, Done: true})
	default:
		v.propose(c, reply)
	}
}

func (v *Voter) propose(c link.Call, reply func(link.Answer)) {
	data, err := wire.Marshal(c.Command)
	if err != nil {
		reply(link.Answer{ID: c.ID, Cause: err.Error()})
		return
	}
	i, err := v.node.Propose(data)
	if err != nil {
		reply(link.Answer{ID: c.ID, Cause: err.Error()})
		return
	}
	_, term := v.node.Leader()
	v.calls.proposed[i] = append(v.calls.proposed[i], proposal{term: term, reply: reply, id: c.ID})
}

// dropProposals drops the proposals and deferred calls after a loss of leadership. Their senders forward them to the next
// leader or time out.
func (v *Voter) dropProposals() {
	if v.node.Role() != quorum.Leader {
		clear(v.calls.proposed)
		v.calls.deferred = nil
	}
}

// serveDeferred executes the calls that arrived before the leadership was confirmed.
func (v *Voter) serveDeferred() {
	deferred := v.calls.deferred
	v.calls.deferred = nil
	for _, f := range deferred {
		f()
	}
}
