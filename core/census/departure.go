package census

import (
	"slices"

	"shallotgap/core/ident"
)

// Departure records that an endpoint has reported that it drains or has left. It outlives the hosts that heard of it: control hosts
// replicate it before they acknowledge it.
type Departure struct {
	Instance ident.Instance `json:"instance"`
	State    State          `json:"state"`
}

// maxDepartures bounds the departures that are kept: those of several replacements of all endpoints of the largest deployment that is
// planned for, which lie much further apart than an endpoint serves on after it has left.
const maxDepartures = 1 << 12

// Departures are the latest departures, oldest first.
type Departures struct {
	states map[ident.Instance]State
	order  []ident.Instance
}

// NewDepartures returns the departures of a list, whose oldest one is first.
func NewDepartures(list []Departure) *Departures {
	d := &Departures{states: map[ident.Instance]State{}}
	for _, x := range list {
		d.Apply(x)
	}
	return d
}

// Apply records a departure and reports whether it is new: an endpoint drains before it leaves, and never the other way round.
func (d *Departures) Apply(x Departure) bool {
	if x.State <= d.states[x.Instance] || x.State > Gone {
		return false
	}
	if _, known := d.states[x.Instance]; !known {
		d.order = append(d.order, x.Instance)
	}
	d.states[x.Instance] = x.State
	if len(d.order) > maxDepartures {
		delete(d.states, d.order[0])
		d.order = slices.Delete(d.order, 0, 1)
	}
	return true
}

// State returns the state that an endpoint has departed into, or 0.
func (d *Departures) State(i ident.Instance) State { return d.states[i] }

// List returns the departures, oldest first.
func (d *Departures) List() []Departure {
	list := make([]Departure, 0, len(d.order))
	for _, i := range d.order {
		list = append(list, Departure{Instance: i, State: d.states[i]})
	}
	return list
}

// departedState returns the state that an endpoint has departed into, or 0. An endpoint that names no incarnation may start again under its
// id, so that its departure counts no longer than a host remembers endpoints.
func (c *Census) departedState(i ident.Instance) State {
	if c.Departed == nil || (i.Born == 0 && c.heardFor > c.Retention) {
		return 0
	}
	return c.Departed(i)
}

// ApplyDepartures moves the known endpoints to the states that they have departed into, and returns those that changed, in order of their
// ids.
func (c *Census) ApplyDepartures(now ident.Time) []Entry {
	var changed []Entry
	for _, e := range c.List() {
		if e, ok := c.Depart(e.Instance, now); ok {
			changed = append(changed, e)
		}
	}
	return changed
}

// Depart moves an endpoint to the state that it has departed into. It returns the entry, and false if nothing changed.
func (c *Census) Depart(i ident.Instance, now ident.Time) (Entry, bool) {
	e, known := c.entries[i.ID]
	s := c.departedState(i)
	if !known || e.Instance != i || s <= e.State {
		return e, false
	}
	e.State, e.LastHeartbeat = s, now
	c.entries[i.ID] = e
	return e, true
}
