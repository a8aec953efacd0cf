package vtime

import (
	"fmt"
	"time"

	"shallotgap/core/ident"
	"shallotgap/core/lease"
	"shallotgap/core/world"
)

// announceInterval is the time between two announcements of an endpoint.
const announceInterval = time.Second

// Announce starts the periodic announcements of the n-th plain endpoint. Each announcement is sent to the next host
// in turn.
func (f *Fleet) Announce(n int) {
	e := lease.Endpoint{ID: ident.EndpointID(fmt.Sprint("p", n)), Kind: lease.Plain, Service: "s", Domain: "a", MaxRunning: 1, Instance: 1}
	turn := n
	var announce func()
	announce = func() {
		turn++
		f.Handle(f.Hosts[turn%len(f.Hosts)], world.Event{Announced: &e})
		f.After(announceInterval, announce)
	}
	f.After(0, announce)
}
