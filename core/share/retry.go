package share

// Retries is the budget of an entry host's retries: each request adds a part of a retry, so that retries stay a
// fixed part of the load however much fails.
type Retries struct {
	tokens float64
	begun  bool
}

// Bounds of the retry budget.
const (
	retryPart  = 0.1 // retries that each request adds
	retryBurst = 20  // retries that can be saved up
)

// Arrived counts a request.
func (r *Retries) Arrived() {
	r.begin()
	r.tokens = min(retryBurst, r.tokens+retryPart)
}

// Take spends a retry and reports whether there was one.
func (r *Retries) Take() bool {
	r.begin()
	if r.tokens < 1 {
		return false
	}
	r.tokens--
	return true
}

func (r *Retries) begin() {
	if !r.begun {
		r.begun = true
		r.tokens = retryBurst
	}
}
