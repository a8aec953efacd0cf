package texts

import (
	"shallotgap/core/burn"
	"shallotgap/core/work"
)

// burnCauses explains the causes of missed objectives that are not reasons of rejections.
var burnCauses = map[burn.Cause]string{
	burn.Cause(work.WaitedForGrant): "waited for the store's rate or for a free adapter slot",
	burn.Cause(work.WaitedForLoad):  "waited for the load itself",
	"queue":                         "waited for room in the endpoint's batch",
	"endpoint":                      "the endpoint, or the links to it, took long",
}

// BurnCause explains a cause of missed objectives in plain words, followed by the name of the cause. A cause without an
// explanation is returned unchanged.
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
