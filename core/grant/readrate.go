package grant

import (
	"time"

	"shallotgap/core/ident"
)

// Constants of learning how fast engines read prompts.
const (
	leastUnread = ident.Tokens(1500) // shorter prompts say more of the way there
	// firstOverhead is what passes between sending and reading, and between reading and the first event.
	firstOverhead = 40 * time.Millisecond
	readStep      = 0.05 // weight of one observation
	minReadRate   = 1.0
	maxReadRate   = 1000.0
)

// readTime returns how long an engine reads so many tokens of a prompt.
func (t *Authority) readTime(n ident.Tokens) time.Duration {
	return time.Duration(float64(n) / t.ReadRate * float64(time.Millisecond))
}

// learnReading takes the time to the first event of a request whose prompt was read alone.
func (t *Authority) learnReading(r *run, first time.Duration) {
	took := first - firstOverhead
	if !r.alone || r.unread < leastUnread || took <= 0 {
		return
	}
	rate := float64(r.unread) / (float64(took) / float64(time.Millisecond))
	rate = min(max(rate, t.ReadRate/2), t.ReadRate*2) // a prompt that was kept after all, or an engine that paused
	t.ReadRate = min(max(t.ReadRate+(rate-t.ReadRate)*readStep, minReadRate), maxReadRate)
}
