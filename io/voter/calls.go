package voter

import (
	"shallotgap/core/book"
	"shallotgap/core/census"
	"shallotgap/core/ident"
	"shallotgap/core/quorum"
	"shallotgap/core/wire"
	"shallotgap/io/calls"
	"shallotgap/io/clock"
	"shallotgap/io/link"
)

// maxDeferred limits the deferred calls; operators have a few calls in progress at once.
const maxDeferred = 64

// leaderCalls holds the calls that this host handles as the leader.
type leaderCalls struct {
	// proposed holds the calls that wait for the commit of their log entry, by the index of the entry.
	proposed map[ident.Index][]proposal
	// deferred holds the calls that wait until this host's leadership is confirmed.
	deferred []func()
}

// proposal is a call whose command was appended to the log in a term.
type proposal struct {
	term  ident.Term
	reply func(link.Answer)
	id    uint64
}

// committed answers the calls that waited for the entry at index i. They fail if an entry of another term replaced theirs.
func (c *leaderCalls) committed(i ident.Index, term ident.Term) {
	for _, p := range c.proposed[i] {
		if p.term == term {
			p.reply(link.Answer{ID: p.id, Done: true})
		} else {
			p.reply(link.Answer{ID: p.id, Cause: "the leader changed"})
		}
	}
	delete(c.proposed, i)
}

// sendCall sends a forwarded call to the leader, which may be this host.
func (v *Voter) sendCall(leader ident.HostID, m link.Message) bool {
	if leader != v.Self {
		return v.mesh.Send(leader, m)
	}
	go v.post(func() { // the loop itself may be the caller, so this must not block
		if m.EndpointCall != nil {
			v.serveEndpointCall(v.Self, *m.EndpointCall)
			return
		}
		v.serveCall(v.Self, *m.Call)
	})
	return true
}

// followLeader tells the forwarder of calls which host leads. This host serves calls only once its leadership has begun.
func (v *Voter) followLeader(now ident.Time) {
	leader, _ := v.node.Leader()
	if leader == v.Self && v.leadership == nil {
		leader = ""
	}
	if leader == "" && !v.node.IsVoter(v.Self) {
		leader = v.announced.current(now)
	}
	v.Follow(leader, now)
}

// announcedLeader is the leader according to its own status message, by which a host with an empty disk finds it before it has joined the log.
type announcedLeader struct {
	host ident.HostID
	term ident.Term
	at   ident.Time
}

// noteLeader records the leader by the status of a linked control host.
func (v *Voter) noteLeader(from link.Hello, s link.Status, now ident.Time) {
	switch {
	case !from.Control:
	case s.Leads && s.Term >= v.announced.term:
		v.announced = announcedLeader{host: from.Host, term: s.Term, at: now}
	case from.Host == v.announced.host:
		v.announced.host = ""
	}
}

// current returns the leader, or nothing if its last two statuses are missing.
func (a announcedLeader) current(now ident.Time) ident.HostID {
	if now.Sub(a.at) > 2*statusInterval {
		return ""
	}
	return a.host
}

// reply sends the answer to a call to the host that forwarded the call.
func (v *Voter) reply(to ident.HostID, a link.Answer) {
	if to == v.Self {
		v.Resolve(a)
		return
	}
	v.mesh.Send(to, link.Message{Answer: &a})
}

// serveEndpointCall records a heartbeat or deregistration that an entry host forwarded.
func (v *Voter) serveEndpointCall(from ident.HostID, c link.EndpointCall) {
	switch {
	case c.Heartbeat != nil:
		v.observeEndpoints([]census.Entry{*c.Heartbeat}, true)
	case c.Left != nil:
		i, err := v.deregister(leaveCall(c, clock.Boot()))
		if err != nil {
			v.reply(from, link.Answer{ID: c.ID, Cause: err.Error()})
			return
		}
		c.Left = &i
	}
	if d, open := v.openDeparture(c); open {
		v.replicateDeparture(from, c.ID, d)
		return
	}
	a := link.Answer{ID: c.ID, Done: !v.WithoutLeader(clock.Boot())}
	if !a.Done {
		a.Cause = errNoLeader.Error()
	}
	v.reply(from, a)
}

// latestMessage is by how much a message of another host can be late: a link without news is closed, and calls end.
const latestMessage = link.SilenceTimeout + calls.Timeout

// leaveCall returns a deregistration that another host has passed on.
func leaveCall(c link.EndpointCall, now ident.Time) census.LeaveCall {
	call := census.LeaveCall{Instance: *c.Left, Chosen: c.Chosen, Announced: c.Announced}
	if c.Age > 0 {
		call.OpenedAt = max(1, now.Add(-c.Age-latestMessage))
	}
	return call
}

// serveCall executes a call as the leader. A host that is not the leader ignores the call, and the sender forwards it to the
// next leader.
func (v *Voter) serveCall(from ident.HostID, c link.Call) {
	reply := func(a link.Answer) { v.reply(from, a) }
	if !v.node.LeadershipConfirmed() {
		v.deferCall(func() { v.serveCall(from, c) })
		return
	}
	switch {
	case c.Stream != nil:
		v.answerStream(from, c)
	case c.Read && v.book.Layout == nil:
		reply(link.Answer{ID: c.ID, Cause: "there is no layout yet"})
	case c.Read:
		reply(link.Answer{ID: c.ID, Done: true, Source: v.book.Layout.Source})
	case c.Command.Layout != nil && v.book.Layout != nil && c.Command.Layout.Version <= v.book.Layout.Version:
		reply(link.Answer{ID: c.ID, Done: true})
	default:
		v.propose(c.ID, c.Command, reply)
	}
}

// deferCall executes a call once this host's leadership is confirmed. A host that is not the leader drops the call: the sender forwards it to
// the next leader or times out.
func (v *Voter) deferCall(f func()) {
	if v.node.Role() == quorum.Leader && len(v.leaderCalls.deferred) < maxDeferred {
		v.leaderCalls.deferred = append(v.leaderCalls.deferred, f)
	}
}

// propose appends a command to the log and answers the call with the given id when the command is committed.
func (v *Voter) propose(id uint64, c book.Command, reply func(link.Answer)) {
	data, err := wire.Marshal(c)
	if err != nil {
		reply(link.Answer{ID: id, Cause: err.Error()})
		return
	}
	i, err := v.node.Propose(data)
	if err != nil {
		reply(link.Answer{ID: id, Cause: err.Error()})
		return
	}
	_, term := v.node.Leader()
	v.leaderCalls.proposed[i] = append(v.leaderCalls.proposed[i], proposal{term: term, reply: reply, id: id})
}

// dropProposals drops the proposals and deferred calls after a loss of leadership. Their senders forward them to the next
// leader or time out.
func (v *Voter) dropProposals() {
	if v.node.Role() != quorum.Leader {
		clear(v.leaderCalls.proposed)
		v.leaderCalls.deferred = nil
	}
}

// serveDeferred executes the calls that arrived before the leadership was confirmed.
func (v *Voter) serveDeferred() {
	deferred := v.leaderCalls.deferred
	v.leaderCalls.deferred = nil
	for _, f := range deferred {
		f()
	}
}
