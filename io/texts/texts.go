// Package texts holds the texts shown to callers and operators.
package texts

import "shallotgap/core/work"

// ReasonTitles explains the reasons of rejections to callers. The reasons that are string literals here belong to errors in
// parsing a request; package work does not define them.
var ReasonTitles = map[work.Reason]string{
	"bad-json":          "The body is not valid JSON, or a field has another type.",
	"bad-model":         "The model is missing or not of the form adapter@version.",
	"bad-timeout":       "The timeout is not a duration above 0.",
	"bad-urgency":       "The urgency is not one of those known.",
	"bad-key":           "The Idempotency-Key is too long or holds characters that it may not.",
	"bad-deadline":      "The deadline is not a time in the future.",
	"bad-body":          "The body could not be read.",
	"too-large":         "The body is larger than a request may be.",
	work.NoLease:        "This host may not serve at the moment; use another entry host.",
	work.UnknownAdapter: "No row lets this workspace run this adapter and version.",
	work.NoEndpoint:     "No endpoint can take the request at the moment.",
	work.NotOwner:       "The endpoint has moved to another host; ask again.",
	work.Late:           "The deadline cannot be met.",
	work.Overload:       "A queue or limit is full.",
	work.LoadFailed:     "The adapter could not be loaded.",
	work.KeyReused:      "The Idempotency-Key was used before for another request.",
	work.KeyRunning:     "The request with this Idempotency-Key was accepted before; ask for its state.",
	work.KeyInDoubt:     "The request with this Idempotency-Key may have run; only the endpoint can tell.",
	work.KeyExpired:     "The life of this Idempotency-Key is over; nothing was run.",
	work.Canceled:       "The caller has gone.",
	work.WrongToken:     "The request bears no token that opens this path.",
	work.WrongAnswer:    "The endpoint answered for another request.",
	work.NoQuorum:       "The request could not be recorded by a majority in time.",
	work.LinkLost:       "A link inside the system broke before the whole answer came.",
	work.EndpointFailed: "The endpoint gave no whole answer.",
	work.WrongModel:     "The endpoint answered for another adapter.",
	work.Stopping:       "The host or endpoint is stopping.",
	work.Poison:         "Endpoints crash with this request's content; it is blocked and was not run.",
	work.EndpointLimit:  "The endpoint takes a limited number of requests a second, and the request's turn would come too late.",
}
