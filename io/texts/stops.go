package texts

import (
	"time"

	"shallotgap/core/drain"
)

// PhaseNames holds the display names of the phases of a planned stop.
var PhaseNames = map[drain.Phase]string{
	drain.Planned:  "planned",
	drain.Draining: "draining",
	drain.Safe:     "safe to stop",
}

// StopEnd formats the planned end of a stop; until is in Unix seconds, 0 for no end.
func StopEnd(until int64) string {
	if until == 0 {
		return "open"
	}
	return time.Unix(until, 0).UTC().Format(time.RFC3339)
}

// StopStart formats the start of a stop's drain; at is in Unix seconds, 0 for at once.
func StopStart(at int64) string {
	if at == 0 {
		return "at once"
	}
	return time.Unix(at, 0).UTC().Format(time.RFC3339)
}
