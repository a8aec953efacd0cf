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

// Errors of operators' calls; all of them leave open whether an order will be in force.
var (
	errEnded   = errors.New("the host is stopping")
	errNoReply = errors.New("no leader confirmed it in time")
)

// callTimeout bounds a call; callers go on to another host after a second.
const callTimeout = 850 * time.Millisecond

// calls are the operators' orders that wait for an answer on this host.
type calls struct {
	next uint64
	open map[uint64]*openCall
	// proposed are those that wait for an entry of this host's own log.
	proposed map[ident.Index][]proposal
	// held are those that wait until this host's leadership is confirmed.
	held []func()
}

// maxHeld bounds the calls that wait; operators have a few orders in progress at once.
const maxHeld = 64

type openCall struct {
	call link.Call
	done chan link.Answer
	at   ident.Time
	sent ident.HostID // the leader that it was sent to
}

// proposal is a call whose command is an entry of the log.
type proposal struct {
	term  ident.Term
	reply func(link.Answer)
	id    uint64
}

func newCalls() *calls {
	return &calls{next: uint64(clock.Boot()), open: map[uint64]*openCall{}, proposed: map[ident.Index][]proposal{}}
}

func (c *calls) answer(a link.Answer) {
	if o := c.open[a.ID]; o != nil {
		delete(c.open, a.ID)
		o.done <- a
	}
}

func (c *calls) expire(now ident.Time) {
	for id, o := range c.open {
		if now.Sub(o.at) > callTimeout {
			delete(c.open, id)
		}
	}
}

// committed answers the calls that waited for an entry.
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

// SetLayout puts a checked layout in force, unless one with a higher version is.
func (v *Voter) SetLayout(ctx context.Context, l *layout.Layout) error {
	_, err := v.call(ctx, link.Call{Command: book.Command{Layout: l}})
	return err
}

// SetNewest announces a version of an adapter.
func (v *Voter) SetNewest(ctx context.Context, n book.Newest) error {
	_, err := v.call(ctx, link.Call{Command: book.Command{Newest: &n}})
	return err
}

// Layout returns the operator's text of the layout in force, known to be the newest.
func (v *Voter) Layout(ctx context.Context) ([]byte, error) {
	a, err := v.call(ctx, link.Call{Read: true})
	return a.Source, err
}

// call has the leader carry out an order.
func (v *Voter) call(ctx context.Context, c link.Call) (link.Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	done := make(chan link.Answer, 1)
	v.post(func() {
		v.calls.next++
		c.ID = v.calls.next
		v.calls.open[c.ID] = &openCall{call: c, done: done, at: clock.Boot()}
		v.passCalls()
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
		return link.Answer{}, errEnded
	}
}

// passCalls sends the open calls to the leader that is known now.
func (v *Voter) passCalls() {
	leader, _ := v.node.Leader()
	if leader == "" {
		return
	}
	for _, o := range v.calls.open {
		if o.sent == leader {
			continue
		}
		if leader == v.Self {
			if v.lead != nil {
				o.sent = leader
				v.serveCall(v.Self, o.call)
			}
			continue
		}
		if v.mesh.Send(leader, link.Message{Call: &o.call}) {
			o.sent = leader
		}
	}
}

// serveCall carries out a call as the leader; a host that does not lead says so, and the call is sent again.
func (v *Voter) serveCall(from ident.HostID, c link.Call) {
	reply := func(a link.Answer) {
		if from == v.Self {
			v.calls.answer(a)
			return
		}
		v.mesh.Send(from, link.Message{Answer: &a})
	}
	if !v.node.LeadershipConfirmed() {
		if v.node.Role() == quorum.Leader && len(v.calls.held) < maxHeld {
			v.calls.held = append(v.calls.held, func() { v.serveCall(from, c) })
		}
		return // otherwise the sender's own timeout or the next leader decides
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

// dropProposals forgets the proposals of a lost leadership; their calls end by timeout or with the next leader.
func (v *Voter) dropProposals() {
	if v.node.Role() != quorum.Leader {
		clear(v.calls.proposed)
		v.calls.held = nil
	}
}

// serveHeld carries out the calls that came before the leadership was confirmed.
func (v *Voter) serveHeld() {
	held := v.calls.held
	v.calls.held = nil
	for _, f := range held {
		f()
	}
}
