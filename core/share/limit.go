package share

import (
	"time"

	"shallotgap/core/ident"
)

// Bucket is a token bucket. It holds at most one second's worth of tokens, or one token if that is more.
type Bucket struct {
	Rate       float64 // tokens per second
	tokens     float64
	refilledAt ident.Time
	started    bool
}

// Take takes a token, or returns the time until the next token is available.
func (b *Bucket) Take(now ident.Time) (wait time.Duration, ok bool) {
	full := max(1, b.Rate)
	if !b.started {
		b.started = true
		b.tokens = full
	} else {
		b.tokens = min(full, b.tokens+now.Sub(b.refilledAt).Seconds()*b.Rate)
	}
	b.refilledAt = now
	if b.tokens < 1 {
		return time.Duration((1 - b.tokens) / b.Rate * float64(time.Second)), false
	}
	b.tokens--
	return 0, true
}

// Reserve takes a token even when none is left, and returns the time until that token is due.
func (b *Bucket) Reserve(now ident.Time) time.Duration {
	wait, ok := b.Take(now)
	if ok {
		return 0
	}
	b.tokens--
	return wait
}

// HomeCount returns the number of endpoints that a row with the given limit of running requests is spread over, where batch is
// the size of an endpoint's batch. The number is the lowest that can hold the limit, because each endpoint enforces its part alone.
func HomeCount(limit uint32, batch int) int {
	size := max(1, batch)
	return max(1, (int(limit)+size-1)/size)
}

// EndpointLimit returns the part of a limit that each of n endpoints enforces. The parts add up to at most the limit, unless the
// limit is less than n: each part is at least 1.
func EndpointLimit(limit uint32, n int) int { return max(1, int(limit)/n) }
