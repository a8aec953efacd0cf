package texts

import (
	"shallotgap/core/burn"
	"shallotgap/core/work"
)

// burnCauses explain what spends an error budget, besides the reasons of refusals.
var burnCauses = map[burn.Cause]string{
	burn.Cause(work.WaitedForGrant): "waited for the store's rate or for a free adapter slot",
	burn.Cause(work.WaitedForLoad):  "waited for the load itself",
	"queue":                         "waited for room in the endpoint's batch",
	"endpoint":                      "the endpoint, or the links to it, took long",
}

// BurnCause explains a cause in plain words, with its name.
func BurnCause(c burn.Cause) string {
	text, ok := burnCauses[c]
	if !ok {
		text, ok = ReasonTitles[work.Reason(c)]
	}
	if !ok {
		return string(c)
	}
	return text + " (" + string(c) + ")"
}
