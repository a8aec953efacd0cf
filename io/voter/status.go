package voter

import (
	"context"
	"errors"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"shallotgap/core/census"
	"shallotgap/core/ident"
	"shallotgap/io/clock"
	"shallotgap/io/link"
)

// statusInterval is how often a control host sends its status to all linked hosts; a changed
// status is sent with the next tick.
const statusInterval = 400 * time.Millisecond

func (v *Voter) status() *link.Status {
	leader, term := v.node.Leader()
	s := &link.Status{Leader: leader, Term: term, Leads: v.leadership != nil, Changes: v.book.Changes, Poison: v.book.Poison.Changes, Limits: v.book.Limits.Changes, Control: v.controlHosts(), EntryHosts: v.countReadyEntryHosts(clock.Boot())}
	if v.book.Layout != nil {
		s.Layout = v.book.Layout.Version
	}
	if s.Leads {
		d := census.DigestOf(v.heardEndpoints(), v.isPlain)
		s.Endpoints = &d
	}
	return s
}

// controlHosts returns this host, the other members of the log and the linked control hosts. A host with an empty disk knows only the
// latter, and may be the only one that other hosts have in common.
func (v *Voter) controlHosts() []ident.HostID {
	list := []ident.HostID{v.Self}
	members, _ := v.node.Members()
	for _, m := range members {
		list = append(list, m.Host)
	}
	list = slices.AppendSeq(list, maps.Keys(v.linkedControlHosts))
	slices.Sort(list)
	return slices.Compact(list)
}

func (v *Voter) countReadyEntryHosts(now ident.Time) int {
	n := 0
	for _, e := range v.entryHosts {
		if e.presence.Ready && now.Sub(e.receivedAt) < presenceTTL {
			n++
		}
	}
	return n
}

func (v *Voter) sendStatus(now ident.Time) {
	v.nextStatus = now.Add(statusInterval)
	v.mesh.SendAll(link.Message{Status: v.status()}, func(link.Hello) bool { return true })
}

// Addresses returns the addresses of ready entry hosts for callers of a failure domain, in random order. Entry hosts of
// other domains are included only if the domain has fewer than minAddresses.
func (v *Voter) Addresses(ctx context.Context, domain ident.DomainID) ([]string, error) {
	var near, nearCutOff, far []string
	err := v.runInLoop(ctx, func() {
		now := clock.Boot()
		for _, e := range v.entryHosts {
			switch {
			case !e.presence.Ready || now.Sub(e.receivedAt) > presenceTTL:
			case e.hello.Domain == domain && e.isCutOff():
				nearCutOff = append(nearCutOff, e.presence.Address)
			case e.hello.Domain == domain:
				near = append(near, e.presence.Address)
			case !e.isCutOff():
				far = append(far, e.presence.Address)
			}
		}
	})
	if err != nil {
		return nil, err
	}
	if len(near) < max(minAddresses, len(nearCutOff)) {
		// The others could not bear all callers of the domain. A host that is cut off serves its callers through others.
		near = append(near, nearCutOff...)
	}
	rand.Shuffle(len(far), func(i, j int) { far[i], far[j] = far[j], far[i] })
	list := near
	for len(list) < minAddresses && len(far) > 0 {
		list, far = append(list, far[0]), far[1:]
	}
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list[:min(len(list), maxAddresses)], nil
}

// Limits of the address list for a caller.
const (
	minAddresses = 2  // callers need an alternative if the first address fails
	maxAddresses = 64 // callers use at most 64 addresses
)

// runInLoop runs f in the loop and waits until f has returned.
func (v *Voter) runInLoop(ctx context.Context, f func()) error {
	done := make(chan struct{})
	v.post(func() { f(); close(done) })
	select {
	case <-done:
		return nil
	case <-v.ended:
		return errStopping
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Announce handles a heartbeat of an endpoint. After an error, the heartbeat may not reach the leader, and the endpoint should
// send it to another control host.
func (v *Voter) Announce(ctx context.Context, e census.Entry) error {
	open := false
	err := v.confirmWithLeader(ctx, func() {
		v.observeEndpoints([]census.Entry{e}, true)
		_, open = v.openDeparture(link.EndpointCall{Heartbeat: &e})
	})
	if err != nil || !open {
		return err
	}
	return v.Forwarder.Announce(ctx, e)
}

// confirmWithLeader runs f in the loop. It returns an error if this host knows no leader to which the change could be sent.
func (v *Voter) confirmWithLeader(ctx context.Context, f func()) error {
	leaderless := false
	err := v.runInLoop(ctx, func() {
		f()
		leaderless = v.WithoutLeader(clock.Boot())
	})
	if err == nil && leaderless {
		return errNoLeader
	}
	return err
}

// Errors of calls.
var (
	errStopping = errors.New("the host is stopping")
	errNoLeader = errors.New("this control host knows no leader")
)

// Leave deregisters an endpoint. An error means that the leader may not learn of it, as for Announce, or that the call may be a late one of an
// earlier incarnation.
func (v *Voter) Leave(ctx context.Context, call census.LeaveCall) error {
	var unclear error
	open := false
	err := v.confirmWithLeader(ctx, func() {
		i, err := v.deregister(call)
		if err != nil {
			unclear = err
			return
		}
		call.Chosen = call.Chosen || i != call.Instance
		call.Instance = i
		_, open = v.openDeparture(link.EndpointCall{Left: &i})
		open = open || i.Born == 0 // the leader may know the endpoint
	})
	switch {
	case err != nil:
		return err
	case unclear != nil:
		return unclear
	case !open:
		return nil
	}
	return v.Forwarder.Leave(ctx, call)
}

// deregister marks an endpoint as gone and returns the incarnation that leaves. It fails if that is not clear.
func (v *Voter) deregister(call census.LeaveCall) (ident.Instance, error) {
	now := clock.Boot()
	i, err := v.census.Leaver(call, now)
	if err != nil {
		if e, known := v.census.Get(i.ID); known {
			v.logEndpoint(e, "leave-unclear")
		}
		return i, err
	}
	if e, ok := v.census.Leave(i, now); ok {
		if v.leadership != nil {
			v.leadership.authority.Observe(e, now)
		}
		v.logEndpoint(e, "left")
		v.queueChange(e)
	}
	return i, nil
}

// observeEndpoints updates the census with heartbeats. direct is true if the endpoints sent them to this host, which then
// forwards them to the other hosts.
func (v *Voter) observeEndpoints(list []census.Entry, direct bool) {
	now := clock.Boot()
	for _, e := range list {
		if err := e.Check(time.Now()); err != nil {
			v.rejectOdd(e, err)
			continue
		}
		e.LastHeartbeat = now
		former, _ := v.census.Get(e.Instance.ID)
		result := v.census.Observe(e, now)
		if stored, known := v.census.Get(e.Instance.ID); known && stored.Instance == e.Instance {
			e.State, e.Build, e.Restarted = stored.State, stored.Build, stored.Restarted
		}
		if result == census.Unchanged && v.onlyRestored(former) {
			result = census.Changed // other hosts do not know an endpoint that was only restored from disk yet
		}
		switch result {
		case census.Stale:
			v.Meter.Count("shallotgap_heartbeats_total", "news", "stale")
			continue
		case census.UnknownService:
			v.Meter.Count("shallotgap_heartbeats_total", "news", "unnamed")
			v.logEndpoint(e, "unknown-service")
			continue
		case census.Full:
			v.rejectOdd(e, errCensusFull)
			continue
		case census.Prevailed:
			v.logEndpoint(e, "prevailed")
			e.Prevails, result = true, census.Changed
		}
		displaced := v.census.Displaced()
		for _, e := range append(displaced, e) {
			if v.leadership != nil {
				v.leadership.authority.Observe(e, now)
			}
		}
		if result == census.Changed {
			if v.leadership != nil {
				v.leadership.buildsDue = 0
			}
			v.learnPath(e)
			v.logEndpoint(e, "changed")
		}
		for _, e := range displaced {
			v.logEndpoint(e, "address-taken")
			v.queueChange(e)
		}
		if !direct {
			continue
		}
		switch short, ok := census.Shorten(former, e); {
		case result == census.Changed:
			v.queueChange(e)
		case ok:
			v.shortHeartbeats = append(v.shortHeartbeats, short)
		default:
			v.fullHeartbeats = append(v.fullHeartbeats, e)
		}
	}
}

// observeShort updates the census with the short heartbeats that another control host forwarded.
func (v *Voter) observeShort(list []census.ShortHeartbeat) {
	now := clock.Boot()
	for _, b := range list {
		e, same, ok := v.census.ObserveShort(b, now)
		switch {
		case !ok || v.leadership == nil:
		case same:
			v.leadership.authority.Observe(e, now)
		default:
			v.leadership.authority.ObserveHeartbeat(e.Instance, now)
		}
	}
}

// confirmAlive records signs of life of engines whose heartbeats are overdue, and has the other control hosts told: the next leader must not
// take them for dead.
func (v *Voter) confirmAlive(list []ident.Instance, now ident.Time) {
	for _, i := range list {
		if v.census.Confirm(i, now) {
			v.alive = append(v.alive, i)
		}
	}
}

// rejectOdd counts an entry that no endpoint can have written, and logs the first one of each endpoint that it names.
func (v *Voter) rejectOdd(e census.Entry, err error) {
	v.Meter.Count("shallotgap_heartbeats_total", "news", "odd")
	if v.oddEntries[e.Instance.ID] || len(v.oddEntries) >= maxOddLogged {
		return
	}
	v.oddEntries[e.Instance.ID] = true
	v.Log.WithField("step", "census").WithField("endpoint", e.Instance.ID).WithField("seq", e.Seq).WithField("born", e.Instance.Born).WithError(err).Warn("odd-entry")
}

// maxOddLogged bounds the log lines about entries that were rejected.
const maxOddLogged = 1000

var errCensusFull = errors.New("too many endpoints are known")

func (v *Voter) logEndpoint(e census.Entry, outcome string) {
	v.Log.WithField("step", "census").WithField("endpoint", e.Instance.ID).WithField("born", e.Instance.Born).WithField("seq", e.Seq).
		WithField("state", e.State).WithField("address", e.Address).WithField("service", e.Service).WithField("build", e.Build).WithField("outcome", outcome).Info("endpoint")
}

// queueChange queues a change of an endpoint, which all linked hosts receive with the next tick.
func (v *Voter) queueChange(e census.Entry) { v.changedEndpoints = append(v.changedEndpoints, e) }

// flushCensus sends the heartbeats since the last tick to the other hosts: all of them to control hosts, and to entry hosts
// only the changes that they need.
func (v *Voter) flushCensus() {
	list := append(v.changedEndpoints, v.fullHeartbeats...)
	if len(list) > 0 {
		v.mesh.SendAll(link.Message{Census: list}, func(h link.Hello) bool { return h.Control && h.ShortHeartbeats })
	}
	if len(v.shortHeartbeats) > 0 {
		v.mesh.SendAll(link.Message{ShortHeartbeats: v.shortHeartbeats}, func(h link.Hello) bool { return h.Control && h.ShortHeartbeats })
	}
	if len(v.alive) > 0 {
		v.mesh.SendAll(link.Message{Alive: v.alive}, func(h link.Hello) bool { return h.Control })
	}
	if list = v.expandShortHeartbeats(list); v.hasLegacyPeers && len(list) > 0 {
		v.mesh.SendAll(link.Message{Census: list}, func(h link.Hello) bool { return h.Control && !h.ShortHeartbeats })
	}
	if list := census.Followed(v.changedEndpoints, v.isPlain); len(list) > 0 {
		v.mesh.SendAll(link.Message{Census: list}, func(h link.Hello) bool { return !h.Control })
	}
	v.changedEndpoints, v.fullHeartbeats, v.shortHeartbeats, v.alive = nil, nil, nil, nil
}

// expandShortHeartbeats appends the full form of the short heartbeats to list, if a control host of an earlier version needs
// the full form.
func (v *Voter) expandShortHeartbeats(list []census.Entry) []census.Entry {
	if !v.hasLegacyPeers {
		return list
	}
	for _, b := range v.shortHeartbeats {
		if e, known := v.census.Get(b.Instance.ID); known && e.Instance == b.Instance {
			list = append(list, e)
		}
	}
	return list
}

// isPlain reports whether the layout has a service that runs no model.
func (v *Voter) isPlain(name ident.Service) bool {
	s, known := v.book.Layout.Service(name)
	return known && s.Engine == nil
}
