// Package lease decides which entry host owns each endpoint, and for how long a host may serve.
//
// Ownership is replicated state with a fencing number; permission to act on it is a lease that each host
// renews with the leader. One lease covers all endpoints of a host.
package lease

import (
	"iter"
	"net/url"

	"shallotgap/core/ident"
	"shallotgap/core/table"
)

// Kind tells what an endpoint runs.
type Kind string

// The kinds of endpoints.
const (
	Engine Kind = "engine" // a model engine with adapter slots
	Plain  Kind = "plain"  // a plain HTTP service
)

// Endpoint is what an endpoint announces of itself.
type Endpoint struct {
	ID     ident.EndpointID `json:"id"`
	Kind   Kind             `json:"kind"`
	URL    string           `json:"url"`
	Domain ident.DomainID   `json:"domain"`
	// Service names the plain service, or the base model of an engine.
	Service ident.Service `json:"service"`
	// Slots is the number of adapters that an engine holds at once.
	Slots int `json:"slots,omitempty"`
	// MaxRunning is the largest batch, or the number of calls that a plain service takes at once.
	MaxRunning int `json:"max-running"`
	// Instance is the start identity; it changes with every restart of the endpoint.
	Instance ident.Incarnation `json:"instance"`
	// ChecksFence is true when the endpoint refuses orders with an old fencing number.
	ChecksFence bool `json:"checks-fence,omitempty"`
	// EchoesID is true when an engine puts the X-Request-Id of a request at the end of its answer's id.
	EchoesID bool `json:"echoes-id,omitempty"`
	// Leaving is true once the endpoint shuts down gracefully; it takes no new work.
	Leaving bool `json:"leaving,omitempty"`
}

// Address returns the IP number, or the name, of the machine that the endpoint runs on; "" when its URL has none.
func (e Endpoint) Address() string {
	u, err := url.Parse(e.URL)
	if err != nil {
		return ""
	}
	return u.Hostname()
}

// Leaves reports whether this instance of the endpoint shuts down gracefully; it cannot take that back.
func (e Endpoint) Leaves(i ident.Incarnation) bool { return e.Leaving && e.Instance == i }

// Owned is an endpoint with its owner.
type Owned struct {
	Endpoint
	Owner ident.HostID `json:"owner,omitempty"`
	Fence ident.Fence  `json:"fence,omitempty"`
	// ReleasedBy is the owner that gave the endpoint back at Fence; set while there is no owner.
	ReleasedBy ident.HostID `json:"last,omitempty"`
	// PreviousInstance is the instance before the present one; a late announcement of it changes nothing.
	PreviousInstance ident.Incarnation `json:"former,omitempty"`
	// DepartedAt is the wall-clock second (Unix) at which the endpoint was forgotten; 0 for a present one.
	DepartedAt int64 `json:"gone,omitempty"`
	// Previous is the owner before the present one, "" for none.
	Previous ident.HostID `json:"previous,omitempty"`
}

// DepartedRetentionSeconds is the time in seconds for which the owner of an endpoint that has left is remembered. It is longer than
// any lease, so that an endpoint that returns gets no second owner beside one that has not heard of the leaving.
const DepartedRetentionSeconds = 600

// Assign gives an endpoint to a host; the fencing number is the log index of the command.
type Assign struct {
	Endpoint ident.EndpointID `json:"endpoint"`
	Owner    ident.HostID     `json:"owner"`
	// From is the fencing number that the assignment replaces; another one voids it.
	From ident.Fence `json:"from"`
}

// Owners is the deterministic state machine of endpoint ownership.
type Owners struct {
	endpoints *table.Table[ident.EndpointID, Owned]
	gone      *table.Table[ident.EndpointID, Owned]
	revision  uint64
}

// NewOwners returns an empty state.
func NewOwners() *Owners {
	return &Owners{endpoints: table.New[ident.EndpointID, Owned](), gone: table.New[ident.EndpointID, Owned]()}
}

// Get returns an endpoint and whether it is known.
func (o *Owners) Get(id ident.EndpointID) (Owned, bool) { return o.endpoints.Get(id) }

// Revision changes with every change of the state; a system that saw the current one has nothing to do.
func (o *Owners) Revision() uint64 { return o.revision }

// All iterates over the endpoints in order, without a copy. The state must not change meanwhile.
func (o *Owners) All() iter.Seq2[ident.EndpointID, Owned] { return o.endpoints.All() }

// List returns a copy of all endpoints in order.
func (o *Owners) List() []Owned { return listOf(o.endpoints) }

// ListDeparted returns a copy of the endpoints that have left and are remembered, in order.
func (o *Owners) ListDeparted() []Owned { return listOf(o.gone) }

func listOf(t *table.Table[ident.EndpointID, Owned]) []Owned {
	list := make([]Owned, 0, t.Len())
	for _, e := range t.All() {
		list = append(list, e)
	}
	return list
}

// Announce stores what an endpoint says of itself, keeping its owner.
func (o *Owners) Announce(e Endpoint) {
	old, known := o.endpoints.Get(e.ID)
	if !known {
		old, known = o.gone.Get(e.ID)
	}
	if known && e.Instance != old.Instance {
		if e.Instance == old.PreviousInstance {
			return
		}
		old.PreviousInstance = old.Instance
	}
	e.Leaving = e.Leaving || old.Endpoint.Leaves(e.Instance)
	o.gone.Delete(e.ID)
	old.Endpoint = e
	old.DepartedAt = 0
	o.put(old)
}

// Departure tells that the owner with the fencing number has not heard an endpoint instance for too long. Fence 0
// stands for any owner.
type Departure struct {
	Endpoint ident.EndpointID  `json:"endpoint"`
	Instance ident.Incarnation `json:"instance"`
	Fence    ident.Fence       `json:"fence,omitempty"`
}

// Depart forgets an endpoint at the wall-clock second now, unless a newer instance was announced or it has another
// owner by now.
func (o *Owners) Depart(d Departure, now int64) {
	e, ok := o.endpoints.Get(d.Endpoint)
	if !ok || e.Instance != d.Instance || (d.Fence != 0 && d.Fence != e.Fence) {
		return
	}
	for _, id := range o.gone.Keys() {
		if old, _ := o.gone.Get(id); old.DepartedAt+DepartedRetentionSeconds < now {
			o.gone.Delete(id)
		}
	}
	o.endpoints.Delete(d.Endpoint)
	e.DepartedAt = now
	o.gone.Put(d.Endpoint, e)
	o.revision++
}

// Assign puts an assignment in force at log position i.
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

// RestoreOwners returns the state that List and ListGone were taken from.
func RestoreOwners(list, gone []Owned) *Owners {
	o := NewOwners()
	for _, e := range gone {
		o.gone.Put(e.ID, e)
	}
	for _, e := range list {
		o.put(e)
	}
	return o
}
