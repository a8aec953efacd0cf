package grant

import "time"

// Params are the settings of the authority.
type Params struct {
	// HeartbeatTimeout is how long an engine may send no heartbeat before nothing new goes to it.
	HeartbeatTimeout time.Duration
	// HeartbeatLag is how old a heartbeat's list of adapters may be: interval and delay.
	HeartbeatLag time.Duration
	// AdapterLoadTime is the expected time of a load from the store; it is learned from refusals.
	AdapterLoadTime time.Duration
	// FastLoadShare is the part of AdapterLoad that an engine needs which held the adapter lately.
	FastLoadShare float64
	// RememberedAdapters is the number of dropped adapters that an engine loads faster.
	RememberedAdapters int
	// MaxEngineLoads bounds the loads under way to one engine.
	MaxEngineLoads int
	// StoreLoadsPerEngine is the number of loads from the store at once per engine above which each takes longer.
	StoreLoadsPerEngine float64
	// PrefillRate is the number of prompt tokens read in a millisecond.
	PrefillRate float64
	// PairTime is what reading takes besides for a million pairs of a token and an earlier one; it is learned.
	PairTime time.Duration
	// LoadCost is the waiting time that a load from the store may save to be worth its price.
	LoadCost time.Duration
	// CopyCost is what a second copy of an adapter costs besides when all places are in use.
	CopyCost time.Duration
	// CrossDomain is the cost of an engine in another failure domain.
	CrossDomain time.Duration
	// SettleTime is how long a new authority drops no adapters, while hosts tell it what runs.
	SettleTime time.Duration
	// MaxWaitShare is the part of the time that a caller waits for an event for which its request may wait for a place.
	MaxWaitShare float64
	// RetryRatio, RetryExtra and RetryWindow bound the sends after the first one of each request.
	RetryRatio  float64
	RetryExtra  int
	RetryWindow time.Duration
}

// Defaults returns the parameters for the deployments that the project was measured on.
func Defaults() Params {
	return Params{
		HeartbeatTimeout:    4500 * time.Millisecond, // three heartbeats of 1.2 s and a late one
		HeartbeatLag:        2 * time.Second,         // an interval of 1.2 s and some hundred ms of lag
		AdapterLoadTime:     265 * time.Millisecond,  // 250 ms on the deployments' sheets, and the way there
		FastLoadShare:       0.12,                    // a tenth on the sheets, and the way there
		RememberedAdapters:  48,
		MaxEngineLoads:      4,   // bound of the engines
		StoreLoadsPerEngine: 0.5, // 32 of 60 and 64 of 140 engines on the sheets
		PrefillRate:         38,  // sheets of both deployments
		LoadCost:            300 * time.Millisecond,
		CopyCost:            900 * time.Millisecond, // most of a target of 1 s
		CrossDomain:         4 * time.Millisecond,   // a round trip
		SettleTime:          250 * time.Millisecond, // entry hosts tell within some round trips of a status
		MaxWaitShare:        0.6,
		RetryRatio:          0.2,
		RetryExtra:          20,
		RetryWindow:         10 * time.Second,
	}
}
