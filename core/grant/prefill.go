package grant

import (
	"time"

	"shallotgap/core/ident"
)

// Constants for learning the prefill rate of engines.
const (
	minObservedPrefill = ident.Tokens(1500) // for shorter prompts the network delay dominates
	// firstOverhead is the time from sending to the start of the prefill plus that from its end to the first event.
	firstOverhead   = 40 * time.Millisecond
	prefillRateStep = 0.05 // weight of one observation
	minPrefillRate  = 1.0
	maxPrefillRate  = 1000.0
	// longPrefill is the number of tokens from which on a prompt updates PairTime, the quadratic part; shorter ones update the rate.
	longPrefill = ident.Tokens(8000)
	maxPairTime = 20 * time.Millisecond
	million     = 1e6
)

// prefillTime returns how long an engine takes to prefill the uncached end of a prompt: a linear part for the tokens and a
// quadratic part for the pairs of a token with an earlier one.
func (t *Authority) prefillTime(uncached, prompt ident.Tokens) time.Duration {
	return time.Duration(float64(uncached)/t.PrefillRate*float64(time.Millisecond)) + t.pairsTime(uncached, prompt)
}

// pairsTime returns the quadratic part of prefillTime.
func (t *Authority) pairsTime(uncached, prompt ident.Tokens) time.Duration {
	return time.Duration(pairs(uncached, prompt) * float64(t.PairTime))
}

// pairs returns the number of pairs of an uncached token with an earlier token, in millions.
func pairs(uncached, prompt ident.Tokens) float64 {
	return float64(uncached) * (float64(max(prompt, uncached)) - float64(uncached)/2) / million
}

// learnPrefill updates the prefill estimates from the time to the first event of a request that was prefilled alone. Long
// prompts update PairTime instead of the rate: they are worth most and have the least time to spare.
func (t *Authority) learnPrefill(r *run, first time.Duration) {
	prefill := first - firstOverhead
	if !r.prefilledAlone || r.uncachedTokens < minObservedPrefill || prefill <= 0 {
		return
	}
	if r.uncachedTokens >= longPrefill {
		t.observedLongPrefills++
		quadratic := float64(prefill) - float64(r.uncachedTokens)/t.PrefillRate*float64(time.Millisecond)
		pairTime := min(max(time.Duration(quadratic/pairs(r.uncachedTokens, r.ask.Prompt)), 0), maxPairTime)
		t.PairTime += time.Duration(float64(pairTime-t.PairTime) * max(prefillRateStep, 1/float64(t.observedLongPrefills)))
		return
	}
	prefill = max(prefill-t.pairsTime(r.uncachedTokens, r.ask.Prompt), prefill/2)
	rate := float64(r.uncachedTokens) / (float64(prefill) / float64(time.Millisecond))
	rate = min(max(rate, t.PrefillRate/2), t.PrefillRate*2) // limits the effect of an unexpected cache hit or a paused engine
	t.PrefillRate = min(max(t.PrefillRate+(rate-t.PrefillRate)*prefillRateStep, minPrefillRate), maxPrefillRate)
}
