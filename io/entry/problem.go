package entry

import (
	"shallotgap/core/claim"
	"shallotgap/core/work"
)

// problemBody is the application/problem+json form (RFC 9457) of a rejection.
type problemBody struct {
	Type    string       `json:"type"`
	Title   string       `json:"title"`
	Detail  string       `json:"detail,omitempty"`
	Status  int          `json:"status"`
	Outcome work.Outcome `json:"outcome"`
	Reason  work.Reason  `json:"reason"`
	Step    string       `json:"step"`
	Peer    string       `json:"peer,omitempty"`
	// RetryAfterMS is the Retry-After header in milliseconds; the header has whole seconds.
	RetryAfterMS int64 `json:"retry-after-ms,omitempty"`
	// State and Request describe the earlier request with the same idempotency key.
	State   claim.State `json:"state,omitempty"`
	Request string      `json:"request,omitempty"`
}

// newProblem returns the body that describes a rejection. Of the claim of an earlier request it contains only the state
// and the request ID.
func newProblem(status int, r work.Refusal) problemBody {
	p := problemBody{
		Type: "about:blank", Title: title(r.Reason), Detail: r.Detail, Status: status,
		Outcome: r.Outcome, Reason: r.Reason, Step: r.Step, Peer: r.Peer, RetryAfterMS: r.RetryAfter.Milliseconds(),
	}
	if r.Record != nil {
		p.State = r.Record.State
		p.Request = r.Record.Request.String()
	}
	return p
}
