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
	// longUnread: of longer prompts the part that grows with their square is learned, of shorter ones the rate.
	longUnread  = ident.Tokens(8000)
	maxPairTime = 20 * time.Millisecond
	million     = 1e6
)

// readTime returns how long an engine reads the unread end of a prompt: so much for each token, and so much for each pair
// of one with an earlier token.
func (t *Authority) readTime(unread, prompt ident.Tokens) time.Duration {
	return time.Duration(float64(unread)/t.PrefillRate*float64(time.Millisecond)) + t.pairsTime(unread, prompt)
}

// pairsTime is the part of readTime for pairs of tokens.
func (t *Authority) pairsTime(unread, prompt ident.Tokens) time.Duration {
	return time.Duration(pairs(unread, prompt) * float64(t.PairTime))
}

// pairs returns the millions of pairs of unread tokens with those before them.
func pairs(unread, prompt ident.Tokens) float64 {
	return float64(unread) * (float64(max(prompt, unread)) - float64(unread)/2) / million
}

// learnReading takes the time to the first event of a request whose prompt was read alone.
//
// Load: prompts of very different lengths, the longest of which are worth most and have the least time to spare.
func (t *Authority) learnReading(r *run, first time.Duration) {
	took := first - firstOverhead
	if !r.alone || r.unread < leastUnread || took <= 0 {
		return
	}
	if r.unread >= longUnread {
		t.longReads++
		rest := float64(took) - float64(r.unread)/t.PrefillRate*float64(time.Millisecond)
		each := min(max(time.Duration(rest/pairs(r.unread, r.ask.Prompt)), 0), maxPairTime)
		t.PairTime += time.Duration(float64(each-t.PairTime) * max(readStep, 1/float64(t.longReads)))
		return
	}
	took = max(took-t.pairsTime(r.unread, r.ask.Prompt), took/2)
	rate := float64(r.unread) / (float64(took) / float64(time.Millisecond))
	rate = min(max(rate, t.PrefillRate/2), t.PrefillRate*2) // a prompt that was kept after all, or an engine that paused
	t.PrefillRate = min(max(t.PrefillRate+(rate-t.PrefillRate)*readStep, minReadRate), maxReadRate)
}
