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
		w.grantLease(from, *m.Renew)
	case m.Renewed != nil:
		w.leader = from
		w.holder.Extend(*m.Renewed)
		w.down = m.Renewed.Down
	case m.Update != nil:
		w.follow(*m.Update)
	case m.Propose != nil:
		w.lead.propose(w, from, *m.Propose)
	case m.Proposed != nil:
		w.proposed(*m.Proposed)
	case m.Ask != nil:
		w.lead.answer(w, from, *m.Ask)
	case m.Asked != nil:
		w.asked(*m.Asked)
	case m.Wants != nil:
		w.lead.wants(from, m.Wants.List)
	case m.Grant != nil:
		w.granted(*m.Grant)
	case m.Done != nil:
		w.lead.loadDone(w, *m.Done)
	case m.Handover != nil:
		w.handedOver(from, *m.Handover)
	case m.Alive != nil:
		w.heard(*m.Alive)
	default:
		w.takeReports(m.Reports)
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
		w.takeReady(r)
	}
}

func (w *World) takeReady(r quorum.Ready) {
	if r.Seq != 0 || len(r.AfterWrite) > 0 {
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
		w.noteDrains()
	}
	w.recent.Add(e.Index, c, res)
	w.lead.applied(w, e, res)
	w.compact()
}

// followLeader notices changes of leadership.
func (w *World) followLeader() {
	if w.node == nil {
		return
	}
	if leader, _ := w.node.Leader(); leader != "" {
		w.leader = leader
	}
	if w.node.Role() != quorum.Leader {
		w.lead = nil
		return
	}
	_, term := w.node.Leader()
	if w.lead == nil || w.lead.term != term {
		w.lead = newLeadership(w, term)
	}
}

// renew sends this host's lease renewal when it is due.
func (w *World) renew() {
	r := w.holder.Due(w.now, w.state.Applied)
	if r == nil {
		return
	}
	r.Busy = w.open + len(w.items)
	r.Working = w.working()
	for _, h := range w.leaderTargets() {
		w.send(h, Message{Renew: r})
	}
}

// leaderTargets returns the leader, and all voters when that one did not answer the last time or no leader is known:
// trying them one by one takes longer than a lease lasts.
func (w *World) leaderTargets() []ident.HostID {
	var list []ident.HostID
	if w.leader != "" {
		list = append(list, w.leader)
	}
	if w.leader == "" || w.holder.Unanswered(w.now) {
		for _, h := range w.diskHosts() {
			if h != w.leader {
				list = append(list, h)
			}
		}
	}
	return list
}

func (w *World) grantLease(from ident.HostID, r lease.RenewRequest) {
	if w.lead == nil || !w.node.LeadershipConfirmed() {
		return
	}
	reply, update := w.lead.renew(w, from, r)
	if update != nil {
		w.send(from, Message{Update: update})
	}
	w.send(from, Message{Renewed: &reply})
}

// follow brings the state of a host without a log forward.
func (w *World) follow(u feed.Update) {
	if w.node == nil {
		w.state = feed.Apply(w.state, u)
	}
}
