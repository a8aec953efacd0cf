package front

import (
	"context"
	"fmt"
	"strconv"
	"sync/atomic"
	"time"

	"shallotgap/core/census"
	"shallotgap/core/grant"
	"shallotgap/core/ident"
	"shallotgap/io/clock"
	"shallotgap/io/link"
)

// Times of asking for places.
const (
	askAgain = 350 * time.Millisecond // an answer that takes longer is lost, or the request waits; asking twice is harmless
	// aloneAfter is how long no authority may answer before this host sends to where the adapter was served last:
	// the shortest election and a round trip.
	aloneAfter = 600 * time.Millisecond
	// aloneLife is how long it is remembered where an adapter was served; engines remember about as many loads.
	aloneLife = 30 * time.Second
	// authorityPart is the part of a request's time for which it waits while no authority answers.
	authorityPart = 3
	// authorityPause is the pause for callers that are turned away then: an election and a round of links.
	authorityPause = 800 * time.Millisecond
)

// ask is a request that waits for a place or has one.
type ask struct {
	ask   grant.Ask
	at    ident.Time
	place *grant.Place
	reply chan grant.Reply
	// read is true once an event came: its engine has read the prompt.
	read atomic.Bool
}

// served is where an adapter was served, and when.
type served struct {
	place grant.Place
	at    ident.Time
}

// forgetServed drops what is too old to be of use. The caller holds the lock.
func (f *Front) forgetServed(now ident.Time) {
	for ref, s := range f.lately {
		if now.Sub(s.at) > aloneLife {
			delete(f.lately, ref)
		}
	}
}

// acquire asks the authority for a place and waits for it.
func (f *Front) acquire(ctx context.Context, a grant.Ask) (*ask, grant.Reply) {
	q := f.open(a)
	timer := time.NewTimer(askAgain)
	defer timer.Stop()
	defer func() { f.Meter.ObserveDuration("shallotgap_place_wait_seconds", clock.Boot().Sub(q.at)) }()
	for {
		select {
		case r := <-q.reply:
			if r.Place == nil {
				f.close(q)
			}
			return q, r
		case <-ctx.Done():
			f.withdraw(q)
			return q, grant.Reply{ID: a.ID, Cause: grant.TooLate}
		case <-timer.C:
			timer.Reset(askAgain)
			if r, ok := f.alone(q); ok {
				return q, r
			}
			if f.abandoned(q) {
				f.withdraw(q)
				return q, grant.Reply{ID: a.ID, Cause: grant.NoAuthority, After: authorityPause}
			}
			f.sendAsk(q)
		}
	}
}

// abandoned reports whether no authority has answered for so much of a request's time that its caller is better told.
func (f *Front) abandoned(q *ask) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.leader == "" && q.place == nil && clock.Boot().Sub(q.at) > max(aloneAfter, q.ask.Left/authorityPart)
}

func (f *Front) open(a grant.Ask) *ask {
	f.mu.Lock()
	f.seq++
	a.ID = grant.ID(string(f.Self) + "/" + strconv.FormatInt(int64(f.born), 36) + "/" + strconv.FormatUint(f.seq, 36))
	q := &ask{ask: a, at: clock.Boot(), reply: make(chan grant.Reply, 1)}
	f.asks[a.ID] = q
	f.countSend(a)
	f.mu.Unlock()
	f.sendAsk(q)
	return q
}

// countSend counts a send for the next authority. The caller holds the lock.
func (f *Front) countSend(a grant.Ask) {
	b := f.sent[a.Service]
	if b == nil {
		b = grant.NewBudget(f.RetryRatio, f.RetryExtra, f.RetryWindow)
		f.sent[a.Service] = b
	}
	b.Count(a.Sends > 0, clock.Boot())
}

func (f *Front) sendAsk(q *ask) {
	f.mu.Lock()
	leader, a := f.leader, q.ask
	a.Left -= clock.Boot().Sub(q.at)
	f.mu.Unlock()
	if leader != "" {
		f.mesh.Send(leader, link.Message{Ask: &a})
	}
}

// takeReply hands the authority's answer to the request that waits for it; a place that nobody waits for is given back.
func (f *Front) takeReply(from ident.HostID, r grant.Reply) {
	f.mu.Lock()
	q := f.asks[r.ID]
	waits := q != nil && q.place == nil
	if waits && r.Place != nil {
		if e, known := f.census.Get(r.Place.Instance.ID); known && e.Instance == r.Place.Instance && e.State != census.Ready {
			// The endpoint left while the place was on its way, or the authority is cut off from where it said so.
			q.ask.Avoid = append(q.ask.Avoid, e.Instance.ID)
			f.mu.Unlock()
			f.mesh.Send(from, link.Message{Census: []census.Entry{e}})
			f.mesh.Send(from, link.Message{End: &grant.End{ID: r.ID, Outcome: grant.Cancelled}})
			f.reask(q)
			return
		}
		q.place = r.Place
		f.lately[q.ask.Ref] = served{place: *r.Place, at: clock.Boot()}
	}
	f.mu.Unlock()
	switch {
	case waits:
		q.reply <- r
	case q == nil && r.Place != nil:
		f.mesh.Send(from, link.Message{End: &grant.End{ID: r.ID, Outcome: grant.Cancelled}})
	}
}

// reask asks again after a place that could not be used.
func (f *Front) reask(q *ask) {
	f.mu.Lock()
	_, still := f.asks[q.ask.ID]
	f.mu.Unlock()
	if still {
		f.sendAsk(q)
	}
}

// greetAuthority tells a new authority which places are in use and what waits.
func (f *Front) greetAuthority(to ident.HostID, term ident.Term) {
	live := link.ActiveGrants{Term: term, SendCounts: map[ident.Service]grant.Sends{}}
	var open []*ask
	f.mu.Lock()
	for _, q := range f.asks {
		if q.place == nil {
			open = append(open, q)
			continue
		}
		a := q.ask
		a.Left -= clock.Boot().Sub(q.at)
		live.Places = append(live.Places, grant.RunningRequest{Ask: a, Instance: q.place.Instance, Prefilled: q.read.Load()})
	}
	for s, b := range f.sent {
		live.SendCounts[s] = b.Sends(clock.Boot())
	}
	for ref, s := range f.lately {
		live.LastServed = append(live.LastServed, grant.Residency{Ref: ref, Instance: s.place.Instance})
	}
	f.mu.Unlock()
	f.mesh.Send(to, link.Message{Live: &live})
	for _, q := range open {
		f.sendAsk(q)
	}
}

// alone chooses a place without the authority when none has answered for a while: the endpoint at which the adapter was
// served last.
func (f *Front) alone(q *ask) (grant.Reply, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.leader != "" || q.place != nil || q.ask.Sends > 0 || clock.Boot().Sub(q.at) < aloneAfter {
		return grant.Reply{}, false
	}
	s, known := f.lately[q.ask.Ref]
	p := s.place
	if !known {
		return grant.Reply{}, false
	}
	e, there := f.census.Get(p.Instance.ID)
	if there && (e.Instance != p.Instance || e.State != census.Ready) {
		return grant.Reply{}, false
	}
	p.Version = max(p.Version, f.newest[q.ask.Ref])
	q.place = &p
	return grant.Reply{ID: q.ask.ID, Place: &p}, true
}

func (f *Front) close(q *ask) {
	f.mu.Lock()
	delete(f.asks, q.ask.ID)
	f.mu.Unlock()
}

// withdraw ends an ask whose caller left or ran out of time.
func (f *Front) withdraw(q *ask) {
	f.mu.Lock()
	delete(f.asks, q.ask.ID)
	leader, placed := f.leader, q.place != nil
	f.mu.Unlock()
	if leader == "" {
		return
	}
	if placed {
		f.mesh.Send(leader, link.Message{End: &grant.End{ID: q.ask.ID, Outcome: grant.Cancelled}})
		return
	}
	f.mesh.Send(leader, link.Message{Withdraw: q.ask.ID})
}

// release gives a place back with how the request ended there.
func (f *Front) release(q *ask, o grant.Outcome, first, gap time.Duration) {
	f.mu.Lock()
	delete(f.asks, q.ask.ID)
	leader := f.leader
	f.mu.Unlock()
	if leader != "" {
		f.mesh.Send(leader, link.Message{End: &grant.End{ID: q.ask.ID, Outcome: o, First: first, Gap: gap}})
	}
	f.Meter.Count("shallotgap_places_total", "outcome", outcomeName(o))
}

func outcomeName(o grant.Outcome) string {
	names := map[grant.Outcome]string{grant.Served: "served", grant.Failed: "failed", grant.NotRun: "not-run", grant.Unreachable: "unreachable", grant.Cancelled: "cancelled"}
	if n, ok := names[o]; ok {
		return n
	}
	return fmt.Sprint(o)
}
