// Package census keeps what endpoints say of themselves in heartbeats, which may come late, twice or from an earlier start.
package census

import (
	"maps"
	"slices"
	"time"

	"shallotgap/core/ident"
)

// State is what an endpoint may be used for.
type State uint8

// The states of an endpoint.
const (
	Ready    State = iota + 1
	Draining       // ends what runs and takes nothing new
	Gone           // has left; kept for a while so that late news does not bring it back
)

// Entry is what an endpoint last said.
type Entry struct {
	Instance ident.Instance `json:"instance"`
	// Seq rises with each heartbeat of one instance.
	Seq     uint64         `json:"seq"`
	Service ident.Service  `json:"service"`
	Address string         `json:"address"`
	Domain  ident.DomainID `json:"domain,omitempty"`
	Slots   int            `json:"slots,omitempty"`
	State   State          `json:"state"`
	// Held are the adapters on an engine, with their versions, when the heartbeat was made.
	Held []HeldAdapter `json:"held,omitempty"`
	// Models are the base models on an engine.
	Models []string `json:"models,omitempty"`

	// LastHeartbeat is when this host learned of the entry, by its own clock.
	LastHeartbeat ident.Time `json:"-"`
}

// HeldAdapter is an adapter at one version on an engine.
type HeldAdapter struct {
	Model   string        `json:"model"`
	Adapter ident.Adapter `json:"adapter"`
	Version uint64        `json:"version"`
}

// Census is the table of endpoints.
type Census struct {
	entries map[ident.EndpointID]Entry
	// at are the endpoints that were last heard of at each address; a heartbeat must not cost a look at all endpoints.
	at map[string][]ident.EndpointID
	// named reports whether a service is one of the deployment's; nil while that is not known.
	named func(ident.Service) bool
	// AwaitServices is true where anyone may announce endpoints: none loses its address before the services are known.
	AwaitServices bool
	// Retention is how long an endpoint is remembered after its last news.
	Retention time.Duration
	expiredAt ident.Time
	evicted   []Entry
}

// New returns an empty table.
func New(forget time.Duration) *Census {
	return &Census{entries: map[ident.EndpointID]Entry{}, at: map[string][]ident.EndpointID{}, Retention: forget}
}

// Effect tells what an observation changed.
type Effect uint8

// The kinds of news.
const (
	Stale          Effect = iota // older than what is known; nothing changed
	Unchanged                    // a later heartbeat that says the same
	Changed                      // state, address or start differ
	UnknownService               // its service is none of the deployment's; nothing changed
)

// SetServices tells which services the deployment has, once that is known. What came before of other services is forgotten.
func (c *Census) SetServices(named func(ident.Service) bool) {
	c.named = named
	for id, e := range c.entries {
		if !named(e.Service) {
			c.moved(e)
			delete(c.entries, id)
		}
	}
	for _, e := range c.List() {
		if e.State != Gone && !c.outlived(e) {
			c.evict(e)
		}
	}
}

// Observe takes what an endpoint said.
func (c *Census) Observe(e Entry, now ident.Time) Effect {
	e.LastHeartbeat = now
	old, known := c.entries[e.Instance.ID]
	if c.foreign(e) {
		return UnknownService
	}
	if known && stale(e, old) {
		return Stale
	}
	if c.outlived(e) {
		return Stale
	}
	if known && old.Instance == e.Instance && old.State > e.State {
		// An endpoint that drains or left does not come back under the same start.
		return Stale
	}
	c.put(e)
	if e.State != Gone && (c.named != nil || !c.AwaitServices) {
		c.evict(e)
	}
	if known && same(old, e) {
		return Unchanged
	}
	return Changed
}

// foreign reports whether another writer announces something under the name of an endpoint or at its address. An endpoint
// whose service the operators drop goes on to tell how it is.
func (c *Census) foreign(e Entry) bool {
	if c.named == nil || c.named(e.Service) {
		return false
	}
	old, known := c.entries[e.Instance.ID]
	return !known || old.Instance != e.Instance || old.Service != e.Service
}

// stale reports whether e is not news after old.
func stale(e, old Entry) bool {
	if e.Instance.Born != old.Instance.Born {
		return e.Instance.Born < old.Instance.Born
	}
	return e.Seq <= old.Seq && e.State <= old.State
}

// outlived reports whether a later start of another endpoint has the address of e.
func (c *Census) outlived(e Entry) bool {
	for _, id := range c.at[e.Address] {
		if other := c.entries[id]; id != e.Instance.ID && other.State != Gone && other.Instance.Born > e.Instance.Born {
			return true
		}
	}
	return false
}

// put stores an entry and where it is.
func (c *Census) put(e Entry) {
	old, known := c.entries[e.Instance.ID]
	if known && old.Address != e.Address {
		c.moved(old)
	}
	if !known || old.Address != e.Address {
		c.at[e.Address] = append(c.at[e.Address], e.Instance.ID)
	}
	c.entries[e.Instance.ID] = e
}

// moved takes an entry off its address.
func (c *Census) moved(e Entry) {
	left := slices.DeleteFunc(c.at[e.Address], func(id ident.EndpointID) bool { return id == e.Instance.ID })
	if len(left) == 0 {
		delete(c.at, e.Address)
		return
	}
	c.at[e.Address] = left
}

// Displaced returns the endpoints that others took the addresses of since the last call.
func (c *Census) Displaced() []Entry {
	list := c.evicted
	c.evicted = nil
	return list
}

// evict marks earlier endpoints at the address of e as gone.
func (c *Census) evict(e Entry) {
	for _, id := range c.at[e.Address] {
		if other := c.entries[id]; id != e.Instance.ID && other.State != Gone {
			other.State = Gone
			c.entries[id] = other
			c.evicted = append(c.evicted, other)
		}
	}
}

func same(a, b Entry) bool {
	return a.Instance == b.Instance && a.State == b.State && a.Address == b.Address && a.Service == b.Service && a.Slots == b.Slots
}

// Leave marks an endpoint as gone and returns its entry; false when it was not known or had left.
func (c *Census) Leave(id ident.EndpointID, born ident.Incarnation, now ident.Time) (Entry, bool) {
	e, known := c.entries[id]
	if !known || (born != 0 && born != e.Instance.Born) || e.State == Gone {
		return e, false
	}
	e.State, e.LastHeartbeat = Gone, now
	c.entries[id] = e
	return e, true
}

// Get returns an entry.
func (c *Census) Get(id ident.EndpointID) (Entry, bool) {
	e, ok := c.entries[id]
	return e, ok
}

// Ready returns what a host that lost its memory needs to find the endpoints again: those that are ready, without what
// changes all the time.
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

// expireParts is the number of looks at all endpoints in the time after which one is forgotten.
const expireParts = 60

// Expire forgets the endpoints without news. It looks at them a few times within the time that they are remembered.
func (c *Census) Expire(now ident.Time) {
	if now.Sub(c.expiredAt) < c.Retention/expireParts {
		return
	}
	c.expiredAt = now
	for id, e := range c.entries {
		if now.Sub(e.LastHeartbeat) > c.Retention {
			c.moved(e)
			delete(c.entries, id)
		}
	}
}
