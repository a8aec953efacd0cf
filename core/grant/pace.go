package grant

import (
	"slices"
	"time"

	"shallotgap/core/ident"
)

// Constants of learning how fast an engine works.
const (
	leastUnread = ident.Tokens(1500) // shorter prompts say more of the way there
	// firstOverhead is what passes between sending and reading, and between reading and the first event.
	firstOverhead = 40 * time.Millisecond
	readStep      = 0.05 // weight of one observation for all engines
	engineStep    = 0.2  // weight of one observation for an engine, which gets few
	minReadRate   = 1.0
	maxReadRate   = 1000.0
	// pauseMemory is the number of streams whose longest pause is remembered: some ten seconds of a busy engine.
	pauseMemory = 64
	// leastPauses is the number of streams after which an engine's pauses count as known.
	leastPauses = 8
	// strayPauses are the longest ones that say nothing of the engine, such as those of a network in trouble.
	strayPauses = 2
	// usualPause is an engine's longest pause, as a part of the one that streams allow, at which pauses count as they do
	// on an engine that is not known; each hundredth more or less counts latenessStep.
	usualPause    = 0.95
	latenessStep  = 0.05
	leastLateness = 0.8
	mostLateness  = 2.5
)

// pace is how fast an engine works; engines of one service differ.
//
// Load: long prompts beside streams on engines of two speeds. An engine reads a prompt in pieces between the tokens of
// its streams, so that their pauses grow up to a length that depends on its speed alone: on fast engines, that stays
// below what streams allow however much is read, on slow ones it does not.
type pace struct {
	rate    float64 // prompt tokens read in a millisecond; 0 until one was seen
	pauses  []time.Duration
	next    int           // the oldest of the pauses
	longest time.Duration // without the stray ones; 0 until it is known
}

// learnReading takes the time to the first event of a request whose prompt was read alone.
func (t *Authority) learnReading(e *engine, r *run, first time.Duration) {
	took := first - firstOverhead
	if !r.alone || r.unread < leastUnread || took <= 0 {
		return
	}
	rate := float64(r.unread) / (float64(took) / float64(time.Millisecond))
	rate = min(max(rate, t.ReadRate/2), t.ReadRate*2) // a prompt that was kept after all, or an engine that paused
	e.pace.rate = t.readRate(e) + (rate-t.readRate(e))*engineStep
	t.ReadRate = min(max(t.ReadRate+(rate-t.ReadRate)*readStep, minReadRate), maxReadRate)
}

// readRate returns the prompt tokens that an engine reads in a millisecond.
func (t *Authority) readRate(e *engine) float64 {
	if e.pace.rate > 0 {
		return e.pace.rate
	}
	return t.ReadRate
}

// paused takes the longest pause of a stream that came whole.
func (p *pace) paused(gap time.Duration) {
	if len(p.pauses) < pauseMemory {
		p.pauses = append(p.pauses, gap)
	} else {
		p.pauses[p.next] = gap
		p.next = (p.next + 1) % pauseMemory
	}
	if n := len(p.pauses); n >= leastPauses {
		sorted := slices.Sorted(slices.Values(p.pauses))
		p.longest = sorted[n-1-strayPauses]
	}
}

// lateness returns how much the harm of long pauses counts on an engine, for streams that allow a pause.
func (p *pace) lateness(allowed time.Duration) float64 {
	if p.longest == 0 {
		return 1
	}
	over := float64(p.longest)/float64(allowed) - usualPause
	return min(mostLateness, max(leastLateness, 1+over*100*latenessStep))
}
