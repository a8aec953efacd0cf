package limit

import (
	"maps"
	"slices"
	"time"

	"shallotgap/core/ident"
)

// Seen is what a host learned from an answer of an endpoint.
type Seen struct {
	Instance ident.Instance `json:"instance"`
	Service  ident.Service  `json:"service"`
	Rate     Rate           `json:"rate"`
	// Ended is true when a complete answer names no limit, although there was one.
	Ended bool `json:"ended,omitempty"`
	// SentAgo is how long ago the answered request was sent.
	SentAgo time.Duration `json:"sent-ago,omitempty"`
}

// Times of a Pool.
const (
	// PermitLife is how long after its decision a permitted send may still leave its host: some network round trips.
	PermitLife = 150 * time.Millisecond
	// proposeInterval is the time between two changes of one record in the replicated table. An endpoint may name another limit with
	// each answer.
	proposeInterval = 500 * time.Millisecond
	// forgetAfter is the time without a send after which a limit is dropped: its end is not reported. Endpoints that are in use
	// are sent requests much more often.
	forgetAfter = 10 * time.Minute
)

// Pool paces the sends of all hosts to endpoints with limits. It is used where all sends to them are decided: by the leader, or by the
// owner of the endpoints.
type Pool struct {
	endpoints map[ident.Instance]*endpoint
	// owns reports whether this host decides on the sends to an endpoint; nil for all.
	owns    func(ident.Instance) bool
	changes []Change
	// syncedAt is when the pool was last compared with the replicated table, droppedAt when records were last removed from it.
	syncedAt, droppedAt ident.Time
}

// endpoint is the state of an endpoint with a limit.
type endpoint struct {
	record Record
	pacer  *Pacer
	// namedAt is when the limit in force was last reported, sentAt when something was last sent.
	namedAt, sentAt ident.Time
	proposedAt      ident.Time
}

// Change is a limit that began, changed or ended, for the log.
type Change struct {
	Record
	From  Rate // 0 if the limit began
	Ended bool
	Cause string
}

// NewPool returns the pool of a new leader. What the earlier leader permitted may still be under way, so nothing is due at first.
func NewPool(table *Table, now ident.Time) *Pool {
	p := &Pool{endpoints: map[ident.Instance]*endpoint{}}
	for _, r := range table.List() {
		p.add(r, now)
	}
	return p
}

// NewOwnedPool returns the pool of a host that decides on the sends to some endpoints.
func NewOwnedPool(owns func(ident.Instance) bool) *Pool {
	return &Pool{endpoints: map[ident.Instance]*endpoint{}, owns: owns}
}

// Adopt adds the endpoints that this host owns now, with their limits from the replicated table, and removes those that it owns no
// more.
func (p *Pool) Adopt(table *Table, now ident.Time) {
	for i := range p.endpoints {
		if !p.owns(i) {
			delete(p.endpoints, i)
		}
	}
	for _, r := range table.List() {
		if p.endpoints[r.Instance] == nil && p.owns(r.Instance) {
			p.add(r, now)
		}
	}
}

// add adds an endpoint whose first send is due once all earlier ones have left their hosts.
func (p *Pool) add(r Record, now ident.Time) *endpoint {
	e := &endpoint{record: r, pacer: NewPacer(r.Rate, now.Add(PermitLife)), namedAt: now, sentAt: now}
	p.endpoints[r.Instance] = e
	return e
}

// Observe applies what a host learned from an answer. A lower limit counts at once. A higher one, or the end of a limit, counts only
// if the request was sent after the limit in force was named, as answers overtake each other.
func (p *Pool) Observe(s Seen, now ident.Time) {
	e := p.endpoints[s.Instance]
	if s.Rate >= MaxRate {
		s.Ended = true
	}
	switch {
	case e == nil && s.Ended:
	case e == nil:
		r := Record{Instance: s.Instance, Service: s.Service, Rate: s.Rate}
		p.add(r, now)
		p.changes = append(p.changes, Change{Record: r, Cause: "named"})
	case !s.Ended && s.Rate == e.record.Rate:
		e.namedAt = now
	case (s.Ended || s.Rate > e.record.Rate) && now.Add(-s.SentAgo) < e.namedAt:
	case s.Ended:
		p.drop(e, "not named any more")
	default:
		p.changes = append(p.changes, Change{Record: Record{Instance: s.Instance, Service: e.record.Service, Rate: s.Rate}, From: e.record.Rate, Cause: "named"})
		e.record.Rate, e.namedAt = s.Rate, now
		e.pacer.SetRate(s.Rate, now)
	}
}

func (p *Pool) drop(e *endpoint, cause string) {
	delete(p.endpoints, e.record.Instance)
	p.changes = append(p.changes, Change{Record: e.record, Ended: true, Cause: cause})
}

// Replaced drops the limits of endpoints that have left, and of earlier instances of an endpoint.
func (p *Pool) Replaced(i ident.Instance, gone bool) {
	for _, e := range p.endpoints {
		if old := e.record.Instance; old.ID == i.ID && (gone || old.Born < i.Born) {
			p.drop(e, "another instance, or gone")
		}
	}
}

// Rate returns the limit of an endpoint.
func (p *Pool) Rate(i ident.Instance) (Rate, bool) {
	if e := p.endpoints[i]; e != nil {
		return e.record.Rate, true
	}
	return 0, false
}

// Limited reports whether an endpoint has a limit.
func (p *Pool) Limited(i ident.Instance) bool { return p.endpoints[i] != nil }

// Wait returns the time until the next send to an endpoint is due; 0 for one without a limit.
func (p *Pool) Wait(i ident.Instance, now ident.Time) time.Duration { return p.WaitFor(i, 1, now) }

// WaitFor returns the time until the last of several sends in a row is due.
func (p *Pool) WaitFor(i ident.Instance, sends int, now ident.Time) time.Duration {
	if e := p.endpoints[i]; e != nil {
		return e.pacer.WaitFor(sends, now)
	}
	return 0
}

// Interval returns the time between two sends to an endpoint; 0 for one without a limit.
func (p *Pool) Interval(i ident.Instance) time.Duration {
	if e := p.endpoints[i]; e != nil {
		return e.pacer.interval
	}
	return 0
}

// Take counts a send to an endpoint, and reports whether the endpoint has a limit.
func (p *Pool) Take(i ident.Instance, now ident.Time) bool {
	e := p.endpoints[i]
	if e == nil {
		return false
	}
	e.pacer.Take(now)
	e.sentAt = now
	return true
}

// Return takes back a send that did not take place.
func (p *Pool) Return(i ident.Instance) {
	if e := p.endpoints[i]; e != nil {
		e.pacer.Return()
	}
}

// IdleFor returns how long an endpoint with a limit was sent nothing although something was due.
func (p *Pool) IdleFor(i ident.Instance, now ident.Time) time.Duration {
	if e := p.endpoints[i]; e != nil {
		return max(0, now.Sub(e.sentAt)-e.pacer.interval)
	}
	return 0
}

// Changes returns the changes since the last call.
func (p *Pool) Changes() []Change {
	c := p.changes
	p.changes = nil
	return c
}

// Sync returns the commands that bring the replicated table in line with the pool. Commands that are lost are returned again later.
func (p *Pool) Sync(table *Table, now ident.Time) []Command {
	if (len(p.endpoints) == 0 && table.Len() == 0) || now.Sub(p.syncedAt) < syncInterval {
		return nil
	}
	p.syncedAt = now
	var c Command
	for _, i := range slices.SortedFunc(maps.Keys(p.endpoints), ident.Instance.Compare) {
		e := p.endpoints[i]
		if now.Sub(e.sentAt) > forgetAfter {
			p.drop(e, "nothing was sent for long")
			continue
		}
		if r, ok := table.Get(i); (!ok || r != e.record) && now.Sub(e.proposedAt) >= proposeInterval {
			e.proposedAt = now
			c.Set = append(c.Set, e.record)
		}
	}
	if now.Sub(p.droppedAt) >= proposeInterval {
		for _, r := range table.List() {
			if p.endpoints[r.Instance] == nil && (p.owns == nil || p.owns(r.Instance)) {
				c.Drop = append(c.Drop, r.Instance)
				p.droppedAt = now
			}
		}
	}
	if len(c.Set) == 0 && len(c.Drop) == 0 {
		return nil
	}
	return []Command{c}
}

// syncInterval is the time between two comparisons with the replicated table.
const syncInterval = 20 * time.Millisecond
