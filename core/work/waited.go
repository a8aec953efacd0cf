package work

import "time"

// StallCause names what caused most of a load stall.
type StallCause string

// The causes of a load stall.
const (
	WaitedForGrant StallCause = "load-grant"   // waited for the load grant: for the rate limit of the weight store or a free adapter slot
	WaitedForLoad  StallCause = "adapter-load" // waited for the load to complete
)

// Waited is how long a request waited at the owner of its endpoint, and what caused most of its load stall.
type Waited struct {
	// Queue is the time from the arrival at the owner to the dispatch or rejection; it includes Stall.
	Queue time.Duration `json:"queue"`
	// Stall is the time that the request waited while its adapter was not resident.
	Stall time.Duration `json:"stall"`
	// Cause is what caused most of the stall; it is empty without a stall.
	Cause StallCause `json:"cause,omitempty"`
}
