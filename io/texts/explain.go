package texts

import (
	"fmt"
	"strings"

	"shallotgap/core/work"
)

// steps tell in plain words what a decision did; the verb takes the endpoint or host that it concerned.
var steps = map[string]string{
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

// causes tell in plain words why.
var causes = map[string]string{
	"resident":     "its adapter is resident there",
	"loading":      "its adapter is being loaded there",
	"home":         "its adapter is resident nowhere, and this endpoint comes first for it",
	"waited-for":   "other requests wait there for the same adapter",
	"second-home":  "its adapter is resident nowhere, and the endpoint that comes first for it has much more to do",
	"copy":         "all endpoints that hold its adapter have much more to do",
	"limited":      "its row has limits, which the first few endpoints for it share",
	"least-loaded": "it runs the fewest calls of that service",
	"answered":     "the whole answer came",
	"not-sent":     "no byte of the request was sent",
	"done":         "the adapter is resident",
	"broken":       "the request was sent, but no whole answer came",
}

// DescribeDecision tells a decision and its cause in plain words; what it does not know is passed on as it is.
func DescribeDecision(step, peer, cause string) string {
	what, ok := steps[step]
	switch {
	case !ok:
		what = strings.TrimSpace(step + " " + peer)
	case strings.Contains(what, "%s"):
		what = fmt.Sprintf(what, peer)
	}
	if reason, refused := strings.CutPrefix(cause, "refused: "); refused {
		return fmt.Sprintf("refused at %s: %s (%s)", strings.TrimSpace(step+" "+peer), ReasonTitles[work.Reason(reason)], reason)
	}
	if text, known := causes[strings.TrimSpace(cause)]; known {
		return what + ": " + text
	}
	first, rest, _ := strings.Cut(cause, " ")
	if text, known := causes[first]; known {
		cause = text + " " + rest
	}
	return strings.TrimSuffix(what+": "+cause, ": ")
}

// indent puts spaces before each line of a text and ends it with a line feed.
func indent(text string) string {
	return "  " + strings.ReplaceAll(text, "\n", "\n  ") + "\n"
}
