package share

// RetryBudget limits the retries of an entry host. Each request adds a fraction of a retry, so that retries stay a fixed part of
// the load during an outage.
type RetryBudget struct {
	tokens  float64
	started bool
}

// Bounds of the retry budget.
const (
	retryRatio = 0.1 // retries added per request
	retryBurst = 20  // largest number of unused retries
)

// CountRequest counts a new request.
func (r *RetryBudget) CountRequest() {
	r.fill()
	r.tokens = min(retryBurst, r.tokens+retryRatio)
}

// Take uses up one retry and reports whether one was available.
func (r *RetryBudget) Take() bool {
	r.fill()
	if r.tokens < 1 {
		return false
	}
	r.tokens--
	return true
}

// fill gives a new budget its initial retries.
func (r *RetryBudget) fill() {
	if !r.started {
		r.started = true
		r.tokens = retryBurst
	}
}
