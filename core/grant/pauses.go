package grant

import (
	"time"

	"shallotgap/core/ident"
)

// Constants of what prompts cost the streams beside them: an engine reads prompts in pieces between the tokens of its
// running requests, so several prompts in a row stretch the pauses of all of them.
const (
	readHalfLife = 2 * time.Second // about the time that a stream runs
	// readScale is the decayed time of an engine that always reads: half-life / ln 2.
	readScale = readHalfLife * 1000 / 693
	// harmFrom and harmTo are the parts of the longest pause between which reading without a break begins to make streams
	// late and makes all of them late.
	harmFrom = 0.5
	harmTo   = 1.1
	// harmEach is what one late stream costs: it is worth three tenths then.
	harmEach = 60 * time.Millisecond
	// busyCost is what a stream of busyOutput tokens costs on an engine that always reads.
	busyCost   = 400 * time.Millisecond
	busyOutput = ident.Tokens(200)
	defaultGap = 400 * time.Millisecond // for requests that name none
)

// Constants of how much pauses count: as many streams were late for one lately.
const (
	strainStep  = 0.01 // weight of one stream: some seconds of a busy service
	strainUsual = 0.04 // share of late streams at which a pause counts by the weights above
	leastStrain = 1.0
	mostStrain  = 4.0
)

// learnPauses takes the longest pause of a stream that came whole.
func (t *Authority) learnPauses(a Ask, gap time.Duration) {
	if a.Gap <= 0 {
		return
	}
	late := 0.0
	if gap > a.Gap {
		late = 1
	}
	t.strained[a.Service] += (late - t.strained[a.Service]) * strainStep
}

// strain returns how much pauses count for a service: where none is late, spreading prompts would only cost loads.
func (t *Authority) strain(s ident.Service) float64 {
	return min(mostStrain, max(leastStrain, t.strained[s]/strainUsual))
}

// readingAt returns the decayed time spent on prompts.
func (e *engine) readingAt(now ident.Time) time.Duration {
	return time.Duration(float64(e.reading) * halve(now.Sub(e.readAt), readHalfLife))
}

// pauseCost returns what the pauses cost that a request brings about and meets on an engine.
//
// Load: long prompts and long answers at once, on few engines for each adapter.
func (e *engine) pauseCost(a Ask, read time.Duration, strain float64, now ident.Time) time.Duration {
	gap := a.Gap
	if gap <= 0 {
		gap = defaultGap
	}
	total := max(0, e.readUntil.Sub(now)) + read
	harm := (float64(total)/float64(gap) - harmFrom) / (harmTo - harmFrom)
	harm = min(1, max(0, harm)) * min(1, float64(read)/float64(gap)*harmShare)
	cost := harm * float64(len(e.running)) * float64(harmEach)
	busy := float64(e.readingAt(now)) / float64(readScale)
	long := min(1, float64(a.Output)/float64(busyOutput))
	return time.Duration((cost + busy*long*float64(busyCost)) * strain)
}

// harmShare: a prompt that takes a quarter of the longest pause has its full part in the harm.
const harmShare = 4
