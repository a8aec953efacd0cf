// Package texts holds the texts that users see, in one place.
package texts

import "shallotgap/core/work"

// Titles explain the reasons of refusals to callers.
var Titles = map[work.Reason]string{
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
}
