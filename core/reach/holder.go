package reach

import (
	"maps"
	"slices"
	"time"

	"shallotgap/core/ident"
)

// Holder is the machine that sends orders to an engine, with its fencing token.
type Holder struct {
	Fence ident.Fence
	// Deputy is the relay that sends for the leader; empty for the leader itself.
	Deputy ident.HostID
}

// deputyBits is the number of low bits of a fencing token that count the holders of an engine within a term.
const deputyBits = 8

// holding is who sends the orders to an engine.
type holding struct {
	deputy ident.HostID
	since  ident.Time // when the holder took over
	number ident.Fence
	// lastBy holds the latest order of each machine that has sent some; the leader's name is empty.
	lastBy map[ident.HostID]ident.Time
}

// Holders decides which machine sends the orders to each engine within a term of the leader. An engine knows a holder by the machine, so a
// deputy has a fencing token of its own, and a machine does not take over again within Pause of its latest order.
type Holders struct {
	Term ident.Term
	// Pause is the time within which orders of two machines to one engine must not alternate.
	Pause    time.Duration
	holdings map[ident.Instance]*holding
}

// NewHolders returns holders for a term in which no order was sent.
func NewHolders(term ident.Term, pause time.Duration) *Holders {
	return &Holders{Term: term, Pause: pause, holdings: map[ident.Instance]*holding{}}
}

// Choose returns the holder for an order to an engine, and false if none may send one now. direct tells whether the leader has a path, relays
// are the hosts that have one.
func (h *Holders) Choose(i ident.Instance, direct bool, relays []Relay, now ident.Time) (Holder, bool) {
	g := h.holdings[i]
	if g == nil {
		g = &holding{lastBy: map[ident.HostID]ident.Time{}}
		h.holdings[i] = g
	}
	if !g.usable(direct, relays, h.Pause, now) && !h.replace(g, direct, relays, now) {
		return Holder{}, false
	}
	g.lastBy[g.deputy] = now
	return Holder{Fence: ident.Fence(h.Term)<<deputyBits + g.number, Deputy: g.deputy}, true
}

// usable reports whether the present holder has a path and is to go on. A deputy goes on for a while after the leader's path is back, as
// holders must not alternate.
func (g *holding) usable(direct bool, relays []Relay, pause time.Duration, now ident.Time) bool {
	switch {
	case g.deputy == "":
		return direct
	case direct && now.Sub(g.since) >= pause && now.Sub(g.lastBy[""]) >= pause:
		return false
	}
	return slices.ContainsFunc(relays, func(r Relay) bool { return r.Host == g.deputy })
}

// HasDeputy reports whether a relay sends the orders to an engine.
func (h *Holders) HasDeputy(i ident.Instance) bool {
	g := h.holdings[i]
	return g != nil && g.deputy != ""
}

// replace chooses another holder: the leader if it has a path, else a relay.
func (h *Holders) replace(g *holding, direct bool, relays []Relay, now ident.Time) bool {
	if g.number+1 >= 1<<deputyBits {
		return false
	}
	var options []ident.HostID
	if direct && g.deputy != "" {
		options = append(options, "")
	}
	for _, r := range relays {
		options = append(options, r.Host)
	}
	for _, o := range options {
		if last, sent := g.lastBy[o]; o == g.deputy || (sent && now.Sub(last) < h.Pause) {
			continue
		}
		g.deputy, g.since = o, now
		g.number++
		return true
	}
	return false
}

// Raise gives the next order to an engine a higher fencing token, as the engine refused the latest one. It returns false if there is none.
func (h *Holders) Raise(i ident.Instance) bool {
	g := h.holdings[i]
	if g == nil || h.Spent(i) {
		return false
	}
	g.number++
	return true
}

// Spent reports whether an engine has had the last fencing token of the term.
func (h *Holders) Spent(i ident.Instance) bool {
	g := h.holdings[i]
	return g != nil && g.number+1 >= 1<<deputyBits
}

// Keep drops the engines for which known reports false.
func (h *Holders) Keep(known func(ident.Instance) bool) {
	maps.DeleteFunc(h.holdings, func(i ident.Instance, _ *holding) bool { return !known(i) })
}
