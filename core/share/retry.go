package share

// RetryBudget is the budget of an entry host's retries: each request adds a part of a retry, so that retries stay a
// fixed part of the load however much fails.
type RetryBudget struct {
	tokens float64
	begun  bool
}

// Bounds of the retry budget.
const (
	retryPart  = 0.1 // retries that each request adds
	retryBurst = 20  // retries that can be saved up
)

// CountRequest counts a request.
func (r *RetryBudget) CountRequest() {
	r.begin()
	r.tokens = min(retryBurst, r.tokens+retryPart)
}

// Take spends a retry and reports whether there was one.
func (r *RetryBudget) Take() bool {
	r.begin()
	if r.tokens < 1 {
		return false
	}
	r.tokens--
	return true
}

func (r *RetryBudget) begin() {
	if !r.begun {
		r.begun = true
		r.tokens = retryBurst
	}
}
