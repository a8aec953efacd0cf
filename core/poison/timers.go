package poison

import (
	"time"

	"shallotgap/core/ident"
)

// RetryAfter is the Retry-After of requests with a blocked part; to come back sooner does not help.
const RetryAfter = time.Minute

// Times of records.
const (
	// firstTrial is the time from a block to the trial; it doubles with each further block, up to maxTrial.
	firstTrial = 10 * time.Minute
	maxTrial   = 4 * time.Hour
	// suspectLife is how long a suspicion lasts without a further crash.
	suspectLife = 10 * time.Minute
)

// Timers tell a leader when blocked parts are due for a trial and suspicions are over. They start anew with each leader.
type Timers struct {
	seen map[recordState]ident.Time
}

// recordState identifies a record between two changes of it.
type recordState struct {
	part    Part
	state   State
	crashes int
}

// Due returns the commands that are due for the records of a table.
func (t *Timers) Due(table *Table, now ident.Time) []Command {
	var due []Command
	seen := map[recordState]ident.Time{}
	for _, r := range table.List() {
		key := recordState{part: r.Part, state: r.State, crashes: r.Crashes}
		since, known := t.seen[key]
		if !known {
			since = now
		}
		switch {
		case r.State == Blocked && now.Sub(since) > trialAfter(r.Blocks):
			due = append(due, Command{Trial: r.Part})
			since = now // due again if the command is lost
		case r.State == Suspect && now.Sub(since) > suspectLife:
			due = append(due, Command{Clear: []Part{r.Part}})
			since = now
		}
		seen[key] = since
	}
	t.seen = seen
	return due
}

// trialAfter returns the time from the n-th block of a part to its trial.
func trialAfter(blocks int) time.Duration {
	return min(maxTrial, firstTrial<<min(max(0, blocks-1), 8))
}
