package texts

import (
	"fmt"
	"strings"

	"shallotgap/core/work"
)

// stepTexts describes the steps of a request's decisions; %s is the endpoint or host that the step concerns.
var stepTexts = map[string]string{
	"admit":    "the entry host checked the request",
	"route":    "endpoint %s was chosen",
	"forward":  "the request went to the owner of its endpoint",
	"queue":    "it was queued for endpoint %s",
	"claim":    "its Idempotency-Key was claimed",
	"load":     "the load of its adapter on endpoint %s",
	"return":   "the owner %s gave it back unsent, and another endpoint is looked for",
	"dispatch": "it was sent to endpoint %s",
	"cancel":   "it was cancelled at endpoint %s",
	"answer":   "endpoint %s ended it",
}

// causeTexts explains the causes of decisions.
var causeTexts = map[string]string{
	"resident":     "its adapter is resident there",
	"loading":      "its adapter is being loaded there",
	"home":         "its adapter is resident nowhere, and this endpoint comes first for it",
	"waited-for":   "other requests wait there for the same adapter",
	"second-home":  "its adapter is resident nowhere, and the endpoint that comes first for it has much more to do",
	"copy":         "all endpoints that hold its adapter have much more to do",
	"suspected":    "an endpoint crashed with its content, so all such requests run here, one at a time",
	"limited":      "its row has limits, which the first few endpoints for it share",
	"least-loaded": "it runs the fewest calls of that service",
	"answered":     "the whole answer came",
	"not-sent":     "no byte of the request was sent",
	"done":         "the adapter is resident",
	"broken":       "the request was sent, but no whole answer came",
}

// DescribeDecision describes a decision and its cause in plain words. Unknown steps and causes are returned unchanged.
func DescribeDecision(step, peer, cause string) string {
	action, ok := stepTexts[step]
	switch {
	case !ok:
		action = strings.TrimSpace(step + " " + peer)
	case strings.Contains(action, "%s"):
		action = fmt.Sprintf(action, peer)
	}
	if reason, refused := strings.CutPrefix(cause, "refused: "); refused {
		return fmt.Sprintf("refused at %s: %s (%s)", strings.TrimSpace(step+" "+peer), ReasonTitles[work.Reason(reason)], reason)
	}
	if text, known := causeTexts[strings.TrimSpace(cause)]; known {
		return action + ": " + text
	}
	first, rest, _ := strings.Cut(cause, " ")
	if text, known := causeTexts[first]; known {
		cause = text + " " + rest
	}
	return strings.TrimSuffix(action+": "+cause, ": ")
}

// indent indents each line of a text by two spaces and appends a line feed.
func indent(text string) string {
	return "  " + strings.ReplaceAll(text, "\n", "\n  ") + "\n"
}
