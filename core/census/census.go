// Package census keeps the endpoints that are known from heartbeats. Heartbeats may arrive late, twice, or from an earlier
// incarnation of an endpoint.
package census

import (
	"maps"
	"slices"
	"time"

	"shallotgap/core/ident"
)

// State tells whether an endpoint may be sent requests.
type State uint8

// The states of an endpoint.
const (
	Ready    State = iota + 1
	Draining       // finishes running requests and accepts no new ones
	Gone           // has left; kept for a while so that a late heartbeat does not make it ready again
)

// Entry is the content of an endpoint's latest heartbeat.
type Entry struct {
	Instance ident.Instance `json:"instance"`
	// Seq is the number of the heartbeat; it rises within an incarnation.
	Seq     uint64         `json:"seq"`
	Service ident.Service  `json:"service"`
	Address string         `json:"address"`
	Domain  ident.DomainID `json:"domain,omitempty"`
	Slots   int            `json:"slots,omitempty"` // number of requests that the endpoint runs at once
	State   State          `json:"state"`
	// Build belongs to the instance: a restart may change it. It is empty for an endpoint that names none.
	Build ident.Build `json:"build,omitempty"`
	// Held lists the adapters on an engine at the time of the heartbeat.
	Held []HeldAdapter `json:"held,omitempty"`
	// Models are the base models on an engine.
	Models []string `json:"models,omitempty"`

	// Prevails is set by a host at which the heartbeats of the endpoint went on while nothing more came of an entry that looked
	// later. Hosts of earlier versions ignore it.
	Prevails bool `json:"prevails,omitempty"`

	// Restarted is set by a host that heard an earlier incarnation of the endpoint, for as long as calls of that one may still arrive. Hosts of
	// earlier versions ignore it.
	Restarted bool `json:"restarted,omitempty"`

	// LastHeartbeat is the local time at which this host received the latest heartbeat, KnownSince that of the first one of the incarnation.
	LastHeartbeat ident.Time `json:"-"`
	KnownSince    ident.Time `json:"-"`
}

// HeldAdapter is a version of an adapter on an engine.
type HeldAdapter struct {
	Model   string        `json:"model"`
	Adapter ident.Adapter `json:"adapter"`
	Version uint64        `json:"version"`
}

// Census is the table of known endpoints.
type Census struct {
	entries map[ident.EndpointID]Entry
	// byAddress holds the endpoints whose latest heartbeat named an address, so that a heartbeat is processed without a search
	// through all endpoints.
	byAddress map[string][]ident.EndpointID
	// configured reports whether a service is configured; it is nil until SetServices is called.
	configured func(ident.Service) bool
	// Departed returns the state that an endpoint has departed into as all control hosts know, or 0; it is nil where nothing is replicated.
	// Without it, a late heartbeat or a list kept on disk would make an endpoint ready again after a restart.
	Departed func(ident.Instance) State
	// AwaitServices delays address takeovers until SetServices is called. It is set where anyone may announce endpoints.
	AwaitServices bool
	// Retention is how long an endpoint is kept after its latest heartbeat, while other heartbeats arrive, or after it has left.
	Retention time.Duration
	// LeaveSilence is the longest time between two heartbeats of an endpoint that stays, with their delays.
	LeaveSilence time.Duration
	// follows is true for a census without heartbeats of its own, in which silence proves nothing.
	follows bool
	// heardFor is the time for which heartbeats have arrived. It excludes pauses in which no endpoint sent any, because this host or
	// its links were suspended. heardAt is the time of the latest heartbeat, and lastHeard the value of heardFor at the
	// latest heartbeat of each endpoint.
	heardFor  time.Duration
	heardAt   ident.Time
	lastHeard map[ident.EndpointID]time.Duration
	expiredAt ident.Time // when Expire last checked all endpoints
	displaced []Entry    // endpoints that lost their address since the last call of Displaced
	// lostAddress holds the endpoints that are gone only because another one has their address.
	lostAddress map[ident.EndpointID]bool
	doubts      map[ident.EndpointID]doubt
	doubtAt     map[string]ident.EndpointID // the endpoint in doubts, by address
	roomMadeAt  ident.Time                  // when hasRoom last looked for silent endpoints
	leaves      map[ident.EndpointID]pendingLeave
	formers     map[ident.EndpointID]former
}

// New returns an empty census.
func New(retention time.Duration) *Census {
	return &Census{entries: map[ident.EndpointID]Entry{}, byAddress: map[string][]ident.EndpointID{}, lastHeard: map[ident.EndpointID]time.Duration{}, Retention: retention, lostAddress: map[ident.EndpointID]bool{}, doubts: map[ident.EndpointID]doubt{}, doubtAt: map[string]ident.EndpointID{}, leaves: map[ident.EndpointID]pendingLeave{}, formers: map[ident.EndpointID]former{}, LeaveSilence: DefaultLeaveSilence}
}

// DefaultLeaveSilence is the LeaveSilence for heartbeats about each second.
const DefaultLeaveSilence = 2 * time.Second

// DefaultRetention is longer than any delay of a heartbeat.
const DefaultRetention = time.Minute

// longestPause is the longest time without any heartbeat that counts as silence of the endpoints: some heartbeat intervals.
const longestPause = 5 * time.Second

// maxEntries bounds the endpoints that a host stores and sends to others: several times those of the largest deployment that is planned
// for. Entries of another writer may have any number of ids.
const maxEntries = 1 << 14

// hasRoom reports whether another endpoint can be stored. If there are too many, it drops those that were silent for longer than
// longestPause, and looks for them once in that time.
func (c *Census) hasRoom(now ident.Time) bool {
	if len(c.entries) < maxEntries || now.Sub(c.roomMadeAt) < longestPause {
		return len(c.entries) < maxEntries
	}
	c.roomMadeAt = now
	for id, e := range c.entries {
		if c.heardFor-c.lastHeard[id] > longestPause {
			c.drop(e)
		}
	}
	return len(c.entries) < maxEntries
}

// hear records that a heartbeat has arrived.
func (c *Census) hear(now ident.Time) {
	c.heardFor += max(0, min(now.Sub(c.heardAt), longestPause))
	c.heardAt = max(c.heardAt, now)
}

// HeardFor returns the time for which heartbeats have arrived since the start.
func (c *Census) HeardFor() time.Duration { return c.heardFor }

// Effect is what an observation changed.
type Effect uint8

// The effects of an observation.
const (
	Stale          Effect = iota // the heartbeat is outdated or a duplicate; nothing changed
	Unchanged                    // a later heartbeat with the same content
	Changed                      // the endpoint is new, or its state, address, service, slots, build or incarnation differ
	UnknownService               // the service is not configured; nothing changed
	Prevailed                    // as Changed, over an entry that looked later
	Full                         // there is no room for another endpoint; nothing changed
)

// SetServices sets the configured services and drops the known endpoints of other services. It also carries out the address
// takeovers that AwaitServices has delayed.
func (c *Census) SetServices(configured func(ident.Service) bool) {
	c.configured = configured
	for _, e := range c.entries {
		if !configured(e.Service) {
			c.drop(e)
		}
	}
	for _, e := range c.List() {
		if e.State != Gone && !c.isDisplaced(e) {
			c.displace(e)
		}
	}
}

// Observe records a heartbeat of an endpoint. The entry that Get returns then may differ from the heartbeat: an endpoint that has departed stays
// so, and its build stays the one that it named first.
func (c *Census) Observe(e Entry, now ident.Time) Effect {
	e.LastHeartbeat = now
	c.hear(now)
	reported := e.State
	e.State = max(e.State, c.departedState(e.Instance))
	old, known := c.entries[e.Instance.ID]
	if c.isForeign(e) {
		return UnknownService
	}
	if !known && !c.hasRoom(now) {
		return Full
	}
	if c.looksOlder(e) {
		if !c.mayPrevail(e) || (!e.Prevails && !c.doubted(e, now)) {
			return Stale
		}
		e.Prevails = false
		c.prevail(e)
		return Prevailed
	}
	e.Prevails = false
	if known && old.Instance == e.Instance && old.State > reported {
		// An endpoint that drains or has left does not become ready again in the same incarnation.
		return Stale
	}
	if known && old.Instance == e.Instance && old.Build != "" {
		e.Build = old.Build // a heartbeat of another writer may name none, or another one
	}
	c.put(e)
	c.confirm(e)
	if e.State != Gone && (c.configured != nil || !c.AwaitServices) {
		c.displace(e)
	}
	if known && sameContent(old, e) {
		return Unchanged
	}
	return Changed
}

// isForeign reports whether a heartbeat names a service that is not configured, and so may come from a foreign sender that uses
// the id or address of an endpoint. A known endpoint whose service was removed from the configuration is not foreign.
func (c *Census) isForeign(e Entry) bool {
	if c.configured == nil || c.configured(e.Service) {
		return false
	}
	old, known := c.entries[e.Instance.ID]
	return !known || old.Instance != e.Instance || old.Service != e.Service
}

// looksOlder reports whether e is older than what is known of the endpoint, or of another one at its address.
func (c *Census) looksOlder(e Entry) bool {
	old, known := c.entries[e.Instance.ID]
	return (known && isStale(e, old)) || c.isDisplaced(e)
}

// isStale reports whether e is not newer than old.
func isStale(e, old Entry) bool {
	if e.Instance.Born != old.Instance.Born {
		return e.Instance.Born < old.Instance.Born
	}
	return e.Seq <= old.Seq && e.State <= old.State
}

// isDisplaced reports whether a later incarnation of another endpoint has the address of e.
func (c *Census) isDisplaced(e Entry) bool {
	for _, id := range c.byAddress[e.Address] {
		if other := c.entries[id]; id != e.Instance.ID && other.State != Gone && other.Instance.Born > e.Instance.Born {
			return true
		}
	}
	return false
}

// put stores an entry and indexes it by its address.
func (c *Census) put(e Entry) {
	old, known := c.entries[e.Instance.ID]
	if known && old.Address != e.Address {
		c.removeFromAddress(old)
	}
	if !known || old.Address != e.Address {
		c.byAddress[e.Address] = append(c.byAddress[e.Address], e.Instance.ID)
	}
	c.entries[e.Instance.ID] = c.inherit(e, old, known)
	c.lastHeard[e.Instance.ID] = c.heardFor
	delete(c.lostAddress, e.Instance.ID)
	c.staysOn(e)
}

// removeFromAddress removes an entry from the index by address.
func (c *Census) removeFromAddress(e Entry) {
	remaining := slices.DeleteFunc(c.byAddress[e.Address], func(id ident.EndpointID) bool { return id == e.Instance.ID })
	if len(remaining) == 0 {
		delete(c.byAddress, e.Address)
		return
	}
	c.byAddress[e.Address] = remaining
}

// Displaced returns the endpoints that lost their address to another endpoint since the last call.
func (c *Census) Displaced() []Entry {
	list := c.displaced
	c.displaced = nil
	return list
}

// displace marks the other endpoints at the address of e as gone.
func (c *Census) displace(e Entry) {
	for _, id := range c.byAddress[e.Address] {
		if other := c.entries[id]; id != e.Instance.ID && other.State != Gone {
			other.State = Gone
			c.entries[id] = other
			c.lostAddress[id] = true
			c.displaced = append(c.displaced, other)
		}
	}
}

// sameContent reports whether two heartbeats agree in instance, state, address, service, slots and build. Models and adapters change
// often and are compared by checksum.
func sameContent(a, b Entry) bool {
	return a.Instance == b.Instance && a.State == b.State && a.Address == b.Address && a.Service == b.Service && a.Slots == b.Slots && a.Build == b.Build
}

// Get returns the entry of an endpoint, if it is known.
func (c *Census) Get(id ident.EndpointID) (Entry, bool) {
	e, ok := c.entries[id]
	return e, ok
}

// Ready returns the ready endpoints without their lists of adapters. Control hosts store them to find the endpoints again after a
// restart.
func (c *Census) Ready() []Entry {
	list := slices.DeleteFunc(c.List(), func(e Entry) bool { return e.State != Ready })
	for i := range list {
		list[i].Held = nil
	}
	return list
}

// List returns all entries in order of their ids.
func (c *Census) List() []Entry {
	list := make([]Entry, 0, len(c.entries))
	for _, id := range slices.Sorted(maps.Keys(c.entries)) {
		list = append(list, c.entries[id])
	}
	return list
}

// ByService returns the entries of a service that are not gone, in order of their ids.
func (c *Census) ByService(s ident.Service) []Entry {
	list := c.List()
	return slices.DeleteFunc(list, func(e Entry) bool { return e.Service != s || e.State == Gone })
}

// expiryChecks is the number of times within Retention that Expire checks all endpoints.
const expiryChecks = 60

// Expire drops the endpoints that left, or were silent, for longer than Retention, and returns them in order of their ids. It
// returns at once if the last check was less than Retention/expiryChecks ago.
func (c *Census) Expire(now ident.Time) []Entry {
	if now.Sub(c.expiredAt) < c.Retention/expiryChecks {
		return nil
	}
	c.expiredAt = now
	c.forgetFormers(now)
	var dropped []Entry
	for _, e := range c.List() {
		if c.isExpired(e, now) {
			c.drop(e)
			dropped = append(dropped, e)
		}
	}
	return dropped
}

func (c *Census) isExpired(e Entry, now ident.Time) bool {
	if e.State == Gone {
		return now.Sub(e.LastHeartbeat) > c.Retention
	}
	return !c.follows && c.heardFor-c.lastHeard[e.Instance.ID] > c.Retention
}

// drop removes an endpoint from the table.
func (c *Census) drop(e Entry) {
	c.noteFormer(e)
	c.removeFromAddress(e)
	delete(c.entries, e.Instance.ID)
	delete(c.lastHeard, e.Instance.ID)
	delete(c.lostAddress, e.Instance.ID)
	delete(c.leaves, e.Instance.ID)
	c.endDoubt(e.Instance.ID)
}
