package world

import (
	"time"

	"shallotgap/core/lease"
	"shallotgap/core/place"
	"shallotgap/core/route"
)

// Params are the tunable parameters of a World.
type Params struct {
	Lease     lease.Terms
	Heartbeat time.Duration // interval of the leader's heartbeats to other voters
	Election  time.Duration // shortest election timeout
	// EndpointSilence is the time without a heartbeat after which an endpoint is removed.
	EndpointSilence time.Duration
	// LongestRequest is the longest time that a request may run at an endpoint.
	LongestRequest time.Duration
	StoreRate      float64 // adapter loads per second from the weight store, over all engines
	StoreInFlight  int     // concurrent adapter loads from the weight store, over all engines
	// Policy weighs load stalls against batch efficiency.
	Policy place.Policy
	// Routing controls which endpoint a request goes to.
	Routing      route.Policy
	KeyLife      time.Duration // how long the record of an idempotency key is kept
	CompactAfter int           // log entries after which a snapshot is taken
	// Voters is the number of voting hosts; further hosts with a data folder are standbys. 0 means the largest of 1, 3
	// and 5 that does not exceed the number of data folders.
	Voters int
	// RepairAfter is how long a voter may be unreachable before a standby replaces it.
	RepairAfter time.Duration
	// EntryLife is how long callers may cache the answer to GET /v1/entries.
	EntryLife time.Duration
}

// Defaults returns the default parameters.
func Defaults() Params {
	return Params{
		Lease: lease.Terms{
			Length: 2 * time.Second,
			Margin: 200 * time.Millisecond,
			Renew:  400 * time.Millisecond,
			Spread: 800 * time.Millisecond,
		},
		Heartbeat:       100 * time.Millisecond,
		Election:        400 * time.Millisecond,
		EndpointSilence: 4 * time.Second,
		LongestRequest:  10 * time.Minute,
		StoreRate:       2,
		StoreInFlight:   8,
		Policy:          place.DefaultPolicy(),
		Routing:         route.DefaultPolicy(),
		KeyLife:         24 * time.Hour,
		CompactAfter:    4096,
		RepairAfter:     30 * time.Second,
		EntryLife:       5 * time.Second,
	}
}
