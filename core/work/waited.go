package work

import "time"

// StallCause names what a load stall was spent on.
type StallCause string

// The causes of a load stall.
const (
	WaitedForGrant StallCause = "load-grant"   // the store's rate or a free adapter slot
	WaitedForLoad  StallCause = "adapter-load" // the load itself
)

// Waited tells how long a request waited at the owner of its endpoint, and for what.
type Waited struct {
	// Queue is the time from the arrival at the owner to the dispatch or refusal; it includes Stall.
	Queue time.Duration `json:"queue"`
	// Stall is the time in which the request's adapter was not resident.
	Stall time.Duration `json:"stall"`
	// Cause is what most of the stall was spent on; empty without a stall.
	Cause StallCause `json:"cause,omitempty"`
}
