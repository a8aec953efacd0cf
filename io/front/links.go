package front

import (
	"slices"

	"shallotgap/core/ident"
	"shallotgap/io/clock"
	"shallotgap/io/link"
)

// initialMessages returns the messages to send on a new link.
func (f *Front) initialMessages() []link.Message { return []link.Message{f.presence()} }

// LinkUp tells a newly linked host the control hosts. That host may have only this one as a seed.
func (f *Front) LinkUp(peer link.Hello) {
	f.mu.Lock()
	if peer.Operators != "" {
		f.operators[peer.Host] = peer.Operators
	}
	known := f.controlHosts
	f.mu.Unlock()
	if len(known) > 0 {
		f.mesh.Send(peer.Host, link.Message{Status: &link.Status{Control: known}})
	}
}

// LeaderAddress returns the address at which the leader takes the calls of operators; empty if it is not known. A large configuration
// is passed on faster there: control hosts have faster links and processors.
func (f *Front) LeaderAddress() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.operators[f.leader]
}

// LinkDown drops the status of a control host, and the leader if that host was leading.
func (f *Front) LinkDown(peer link.Hello) {
	f.LinkLost(peer.Host)
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.controlStatus, peer.Host)
	delete(f.operators, peer.Host)
	f.fetch.linkDown(peer.Host)
	f.chooseFallback()
	if f.leader == peer.Host {
		f.leader = ""
		f.Follow("", clock.Boot())
		f.Log.WithField("step", "authority").WithField("peer", peer.Host).WithField("term", f.term).Warn("authority-lost")
	}
}

// Receive handles a message from a control host, or the list of control hosts from an entry host.
func (f *Front) Receive(from link.Hello, m link.Message) {
	switch {
	case m.Status != nil && !from.Control:
		f.Reseed(m.Status.Control)
	case m.Status != nil:
		f.handleStatus(from.Host, *m.Status)
	case m.Answer != nil:
		f.Resolve(*m.Answer)
	case m.Census != nil:
		f.handleCensus(m.Census)
	case m.Endpoints != nil:
		f.reconcileEndpoints(*m.Endpoints)
	case m.Change != nil:
		f.handleLayoutChange(from.Host, *m.Change)
	case m.Newest != nil:
		f.handleNewestVersions(*m.Newest)
	case m.Poison != nil:
		f.handlePoison(from.Host, *m.Poison)
	case m.Crashed != nil:
		f.recordCrash(m.Crashed.Crash)
	case m.Limits != nil:
		f.handleLimits(from.Host, *m.Limits)
	case m.Relays != nil:
		f.Paths.SetRelays(m.Relays.List)
	case m.Reply != nil:
		f.handleGrantReply(from.Host, *m.Reply)
	}
}

// handleStatus links to the control hosts that the status lists, follows a change of the leader and fetches newer state.
func (f *Front) handleStatus(from ident.HostID, s link.Status) {
	f.Reseed(s.Control)
	f.mu.Lock()
	f.controlStatus[from] = s
	changed := f.updateControlHosts()
	f.entryHosts = f.knownHosts.Add(f.countEntryHosts(), clock.Boot())
	newLeader := s.Leads && s.Term >= f.term && (f.leader != from || f.term != s.Term)
	if newLeader {
		f.leader, f.term = from, s.Term
		f.limits.endShares()
	} else if f.leader == from && !s.Leads {
		f.leader = ""
	}
	if f.leader == from {
		f.leaderHeardAt = clock.Boot()
	}
	f.Follow(f.leader, clock.Boot())
	f.chooseFallback()
	f.mu.Unlock()
	if changed != nil {
		f.mesh.SendAll(link.Message{Status: &link.Status{Control: changed}}, func(link.Hello) bool { return true })
	}
	if newLeader {
		f.Log.WithField("step", "authority").WithField("peer", from).WithField("term", s.Term).Info("authority")
		f.syncAuthority(from, s.Term)
	}
	f.fetchIfBehind(from, s)
	if s.Endpoints != nil {
		f.compareEndpoints(from, *s.Endpoints)
	}
}

// chooseFallback sets the fallback for the leader to a linked control host, and keeps it while its link is up. The caller must
// hold f.mu.
func (f *Front) chooseFallback() {
	if _, linked := f.controlStatus[f.fallback]; linked {
		return
	}
	f.fallback = ""
	for h := range f.controlStatus {
		f.fallback = h
		break
	}
	f.SetFallback(f.fallback)
}

// countEntryHosts returns the largest number of entry hosts that a linked control host knows. One that has just started does not know
// all of them; where all of them have just started, knownHosts keeps the count. The caller must hold f.mu.
func (f *Front) countEntryHosts() int {
	n := 1
	for _, s := range f.controlStatus {
		n = max(n, s.EntryHosts)
	}
	return n
}

// updateControlHosts collects the control hosts from their statuses. It returns the list if it has changed, else nil. The caller
// must hold f.mu.
func (f *Front) updateControlHosts() []ident.HostID {
	var list []ident.HostID
	for _, s := range f.controlStatus {
		list = append(list, s.Control...)
	}
	slices.Sort(list)
	list = slices.Compact(list)
	if slices.Equal(list, f.controlHosts) {
		return nil
	}
	f.controlHosts = list
	return list
}
