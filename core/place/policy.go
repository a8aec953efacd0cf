package place

import "time"

// Policy weighs load stalls against batch efficiency.
type Policy struct {
	// UrgentSlots of each engine are kept free of adapters that only bulk requests use.
	UrgentSlots int
	// UrgentPlaces of each batch are kept free of bulk requests.
	UrgentPlaces int
	// Turn is how long a bulk request waits before it may take the slot of another adapter with waiting requests.
	Turn time.Duration
	// HalfLife is the time in which the expected use of an adapter that nobody asks for halves; the adapter with the
	// lowest expected use is evicted. 0 evicts the least recently used one.
	HalfLife time.Duration
}

// DefaultPolicy returns the policy that holds where the settings name none.
func DefaultPolicy() Policy {
	return Policy{UrgentSlots: 1, UrgentPlaces: 2, Turn: 2 * time.Minute, HalfLife: 20 * time.Second}
}
