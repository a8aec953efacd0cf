package place

import "time"

// Policy trades short load stalls against full batches: it sets how far urgent requests are protected from bulk requests, and
// which adapters are evicted.
type Policy struct {
	// UrgentSlots is the number of adapter slots of each engine that adapters with only bulk requests may not take.
	UrgentSlots int
	// UrgentPlaces is the number of places in each batch that bulk requests may not take.
	UrgentPlaces int
	// Turn is how long a bulk request waits before it may close the slot of another adapter that still has waiting requests.
	Turn time.Duration
	// HalfLife is the half-life of an adapter's expected use, which is a decayed count of its requests. The adapter with the lowest
	// expected use is evicted; with a HalfLife of 0, the least recently used one.
	HalfLife time.Duration
}

// DefaultPolicy returns the policy for deployments whose settings name none.
func DefaultPolicy() Policy {
	return Policy{UrgentSlots: 1, UrgentPlaces: 2, Turn: 2 * time.Minute, HalfLife: 20 * time.Second}
}
