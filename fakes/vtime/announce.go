package vtime

import (
	"fmt"
	"time"

	"shallotgap/core/ident"
	"shallotgap/core/lease"
	"shallotgap/core/world"
)

// announceEvery is the interval at which an endpoint announces itself.
const announceEvery = time.Second

// Announce lets the n-th plain endpoint announce itself again and again, to one host after the other.
func (f *Fleet) Announce(n int) {
	e := lease.Endpoint{ID: ident.EndpointID(fmt.Sprint("p", n)), Kind: lease.Plain, Service: "s", Domain: "a", MaxRunning: 1, Instance: 1}
	turn := n
	var again func()
	again = func() {
		turn++
		f.Handle(f.Hosts[turn%len(f.Hosts)], world.Event{Announced: &e})
		f.After(announceEvery, again)
	}
	f.After(0, again)
}
