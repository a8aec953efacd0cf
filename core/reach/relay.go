package reach

import (
	"slices"
	"time"

	"shallotgap/core/ident"
)

// Relay is a host that can send to endpoints for another one.
type Relay struct {
	Host    ident.HostID   `json:"host"` // the address at which it accepts links
	Domain  ident.DomainID `json:"domain,omitempty"`
	Without Faults         `json:"without,omitzero"` // the paths that it lacks itself
}

// MaxRelays is the number of relays that a host is given: enough to spread its sends and to outlive some of them.
const MaxRelays = 8

// ChooseRelays returns relays for a host that has lost paths: those that lack the fewest of them, near ones first, and among equal ones by
// an order of the host's own, so that hosts spread over them.
func ChooseRelays(list []Relay, lost Faults, domain ident.DomainID, order func(Relay) uint64) []Relay {
	type ranked struct {
		Relay
		missing int
		near    bool
		order   uint64
	}
	var options []ranked
	for _, r := range list {
		missing := 0
		for _, s := range lost.Services {
			if slices.Contains(r.Without.Services, s) {
				missing++
			}
		}
		for _, i := range lost.Endpoints {
			if slices.Contains(r.Without.Endpoints, i) {
				missing++
			}
		}
		if missing > 0 && missing == len(lost.Services)+len(lost.Endpoints) {
			continue
		}
		options = append(options, ranked{Relay: r, missing: missing, near: r.Domain == domain, order: order(r)})
	}
	slices.SortFunc(options, func(a, b ranked) int {
		switch {
		case a.missing != b.missing:
			return a.missing - b.missing
		case a.near != b.near && a.near:
			return -1
		case a.near != b.near:
			return 1
		case a.order < b.order:
			return -1
		}
		return 1
	})
	var chosen []Relay
	for _, o := range options[:min(len(options), MaxRelays)] {
		chosen = append(chosen, o.Relay)
	}
	return chosen
}

// relayBackoff is how long a relay that could not be used is left out: the time in which the control hosts notice that it is gone.
const relayBackoff = time.Second

// relayTTL is how long a relay stays in use while lists lack it: longer than two intervals of presence, after which a control host that has started
// knows all entry hosts.
const relayTTL = time.Second

// relayUse is how a host uses a relay.
type relayUse struct {
	running   int // sends under way
	failedAt  ident.Time
	hasFailed bool
	usedAt    uint64 // count of sends at its latest use
	// answeredAt is when it answered last, slowAt when a connection to it was given up last although it answered; 0 for never.
	answeredAt, slowAt ident.Time
	// missingSince is when the first list came that lacks the relay, if the latest one lacks it.
	missingSince ident.Time
	isMissing    bool
}

// Relays are the relays of a host.
type Relays struct {
	list  []Relay
	uses  map[ident.HostID]*relayUse
	count uint64
}

// NewRelays returns an empty list.
func NewRelays() *Relays { return &Relays{uses: map[ident.HostID]*relayUse{}} }

// Set takes in a list of a control host. Relays that it lacks stay in use for relayTTL, after those that it has: a control host that has just
// started does not know all of them.
func (r *Relays) Set(list []Relay, now ident.Time) {
	has := func(h ident.HostID) bool {
		return slices.ContainsFunc(list, func(x Relay) bool { return x.Host == h })
	}
	for _, x := range list {
		r.useOf(x.Host).isMissing = false
	}
	list = slices.Clone(list)
	for _, x := range r.list {
		u := r.useOf(x.Host)
		if has(x.Host) {
			continue
		}
		if !u.isMissing {
			u.isMissing, u.missingSince = true, now
		}
		if now.Sub(u.missingSince) < relayTTL {
			list = append(list, x)
		}
	}
	r.list = list
	for h, u := range r.uses {
		if u.running == 0 && !has(h) {
			delete(r.uses, h)
		}
	}
}

// Len returns the number of relays.
func (r *Relays) Len() int { return len(r.list) }

func (r *Relays) useOf(h ident.HostID) *relayUse {
	u := r.uses[h]
	if u == nil {
		u = &relayUse{}
		r.uses[h] = u
	}
	return u
}

// Take chooses a relay for a send to an endpoint, not one of those tried before, and counts the send until End is called.
func (r *Relays) Take(t Target, tried []ident.HostID, now ident.Time) (Relay, bool) {
	best, found := Relay{}, false
	var use *relayUse
	for _, x := range r.list {
		u := r.useOf(x.Host)
		if slices.Contains(tried, x.Host) || x.Without.Lacks(t.Instance, t.Service) || (u.hasFailed && now.Sub(u.failedAt) < relayBackoff) {
			continue
		}
		if !found || u.running < use.running || (u.running == use.running && u.usedAt < use.usedAt) {
			best, use, found = x, u, true
		}
	}
	if found {
		r.count++
		use.running++
		use.usedAt = r.count
	}
	return best, found
}

// End ends a send through a relay; failed is true if the relay could not be used.
func (r *Relays) End(h ident.HostID, failed bool, now ident.Time) {
	u := r.useOf(h)
	u.running = max(0, u.running-1)
	if failed {
		r.Avoid(h, now)
	}
}

// Avoid leaves a relay out for a while.
func (r *Relays) Avoid(h ident.HostID, now ident.Time) {
	u := r.useOf(h)
	u.hasFailed, u.failedAt = true, now
}

// Answered records that a relay answered a send.
func (r *Relays) Answered(h ident.HostID, now ident.Time) { r.useOf(h).answeredAt = now }

// EndTimedOut ends a send, begun at a time, for which no connection to the relay opened in time. It reports whether the relay stays in use, since it
// answered another send meanwhile: then it is this host or the relay that is slow, not the path. That holds once in relayBackoff, as a path may
// take no new connection while old ones work; sends that had begun by then count with it.
func (r *Relays) EndTimedOut(h ident.HostID, began, now ident.Time) bool {
	u := r.useOf(h)
	isSame := began <= u.slowAt
	stays := u.answeredAt >= began && (u.slowAt == 0 || isSame || now.Sub(u.slowAt) >= relayBackoff)
	if stays && !isSame {
		u.slowAt = now
	}
	r.End(h, !stays, now)
	return stays
}
