// Package texts holds the texts shown to callers and operators.
package texts

import "shallotgap/core/work"

// ReasonTitles explains the reasons of rejections to callers.
var ReasonTitles = map[work.Reason]string{
	"bad-json":          "The body is not valid JSON, or a field has another type.",
	"bad-model":         "The model is missing or not of the form adapter@version.",
	"bad-timeout":       "The timeout is not a duration above 0.",
	"bad-urgency":       "The urgency is not a known value.",
	"bad-key":           "The Idempotency-Key is too long or contains invalid characters.",
	"bad-deadline":      "The deadline is not a time in the future.",
	"bad-body":          "The body could not be read.",
	"too-large":         "The body exceeds the size limit.",
	work.NoLease:        "This host has no valid lease and cannot serve at the moment; use another entry host.",
	work.UnknownAdapter: "No row lets this workspace run this adapter and version.",
	work.NoEndpoint:     "No endpoint can take the request at the moment.",
	work.NotOwner:       "The endpoint has moved to another host; send the request again.",
	work.Late:           "The deadline cannot be met.",
	work.Overload:       "A queue or limit is full.",
	work.LoadFailed:     "The adapter could not be loaded.",
	work.KeyReused:      "The Idempotency-Key was used before for another request.",
	work.KeyRunning:     "The request with this Idempotency-Key was accepted before; ask for its state.",
	work.KeyInDoubt:     "The request with this Idempotency-Key may have run; only the endpoint can tell.",
	work.KeyExpired:     "This Idempotency-Key has expired; the request was not run.",
	work.Canceled:       "The caller disconnected or cancelled the request.",
	work.WrongToken:     "The request has no token that is valid for this path.",
	work.WrongAnswer:    "The endpoint returned the answer to another request.",
	work.NoQuorum:       "The request could not be recorded by a majority in time.",
	work.LinkLost:       "A connection between hosts broke before the answer was complete.",
	work.EndpointFailed: "The endpoint gave no complete answer.",
	work.WrongModel:     "The endpoint used another adapter.",
	work.Stopping:       "The host or endpoint is stopping.",
}
