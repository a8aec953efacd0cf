package front

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"shallotgap/core/ident"
	"shallotgap/core/limit"
	"shallotgap/io/clock"
	"shallotgap/io/link"
)

// hostLimits holds the limits of endpoints that an entry host has seen.
type hostLimits struct {
	// table is the replicated table, as a control host last sent it; rank and hosts came with it.
	table       *limit.Table
	rank, hosts int
	// seen holds what each endpoint last said to this host, if it named a limit.
	seen map[ident.Instance]seenLimit
	// shares pace this host's share of each limit while no leader is known.
	shares map[ident.Instance]*limit.Pacer
}

// seenLimit is what an endpoint last said to this host.
type seenLimit struct {
	signal  limit.Signal
	service ident.Service
	at      ident.Time
}

// Times of what a host has seen.
const (
	// seenBinds is how long a limit binds this host that the replicated table does not hold (yet): a second election may come between.
	seenBinds = 3 * time.Second
	// seenLife is how long a signal is remembered.
	seenLife = time.Minute
)

func newHostLimits() *hostLimits {
	return &hostLimits{table: limit.NewTable(), seen: map[ident.Instance]seenLimit{}, shares: map[ident.Instance]*limit.Pacer{}}
}

// forget drops old signals.
func (l *hostLimits) forget(now ident.Time) {
	for i, s := range l.seen {
		if now.Sub(s.at) > seenLife {
			delete(l.seen, i)
		}
	}
}

// of returns the limit of an endpoint: the one in the table, or the one that the endpoint named to this host since.
func (l *hostLimits) of(i ident.Instance, now ident.Time) (limit.Rate, bool) {
	r, limited := l.table.Get(i)
	if s, ok := l.seen[i]; ok && s.signal.Binds() && now.Sub(s.at) < seenBinds && (!limited || s.signal.Rate < r.Rate) {
		return s.signal.Rate, true
	}
	return r.Rate, limited
}

// known returns all limits that this host knows, for a new leader.
func (l *hostLimits) known(now ident.Time) []limit.Seen {
	var list []limit.Seen
	for _, r := range l.table.List() {
		list = append(list, limit.Seen{Instance: r.Instance, Service: r.Service, Rate: r.Rate})
	}
	for i, s := range l.seen {
		if s.signal.Binds() {
			list = append(list, limit.Seen{Instance: i, Service: s.service, Rate: s.signal.Rate, SentAgo: now.Sub(s.at)})
		}
	}
	return list
}

// takeShare counts a send without a leader against this host's share of an endpoint's limit. It returns the time until the next one
// is due, and 0 if this one may be sent.
func (l *hostLimits) takeShare(i ident.Instance, entryHosts int, now ident.Time) time.Duration {
	rate, limited := l.of(i, now)
	if !limited {
		return 0
	}
	p := l.shares[i]
	if p == nil {
		p = limit.NewShare(rate, l.rank, max(l.hosts, entryHosts), now)
		l.shares[i] = p
	}
	wait := p.Wait(now)
	if wait == 0 {
		p.Take(now)
	}
	return wait
}

// endShares forgets the shares once a leader is known.
func (l *hostLimits) endShares() { clear(l.shares) }

// note records a signal. It returns whether it differs from the last one, and whether the table disagrees with it.
func (l *hostLimits) note(i ident.Instance, service ident.Service, s limit.Signal, now ident.Time) (changed, disagrees bool) {
	last, known := l.seen[i]
	if s.Silent() {
		delete(l.seen, i)
	} else {
		l.seen[i] = seenLimit{signal: s, service: service, at: now}
	}
	r, listed := l.table.Get(i)
	switch {
	case s.Binds():
		disagrees = !listed || r.Rate != s.Rate
	case s.Silent() || s.Named:
		disagrees = listed || (known && last.signal.Binds())
	}
	return s != last.signal, disagrees
}

// handleLimits replaces the limits by a later table.
func (f *Front) handleLimits(from ident.HostID, m link.Limits) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.fetch.answered()
	f.limits.rank, f.limits.hosts = m.Rank, m.Hosts
	if m.Changes <= f.limits.table.Changes {
		return
	}
	f.limits.table = limit.Restore(m.Snapshot)
	f.Meter.Gauge("shallotgap_limits_in_force", int64(f.limits.table.Len()))
	f.Log.WithField("step", "limit").WithField("peer", from).WithField("changes", m.Changes).WithField("endpoints", len(m.Records)).Info("limits")
}

// Limits returns the limits of endpoints, as this host knows them.
func (f *Front) Limits(context.Context) ([]limit.Record, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.limits.table.List(), nil
}

// noteLimit records what an answer says about the limit of its endpoint, and tells the authority if that is news. Any answer of its
// own may name a limit, but only a complete success that names none ends one.
func (ex *exchange) noteLimit(i ident.Instance, v Verdict, status int, sentAt ident.Time) {
	if v.Mismatched || (v.Limit.Silent() && (!v.Authentic || status/100 != http.StatusOK/100)) {
		return
	}
	now := clock.Boot()
	ex.mu.Lock()
	changed, disagrees := ex.limits.note(i, ex.service.Name, v.Limit, now)
	leader := ex.leader
	ex.mu.Unlock()
	if v.Limit.Named {
		ex.Meter.Count("shallotgap_limited_answers_total", "service", string(ex.service.Name))
	}
	if changed {
		ex.logDecision("limit", i.ID, limitOutcome(v.Limit), fmt.Sprintf("rate=%g bad=%s status=%d not-run=%t", float64(v.Limit.Rate), v.Limit.Bad, status, v.NotRun))
	}
	if disagrees && leader != "" {
		seen := limit.Seen{Instance: i, Service: ex.service.Name, Rate: v.Limit.Rate, Ended: !v.Limit.Binds(), SentAgo: now.Sub(sentAt)}
		ex.mesh.Send(leader, link.Message{LimitSeen: &seen})
	}
}

// limitOutcome returns the outcome for the log of what an answer says about a limit.
func limitOutcome(s limit.Signal) string {
	switch {
	case s.Named:
		return "named"
	case s.Bad != "":
		return "not-understood"
	}
	return "ended"
}
