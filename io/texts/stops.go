package texts

import (
	"time"

	"shallotgap/core/drain"
)

// PhaseNames name how far a stop has come, for operators.
var PhaseNames = map[drain.Phase]string{
	drain.Planned:  "planned",
	drain.Draining: "draining",
	drain.Safe:     "safe to stop",
}

// StopEnd tells when a stop is planned to end; until is in Unix seconds, 0 for an open end.
func StopEnd(until int64) string {
	if until == 0 {
		return "open"
	}
	return time.Unix(until, 0).UTC().Format(time.RFC3339)
}

// StopStart tells when the drain of a stop starts; at is in Unix seconds, 0 for at once.
func StopStart(at int64) string {
	if at == 0 {
		return "at once"
	}
	return time.Unix(at, 0).UTC().Format(time.RFC3339)
}
