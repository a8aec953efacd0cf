package world

import (
	"shallotgap/core/feed"
	"shallotgap/core/ident"
	"shallotgap/core/lease"
	"shallotgap/core/quorum"
	"shallotgap/core/wire"
)

// receive handles a message from another host, or from this one.
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

// runQuorum writes, sends and applies what the node has ready.
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

func (w *World) handleReady(r quorum.Ready) {
	if r.Seq != 0 || len(r.After) > 0 {
		w.emit(Effect{Write: &Write{
			Seq: r.Seq, Hard: r.Hard, Snapshot: r.Snapshot, Replace: r.Snapshot != nil, Entries: r.Entries, Then: outbound(r.After),
		}})
	}
	for _, out := range outbound(r.Now) {
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

func outbound(list []quorum.Message) []Outbound {
	var out []Outbound
	for _, m := range list {
		out = append(out, Outbound{To: m.To, Message: Message{Quorum: &m}})
	}
	return out
}

func (w *World) written(done Written) {
	if w.node != nil {
		w.node.Written(done.Seq)
	}
}

// apply runs a committed entry and answers its proposer.
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

// followLeader notices changes of leadership.
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

// renew sends this host's lease renewal when it is due.
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

// leaderTargets returns the leader, and all voters when that one did not answer the last time or no leader is known:
// trying them one by one takes longer than a lease lasts.
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

func (w *World) handleRenewal(from ident.HostID, r lease.Renew) {
	if w.leadership == nil || !w.node.Confirmed() {
		return
	}
	reply, update := w.leadership.renewLease(w, from, r)
	if update != nil {
		w.send(from, Message{Update: update})
	}
	w.send(from, Message{Renewed: &reply})
}

// follow brings the state of a host without a log forward.
func (w *World) applyUpdate(u feed.Update) {
	if w.node == nil {
		w.state = feed.Apply(w.state, u)
	}
}
