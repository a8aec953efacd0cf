package world

import (
	"time"

	"shallotgap/core/lease"
	"shallotgap/core/place"
	"shallotgap/core/route"
)

// Params are the settings of the decisions.
type Params struct {
	Lease     lease.Terms
	Heartbeat time.Duration // between a leader's messages to voters
	Election  time.Duration // shortest election timeout
	// EndpointSilence is how long an endpoint may be silent before it counts as gone.
	EndpointSilence time.Duration
	// LongestRequest bounds how long a request runs at an endpoint.
	LongestRequest time.Duration
	StoreRate      float64 // loads a second
	StoreInFlight  int     // loads at once
	// Policy weighs load stalls against batch efficiency.
	Policy place.Policy
	// Routing is the setting of the choice of endpoints.
	Routing      route.Policy
	KeyLife      time.Duration
	CompactAfter int // log entries between snapshots
	// Voters is the number of hosts that vote; further ones with a data folder stand by. 0 means the largest of 1, 3
	// and 5 that the disks allow.
	Voters int
	// RepairAfter is how long a voter may be silent before a host that stands by takes its seat.
	RepairAfter time.Duration
	// EntryLife is how long callers may keep an answer to GET /v1/entries.
	EntryLife time.Duration
}

// Defaults returns the parameters that hold where the settings name none.
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
