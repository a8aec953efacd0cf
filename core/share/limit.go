package share

import (
	"time"

	"shallotgap/core/ident"
)

// Bucket is a token bucket that holds the tokens of one second, at least one.
type Bucket struct {
	Rate   float64 // tokens a second
	tokens float64
	at     ident.Time
	used   bool
}

// Take takes a token at now, or returns the time until there is one.
func (b *Bucket) Take(now ident.Time) (wait time.Duration, ok bool) {
	full := max(1, b.Rate)
	if !b.used {
		b.used = true
		b.tokens = full
	} else {
		b.tokens = min(full, b.tokens+now.Sub(b.at).Seconds()*b.Rate)
	}
	b.at = now
	if b.tokens < 1 {
		return time.Duration((1 - b.tokens) / b.Rate * float64(time.Second)), false
	}
	b.tokens--
	return 0, true
}

// Reserve takes a token in advance and returns the time until it is due.
func (b *Bucket) Reserve(now ident.Time) time.Duration {
	wait, ok := b.Take(now)
	if ok {
		return 0
	}
	b.tokens--
	return wait
}

// HomeCount returns over how many endpoints a row with a limit of running requests is spread: as few as can hold the
// limit, since each enforces its part alone.
func HomeCount(limit uint32, batch int) int {
	size := max(1, batch)
	return max(1, (int(limit)+size-1)/size)
}

// EndpointLimit returns the part of a limit that one of n endpoints enforces. The parts add up to the limit at most, but each
// is at least 1.
func EndpointLimit(limit uint32, n int) int { return max(1, int(limit)/n) }
