package entry

import (
	"net/http"

	"shallotgap/core/claim"
	"shallotgap/core/ident"
	"shallotgap/core/work"
	"shallotgap/core/world"
)

// ReplayHeader marks the stored answer of a request that ran before: "true", or "state-only" when the answer was too
// large to store and the body is the KeyStatus.
const ReplayHeader = "Shallotgap-Replay"

func replay(w http.ResponseWriter, rec claim.Record) {
	w.Header().Set(ReplayHeader, "true")
	if rec.Answer == nil {
		w.Header().Set(ReplayHeader, "state-only")
		writeJSON(w, http.StatusOK, statusOf(world.Asked{Record: &rec}))
		return
	}
	w.Header().Set("Content-Type", rec.Answer.ContentType)
	w.WriteHeader(rec.Answer.Status)
	_, _ = w.Write(rec.Answer.Body)
}

// KeyStatus is the answer to GET /v1/requests/KEY.
type KeyStatus struct {
	Key     ident.Key   `json:"key"`
	State   claim.State `json:"state"`
	Request string      `json:"request,omitempty"`
	Status  int         `json:"status,omitempty"`
	Answer  []byte      `json:"answer,omitempty"`
	Index   ident.Index `json:"index"`
}

// KeyUnknown is the state of a key that no committed claim bears: its request has not run.
const KeyUnknown = claim.State("unknown")

func statusOf(a world.Asked) KeyStatus {
	if a.Record == nil {
		return KeyStatus{State: KeyUnknown, Index: a.Index}
	}
	st := KeyStatus{Key: a.Record.Key, State: a.Record.State, Request: a.Record.Request.String(), Index: a.Index}
	if a.Record.Answer != nil {
		st.Status = a.Record.Answer.Status
		st.Answer = a.Record.Answer.Body
	}
	return st
}

// request serves GET /v1/requests/KEY.
func (s *Server) request(w http.ResponseWriter, r *http.Request) {
	key := ident.Key(r.PathValue("key"))
	a, err := s.host.ClaimRecord(r.Context(), claim.Name{Workspace: s.workspace(r), Key: key})
	if err != nil {
		// The outcome is that of the request with the key, not that of this question.
		problem(w, http.StatusServiceUnavailable, work.Refusal{Outcome: work.InDoubt, Reason: work.NoQuorum, Step: "status", RetryAfter: world.DefaultRetryAfter})
		return
	}
	st := statusOf(a)
	st.Key = key
	writeJSON(w, http.StatusOK, st)
}
