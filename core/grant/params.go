package grant

import "time"

// Params are the parameters of the authority.
type Params struct {
	// HeartbeatTimeout is the time without a heartbeat after which an engine gets no new requests or orders.
	HeartbeatTimeout time.Duration
	// HeartbeatLag is the largest age of a heartbeat's list of adapters: heartbeat interval plus delay.
	HeartbeatLag time.Duration
	// AdapterLoadTime is the expected time of a load from the store; it is learned from rejections.
	AdapterLoadTime time.Duration
	// FastLoadShare is the share of AdapterLoadTime that a load takes on an engine that held the adapter recently.
	FastLoadShare float64
	// RememberedAdapters is the number of recently unloaded adapters that an engine loads faster than others.
	RememberedAdapters int
	// MaxEngineLoads limits the concurrent loads of one engine.
	MaxEngineLoads int
	// StoreLoadsPerEngine is the number of concurrent loads from the store, per engine, above which each load takes longer.
	StoreLoadsPerEngine float64
	// PrefillRate is the number of prompt tokens prefilled per millisecond.
	PrefillRate float64
	// PairTime is the additional prefill time for a million pairs of a token and an earlier one; it is learned.
	PairTime time.Duration
	// LoadCost is the waiting time that a load from the store must save to be worthwhile.
	LoadCost time.Duration
	// CopyCost is the additional cost of a second copy of an adapter when all adapter slots are in use.
	CopyCost time.Duration
	// CrossDomain is the cost of an engine in another failure domain.
	CrossDomain time.Duration
	// SettleTime is how long a new authority evicts nothing and withholds RetryExtra, as entry hosts still report running requests
	// and earlier retries.
	SettleTime time.Duration
	// MaxWaitShare is the share of the caller's event timeout that a request may spend waiting for a place.
	MaxWaitShare float64
	// RetryRatio, RetryExtra and RetryWindow limit the retries of a service; see Budget.
	RetryRatio  float64
	RetryExtra  int
	RetryWindow time.Duration
}

// Defaults returns the parameters for the two reference deployments, of 60 and 140 engines.
func Defaults() Params {
	return Params{
		HeartbeatTimeout:    4500 * time.Millisecond, // three heartbeat intervals of 1.2 s and a late heartbeat
		HeartbeatLag:        2 * time.Second,         // a heartbeat interval of 1.2 s and some hundred ms of delay
		AdapterLoadTime:     265 * time.Millisecond,  // 250 ms in the specifications of the deployments, plus the network delay
		FastLoadShare:       0.12,                    // a tenth in the specifications of the deployments, plus the network delay
		RememberedAdapters:  48,
		MaxEngineLoads:      4,   // limit of the engines
		StoreLoadsPerEngine: 0.5, // specified: 32 concurrent loads for 60 engines and 64 for 140 engines
		PrefillRate:         38,  // tokens per ms in the specifications of both deployments
		LoadCost:            300 * time.Millisecond,
		CopyCost:            900 * time.Millisecond, // most of a first-event target of 1 s
		CrossDomain:         4 * time.Millisecond,   // a network round trip between failure domains
		SettleTime:          250 * time.Millisecond, // entry hosts report within some round trips of a leader's first status message
		MaxWaitShare:        0.6,
		RetryRatio:          0.2,
		RetryExtra:          20,
		RetryWindow:         10 * time.Second,
	}
}
