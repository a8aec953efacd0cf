package world

import (
	"shallotgap/core/feed"
	"shallotgap/core/ident"
	"shallotgap/core/lease"
	"shallotgap/core/quorum"
	"shallotgap/core/wire"
)

// receive handles a message from another host or from this host itself.
func (w *World) receive(from ident.HostID, m Message) {
	switch {
	case m.Quorum != nil:
		if w.node != nil {
			w.node.Step(*m.Quorum)
		}
	case m.Renew != nil:
		w.handleRenewal(from, *m.Renew)
	case m.Renewed != nil:
		w.leader = from
		w.lease.Extend(*m.Renewed)
		w.hostsDown = m.Renewed.Down
	case m.Update != nil:
		w.applyUpdate(*m.Update)
	case m.Propose != nil:
		w.leadership.propose(w, from, *m.Propose)
	case m.Proposed != nil:
		w.proposed(*m.Proposed)
	case m.Ask != nil:
		w.leadership.answerQuestion(w, from, *m.Ask)
	case m.Asked != nil:
		w.asked(*m.Asked)
	case m.Wants != nil:
		w.leadership.setWants(from, m.Wants.List)
	case m.Grant != nil:
		w.granted(*m.Grant)
	case m.Done != nil:
		w.leadership.loadDone(w, *m.Done)
	case m.Handover != nil:
		w.receiveHandover(from, *m.Handover)
	case m.Alive != nil:
		w.recordHeartbeat(*m.Alive)
	default:
		w.receiveReports(m.Reports)
	}
}

// runQuorum carries out the pending output of the replication node: writes, messages and committed entries.
func (w *World) runQuorum() {
	if w.node == nil {
		return
	}
	for {
		r := w.node.Ready()
		if r.Empty() {
			return
		}
		w.handleReady(r)
	}
}

// handleReady carries out one batch of the node's output.
func (w *World) handleReady(r quorum.Ready) {
	if r.Seq != 0 || len(r.AfterWrite) > 0 {
		w.openWrites.add(r.Seq, w.now)
		w.emit(Effect{Write: &Write{
			Seq: r.Seq, Hard: r.Hard, Snapshot: r.Snapshot, Replace: r.Snapshot != nil, Entries: r.Entries, SendAfter: outbound(r.AfterWrite),
		}})
	}
	for _, out := range outbound(r.Immediate) {
		w.emit(Effect{Send: &out})
	}
	if r.Snapshot != nil {
		if err := w.restore(*r.Snapshot); err != nil {
			w.note(ident.RequestID{}, "restore", err.Error(), "")
		}
	}
	for _, e := range r.Committed {
		w.apply(e)
	}
}

// outbound wraps replication messages as control messages.
func outbound(list []quorum.Message) []Outbound {
	var out []Outbound
	for _, m := range list {
		out = append(out, Outbound{To: m.To, Message: Message{Quorum: &m}})
	}
	return out
}

// written tells the replication node that a write is durable.
func (w *World) written(done Written) {
	w.openWrites.written(done.Seq)
	if w.node != nil {
		w.node.Written(done.Seq)
	}
}

// apply applies a committed entry to the state; a leader sends the result to the proposer.
func (w *World) apply(e quorum.Entry) {
	c, ok, err := commandOf(e, wire.Unmarshal)
	if err != nil {
		w.note(ident.RequestID{}, "apply", err.Error(), "")
	}
	if !ok {
		w.state.Skip(e.Index)
		return
	}
	res := w.state.Apply(e.Index, c)
	if c.Progress != nil {
		w.recordDrains()
	}
	w.recent.Add(e.Index, c, res)
	w.leadership.applied(w, e, res)
	w.compact()
}

// updateLeadership takes the current leader from the replication node, and starts or ends this host's own leadership.
func (w *World) updateLeadership() {
	if w.node == nil {
		return
	}
	if leader, _ := w.node.Leader(); leader != "" {
		w.leader = leader
	}
	if w.node.Role() != quorum.Leader {
		w.leadership = nil
		return
	}
	_, term := w.node.Leader()
	if w.leadership == nil || w.leadership.term != term {
		w.leadership = newLeadership(w, term)
	}
}

// renew sends this host's lease renewal when one is due.
func (w *World) renew() {
	r := w.lease.Due(w.now, w.state.Applied)
	if r == nil {
		return
	}
	r.Busy = w.openRequests + len(w.items)
	r.Working = w.stoppingWithWork()
	for _, h := range w.renewalTargets() {
		w.send(h, Message{Renew: r})
	}
}

// renewalTargets returns the hosts to send a renewal to: the leader, and also all hosts with a data folder if no leader is
// known or the last renewal got no answer. Trying the hosts one after another would take longer than a lease lasts.
func (w *World) renewalTargets() []ident.HostID {
	var list []ident.HostID
	if w.leader != "" {
		list = append(list, w.leader)
	}
	if w.leader == "" || w.lease.Unanswered(w.now) {
		for _, h := range w.diskHosts() {
			if h != w.leader {
				list = append(list, h)
			}
		}
	}
	return list
}

// handleRenewal answers a lease renewal; only a leader that a majority has just confirmed may do so.
func (w *World) handleRenewal(from ident.HostID, r lease.RenewRequest) {
	if w.leadership == nil || !w.node.LeadershipConfirmed() {
		return
	}
	reply, update := w.leadership.renewLease(w, from, r)
	if update != nil {
		w.send(from, Message{Update: update})
	}
	w.send(from, Message{Renewed: &reply})
}

// applyUpdate applies the leader's updates to the state of a host without a log.
func (w *World) applyUpdate(u feed.Update) {
	if w.node == nil {
		w.state = feed.Apply(w.state, u)
	}
}
