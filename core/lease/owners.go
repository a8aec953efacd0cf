// Package lease decides which entry host owns each endpoint, and for how long a host may serve.
//
// Ownership is replicated state with a fencing token. A host may act as an owner only while it holds a lease, which it
// renews with the leader; one lease covers all endpoints of a host.
package lease

import (
	"iter"
	"net/url"

	"shallotgap/core/ident"
	"shallotgap/core/limit"
	"shallotgap/core/table"
)

// Kind is the type of an endpoint.
type Kind string

// The kinds of endpoints.
const (
	Engine Kind = "engine" // a model engine with adapter slots
	Plain  Kind = "plain"  // a plain HTTP service
)

// Endpoint is the description that an endpoint announces of itself.
type Endpoint struct {
	ID     ident.EndpointID `json:"id"`
	Kind   Kind             `json:"kind"`
	URL    string           `json:"url"`
	Domain ident.DomainID   `json:"domain"`
	// Service names the plain service, or the base model of an engine.
	Service ident.Service `json:"service"`
	// Slots is the number of adapters that an engine can keep loaded at the same time.
	Slots int `json:"slots,omitempty"`
	// MaxRunning is the largest batch of an engine, or the number of concurrent requests of a plain service.
	MaxRunning int `json:"max-running"`
	// Instance identifies one start of the endpoint; it changes with every restart.
	Instance ident.Incarnation `json:"instance"`
	// ChecksFence is true when the endpoint refuses orders with an outdated fencing token.
	ChecksFence bool `json:"checks-fence,omitempty"`
	// EchoesID is true when an engine appends a request's X-Request-Id to the id of its answer.
	EchoesID bool `json:"echoes-id,omitempty"`
	// Leaving is true once the endpoint has started a graceful shutdown; it accepts no new requests.
	Leaving bool `json:"leaving,omitempty"`
	// Limit is the number of requests a second that the endpoint takes from all hosts together; 0 for no limit.
	Limit limit.Rate `json:"limit,omitempty"`
}

// Address returns the IP address or host name in the endpoint's URL; "" when there is none.
func (e Endpoint) Address() string {
	u, err := url.Parse(e.URL)
	if err != nil {
		return ""
	}
	return u.Hostname()
}

// Leaves reports whether e is instance i of the endpoint and has started a graceful shutdown, which cannot be undone.
func (e Endpoint) Leaves(i ident.Incarnation) bool { return e.Leaving && e.Instance == i }

// Owned is an endpoint with its owner.
type Owned struct {
	Endpoint
	Owner ident.HostID `json:"owner,omitempty"`
	Fence ident.Fence  `json:"fence,omitempty"`
	// ReleasedBy is the owner that released the endpoint at Fence; set only while there is no owner.
	ReleasedBy ident.HostID `json:"last,omitempty"`
	// PreviousInstance is the instance before the current one; its delayed announcements are ignored.
	PreviousInstance ident.Incarnation `json:"former,omitempty"`
	// RestartedAt is the wall-clock second (Unix) at which the current instance followed another one; 0 if none is known. Hosts of earlier
	// versions ignore it.
	RestartedAt int64 `json:"restarted,omitempty"`
	// DepartedAt is the wall-clock second (Unix) at which the endpoint departed; 0 while it is present.
	DepartedAt int64 `json:"gone,omitempty"`
	// Previous is the owner before the current one; "" for none.
	Previous ident.HostID `json:"previous,omitempty"`
}

// DepartedRetentionSeconds is how long the owner of a departed endpoint is kept. It is longer than any lease: an endpoint
// that returns must not get a second owner while the first owner may not have learned of the departure.
const DepartedRetentionSeconds = 600

// Assign makes Owner the owner of an endpoint, or releases the endpoint when Owner is "". The new fencing token is the
// log index of the command.
type Assign struct {
	Endpoint ident.EndpointID `json:"endpoint"`
	Owner    ident.HostID     `json:"owner"`
	// From is the fencing token that the assignment replaces; if the endpoint has another token, the command has no effect.
	From ident.Fence `json:"from"`
}

// Owners is the replicated state machine of endpoint ownership.
type Owners struct {
	endpoints *table.Table[ident.EndpointID, Owned]
	departed  *table.Table[ident.EndpointID, Owned]
	revision  uint64
}

// NewOwners returns a state without endpoints.
func NewOwners() *Owners {
	return &Owners{endpoints: table.New[ident.EndpointID, Owned](), departed: table.New[ident.EndpointID, Owned]()}
}

// Get returns the present endpoint with the given id, and whether there is one.
func (o *Owners) Get(id ident.EndpointID) (Owned, bool) { return o.endpoints.Get(id) }

// Revision is incremented with each change of the state, so that work done for the current revision need not be repeated.
func (o *Owners) Revision() uint64 { return o.revision }

// All iterates over the endpoints in id order, without a copy. The state must not change during the iteration.
func (o *Owners) All() iter.Seq2[ident.EndpointID, Owned] { return o.endpoints.All() }

// List returns a copy of all present endpoints in id order.
func (o *Owners) List() []Owned { return listOf(o.endpoints) }

// ListDeparted returns a copy of the departed endpoints that are still kept, in id order.
func (o *Owners) ListDeparted() []Owned { return listOf(o.departed) }

func listOf(t *table.Table[ident.EndpointID, Owned]) []Owned {
	list := make([]Owned, 0, t.Len())
	for _, e := range t.All() {
		list = append(list, e)
	}
	return list
}

// Announce stores the description that an endpoint announces and keeps its owner, also that of a departed endpoint.
func (o *Owners) Announce(e Endpoint, now int64) {
	old, known := o.endpoints.Get(e.ID)
	if !known {
		old, known = o.departed.Get(e.ID)
	}
	if known && e.Instance != old.Instance {
		if e.Instance == old.PreviousInstance {
			return
		}
		old.PreviousInstance, old.RestartedAt = old.Instance, now
	}
	e.Leaving = e.Leaving || old.Endpoint.Leaves(e.Instance)
	o.departed.Delete(e.ID)
	old.Endpoint = e
	old.DepartedAt = 0
	o.put(old)
}

// Departure removes an endpoint instance that has sent no heartbeat for too long or has shut down. Fence is the fencing token
// of the owner that proposed it; if the endpoint has another token, the command has no effect. 0 matches any token.
type Departure struct {
	Endpoint ident.EndpointID  `json:"endpoint"`
	Instance ident.Incarnation `json:"instance"`
	Fence    ident.Fence       `json:"fence,omitempty"`
}

// Depart moves an endpoint to the departed endpoints at the wall-clock second now (Unix), unless its instance or owner has
// changed since the command was proposed. It also deletes departed endpoints whose retention time is over.
func (o *Owners) Depart(d Departure, now int64) {
	e, ok := o.endpoints.Get(d.Endpoint)
	if !ok || e.Instance != d.Instance || (d.Fence != 0 && d.Fence != e.Fence) {
		return
	}
	for _, id := range o.departed.Keys() {
		if old, _ := o.departed.Get(id); old.DepartedAt+DepartedRetentionSeconds < now {
			o.departed.Delete(id)
		}
	}
	o.endpoints.Delete(d.Endpoint)
	e.DepartedAt = now
	o.departed.Put(d.Endpoint, e)
	o.revision++
}

// Assign applies an assignment at log index i.
func (o *Owners) Assign(i ident.Index, a Assign) {
	e, ok := o.endpoints.Get(a.Endpoint)
	if !ok || e.Fence != a.From {
		return
	}
	e.ReleasedBy = ""
	if a.Owner == "" {
		e.ReleasedBy = e.Owner
	}
	if e.Owner != "" {
		e.Previous = e.Owner
	}
	e.Owner = a.Owner
	e.Fence = ident.Fence(i)
	o.put(e)
}

func (o *Owners) put(e Owned) {
	o.endpoints.Put(e.ID, e)
	o.revision++
}

// RestoreOwners returns the state with the endpoints that were returned by List and ListDeparted.
func RestoreOwners(list, departed []Owned) *Owners {
	o := NewOwners()
	for _, e := range departed {
		o.departed.Put(e.ID, e)
	}
	for _, e := range list {
		o.put(e)
	}
	return o
}
