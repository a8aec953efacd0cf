package grant

import (
	"time"

	"shallotgap/core/ident"
)

// Constants for the effect of prefill on running streams. An engine prefills prompts in pieces between the tokens of its
// running requests, so several prompts in a row lengthen the pauses of all streams.
const (
	prefillHalfLife = 2 * time.Second // about the duration of a stream
	// prefillScale is the decayed prefill time of an engine that prefills continuously: half-life / ln 2.
	prefillScale = prefillHalfLife * 1000 / 693
	// delayLowerBound and delayUpperBound are shares of the longest allowed pause: continuous prefill up to the lower bound makes
	// no stream late, from the upper bound on it makes all of them late.
	delayLowerBound = 0.5
	delayUpperBound = 1.1
	// delayedStreamCost is the cost of one late stream, which is worth three tenths of one on time.
	delayedStreamCost = 60 * time.Millisecond
	// continuousPrefillCost is the cost of a stream of longOutput tokens on an engine that prefills continuously.
	continuousPrefillCost = 400 * time.Millisecond
	longOutput            = ident.Tokens(200)
	defaultMaxGap         = 400 * time.Millisecond // longest pause within a stream for requests that set none
)

// Constants for weighting pauses by the share of streams that were late recently.
const (
	lateShareStep  = 0.01 // weight of one stream in the moving average, which covers some seconds of a busy service
	usualLateShare = 0.04 // share of late streams up to which pauseWeight is 1
	minPauseWeight = 1.0
	maxPauseWeight = 4.0
)

// learnLateShare updates the share of late streams from the longest pause of a complete stream.
func (t *Authority) learnLateShare(a Ask, gap time.Duration) {
	if a.Gap <= 0 {
		return
	}
	late := 0.0
	if gap > a.Gap {
		late = 1
	}
	t.lateShares[a.Service] += (late - t.lateShares[a.Service]) * lateShareStep
}

// pauseWeight returns the factor for the cost of pauses. Where no stream is late, spreading prompts would only cost loads.
func (t *Authority) pauseWeight(s ident.Service) float64 {
	return min(maxPauseWeight, max(minPauseWeight, t.lateShares[s]/usualLateShare))
}

// decayedPrefill returns the decayed time spent on prefill.
func (e *engine) decayedPrefill(now ident.Time) time.Duration {
	return time.Duration(float64(e.recentPrefill) * decay(now.Sub(e.recentPrefillAt), prefillHalfLife))
}

// pauseCost returns the cost of pauses on an engine: those that the request causes for running streams, and those that its
// own stream would have. The cost spreads long prompts and long answers over engines when each adapter is on few engines.
func (e *engine) pauseCost(a Ask, prefill time.Duration, weight float64, now ident.Time) time.Duration {
	gap := a.Gap
	if gap <= 0 {
		gap = defaultMaxGap
	}
	pendingPrefill := max(0, e.prefillUntil.Sub(now)) + prefill
	delay := (float64(pendingPrefill)/float64(gap) - delayLowerBound) / (delayUpperBound - delayLowerBound)
	delay = min(1, max(0, delay)) * min(1, float64(prefill)/float64(gap)*fullDelayFactor)
	cost := delay * float64(len(e.running)) * float64(delayedStreamCost)
	prefillShare := float64(e.decayedPrefill(now)) / float64(prefillScale)
	outputShare := min(1, float64(a.Output)/float64(longOutput))
	return time.Duration((cost + prefillShare*outputShare*float64(continuousPrefillCost)) * weight)
}

// fullDelayFactor scales the cost of a delay by the prefill time of the prompt: the full cost applies once the prefill takes a
// quarter of the longest pause that the request allows.
const fullDelayFactor = 4
