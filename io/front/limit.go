package front

import (
	"strconv"

	"shallotgap/core/ident"
	"shallotgap/core/limit"
)

// noteLimit records what an answer says about the limit of its endpoint, and logs a change.
func (ex *exchange) noteLimit(i ident.Instance, v Verdict, status int) {
	if v.Mismatched {
		return
	}
	ex.mu.Lock()
	last, known := ex.namedLimits[i]
	changed := v.Limit != last
	switch {
	case v.Limit.Named || v.Limit.Bad != "":
		ex.namedLimits[i] = v.Limit
	case known:
		delete(ex.namedLimits, i)
	}
	ex.mu.Unlock()
	if known || v.Limit.Named {
		ex.Meter.Count("shallotgap_limited_answers_total", "service", string(ex.service.Name))
	}
	if changed {
		ex.logDecision("limit", i.ID, limitOutcome(v.Limit), "rate="+strconv.FormatFloat(float64(v.Limit.Rate), 'g', -1, 64)+" bad="+v.Limit.Bad+" status="+strconv.Itoa(status)+" not-run="+strconv.FormatBool(v.NotRun))
	}
}

// limitOutcome returns the outcome for the log of what an answer says about a limit.
func limitOutcome(s limit.Signal) string {
	switch {
	case s.Named:
		return "named"
	case s.Bad != "":
		return "not-understood"
	}
	return "ended"
}
