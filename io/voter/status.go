package voter

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"shallotgap/core/census"
	"shallotgap/core/ident"
	"shallotgap/core/layout"
	"shallotgap/io/clock"
	"shallotgap/io/link"
)

// statusEvery is how often a control host tells the others its state; changes are told at once.
const statusEvery = 400 * time.Millisecond

func (v *Voter) status() *link.Status {
	leader, term := v.node.Leader()
	s := &link.Status{Leader: leader, Term: term, Leads: v.lead != nil, Changes: v.book.Changes, Control: v.controlHosts(), EntryHosts: v.readyEntries(clock.Boot())}
	if v.book.Layout != nil {
		s.Layout = v.book.Layout.Version
	}
	return s
}

// controlHosts returns the members of the log and this host.
func (v *Voter) controlHosts() []ident.HostID {
	list := []ident.HostID{v.Self}
	members, _ := v.node.Members()
	for _, m := range members {
		if m.Host != v.Self {
			list = append(list, m.Host)
		}
	}
	return list
}

func (v *Voter) readyEntries(now ident.Time) int {
	n := 0
	for _, e := range v.entries {
		if e.said.Ready && now.Sub(e.at) < presenceLife {
			n++
		}
	}
	return n
}

func (v *Voter) sendStatus(now ident.Time) {
	v.statusAt = now.Add(statusEvery)
	v.mesh.SendAll(link.Message{Status: v.status()}, func(link.Hello) bool { return true })
}

// serveFetch sends an entry host the layout and the adapter versions that it lacks.
func (v *Voter) serveFetch(to ident.HostID, f link.Fetch) {
	if l := v.book.Layout; l != nil && l.Version > f.Layout {
		c := v.changeFrom(f.Layout)
		v.mesh.Send(to, link.Message{Change: &c})
	}
	if v.book.Changes > f.Changes {
		v.mesh.Send(to, link.Message{Newest: &link.Newest{Changes: v.book.Changes, List: v.book.List()}})
	}
}

// changeFrom returns the change from a version to the one in force: the whole of it unless the version is the one before.
func (v *Voter) changeFrom(from layout.Version) layout.Change {
	if v.latest.To == v.book.Layout.Version && v.latest.From == from {
		return v.latest
	}
	return layout.Diff(nil, v.book.Layout)
}

// Addresses returns where callers of a failure domain may connect: ready entry hosts, those of the domain first and
// alone when there are enough of them.
func (v *Voter) Addresses(ctx context.Context, domain ident.DomainID) ([]string, error) {
	var near, far []string
	err := v.view(ctx, func() {
		now := clock.Boot()
		for _, e := range v.entries {
			switch {
			case !e.said.Ready || now.Sub(e.at) > presenceLife:
			case e.hello.Domain == domain:
				near = append(near, e.said.Address)
			default:
				far = append(far, e.said.Address)
			}
		}
	})
	if err != nil {
		return nil, err
	}
	rand.Shuffle(len(far), func(i, j int) { far[i], far[j] = far[j], far[i] })
	list := near
	for len(list) < enoughNear && len(far) > 0 {
		list, far = append(list, far[0]), far[1:]
	}
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list[:min(len(list), maxAddresses)], nil
}

// Bounds of an answer to a caller that asks where to connect.
const (
	enoughNear   = 2  // so that a caller has another one when the first fails
	maxAddresses = 64 // callers use no more
)

// view runs f in the loop.
func (v *Voter) view(ctx context.Context, f func()) error {
	done := make(chan struct{})
	v.post(func() { f(); close(done) })
	select {
	case <-done:
		return nil
	case <-v.ended:
		return errEnded
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Announce takes a heartbeat of an endpoint. An error means that no leader may learn of it from this host, so that the
// endpoint should tell another one.
func (v *Voter) Announce(ctx context.Context, e census.Entry) error {
	return v.told(ctx, func() { v.observe([]census.Entry{e}, true) })
}

// told runs f in the loop and reports whether this host follows a leader that can be told of what f learned.
func (v *Voter) told(ctx context.Context, f func()) error {
	alone := false
	err := v.view(ctx, func() {
		f()
		alone = v.alone(clock.Boot())
	})
	if err == nil && alone {
		return errAlone
	}
	return err
}

// alone reports whether this host has known no leader for longer than elections take.
func (v *Voter) alone(now ident.Time) bool {
	return v.leaderless != 0 && now.Sub(v.leaderless) > aloneAfter
}

// aloneAfter is two of the longest election timeouts; more failed elections in a row are rare.
const aloneAfter = 4 * election

var errAlone = errors.New("this control host knows no leader")

// Leave takes the word of an endpoint that it is gone; errors are those of Announce.
func (v *Voter) Leave(ctx context.Context, i ident.Instance) error {
	return v.told(ctx, func() {
		if e, ok := v.census.Leave(i.ID, i.Born, clock.Boot()); ok {
			v.logEndpoint(e, "left")
			v.spread(e)
		}
	})
}

// observe takes news of endpoints; direct is true when they spoke to this host.
func (v *Voter) observe(list []census.Entry, direct bool) {
	now := clock.Boot()
	for _, e := range list {
		e.LastHeartbeat = now
		former, _ := v.census.Get(e.Instance.ID)
		news := v.census.Observe(e, now)
		if news == census.Unchanged && v.recalled(former) {
			news = census.Changed // nobody was told of it yet
		}
		switch news {
		case census.Stale:
			v.Meter.Count("shallotgap_heartbeats_total", "news", "stale")
			continue
		case census.UnknownService:
			v.Meter.Count("shallotgap_heartbeats_total", "news", "unnamed")
			v.logEndpoint(e, "unknown-service")
			continue
		}
		gone := v.census.Displaced()
		for _, e := range append(gone, e) {
			if v.lead != nil {
				v.lead.authority.Observe(e, now)
			}
		}
		if news == census.Changed {
			v.logEndpoint(e, "changed")
		}
		for _, e := range gone {
			v.logEndpoint(e, "address-taken")
			v.spread(e)
		}
		if !direct {
			continue
		}
		switch b, repeats := census.Shorten(former, e); {
		case news == census.Changed:
			v.spread(e)
		case repeats:
			v.beats = append(v.beats, b)
		default:
			v.whole = append(v.whole, e)
		}
	}
}

// repeat takes heartbeats that said nothing new to another control host.
func (v *Voter) repeat(list []census.ShortHeartbeat) {
	now := clock.Boot()
	for _, b := range list {
		e, same, ok := v.census.ObserveShort(b, now)
		switch {
		case !ok || v.lead == nil:
		case same:
			v.lead.authority.Observe(e, now)
		default:
			v.lead.authority.ObserveHeartbeat(e.Instance, now)
		}
	}
}

func (v *Voter) logEndpoint(e census.Entry, outcome string) {
	v.Log.WithField("step", "census").WithField("endpoint", e.Instance.ID).WithField("born", e.Instance.Born).WithField("seq", e.Seq).
		WithField("state", e.State).WithField("address", e.Address).WithField("service", e.Service).WithField("outcome", outcome).Info("endpoint")
}

// spread has all linked hosts told of a change with the next tick.
func (v *Voter) spread(e census.Entry) { v.changed = append(v.changed, e) }

// flushCensus tells the other hosts what endpoints said since the last tick: control hosts all of it, entry hosts the
// changes that matter to them.
func (v *Voter) flushCensus() {
	list := append(v.changed, v.whole...)
	if len(list) > 0 {
		v.mesh.SendAll(link.Message{Census: list}, func(h link.Hello) bool { return h.Control && h.ShortHeartbeats })
	}
	if len(v.beats) > 0 {
		v.mesh.SendAll(link.Message{ShortHeartbeats: v.beats}, func(h link.Hello) bool { return h.Control && h.ShortHeartbeats })
	}
	if list = v.wholeBeats(list); v.older && len(list) > 0 {
		v.mesh.SendAll(link.Message{Census: list}, func(h link.Hello) bool { return h.Control && !h.ShortHeartbeats })
	}
	if list := v.forEntries(v.changed); len(list) > 0 {
		v.mesh.SendAll(link.Message{Census: list}, func(h link.Hello) bool { return !h.Control })
	}
	v.changed, v.whole, v.beats = nil, nil, nil
}

// wholeBeats adds to a list what beats stand for.
func (v *Voter) wholeBeats(list []census.Entry) []census.Entry {
	if !v.older {
		return list
	}
	for _, b := range v.beats {
		if e, known := v.census.Get(b.Instance.ID); known && e.Instance == b.Instance {
			list = append(list, e)
		}
	}
	return list
}

// forEntries returns what entry hosts need: the endpoints of plain services, which they choose themselves, and the engines
// that leave. What engines hold and that they are ready is the authority's to know.
func (v *Voter) forEntries(list []census.Entry) []census.Entry {
	var out []census.Entry
	for _, e := range list {
		s, known := v.book.Layout.Service(e.Service)
		if (known && s.Engine == nil) || e.State != census.Ready {
			e.Held, e.Models = nil, nil
			out = append(out, e)
		}
	}
	return out
}
