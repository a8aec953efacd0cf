package site

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"shallotgap/core/poison"
)

// PoisonPath is the path of the operators' calls on suspected and blocked parts: GET lists them, DELETE with a part appended lifts it.
const PoisonPath = "/admin/poison"

// liftTimeout bounds the removal of a part: a commit, and an election before it.
const liftTimeout = 3 * time.Second

// withPoisonCalls adds the operators' calls on suspected and blocked parts to a handler.
func (h *host) withPoisonCalls(c Controller, next http.Handler) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/", next)
	mux.HandleFunc("GET "+PoisonPath, func(w http.ResponseWriter, r *http.Request) {
		records, err := c.PoisonParts(r.Context())
		h.answerOperator(w, r, poison.ListRecords(records), err)
	})
	mux.HandleFunc("DELETE "+PoisonPath+"/{part}", func(w http.ResponseWriter, r *http.Request) {
		ctx, cancel := context.WithTimeout(r.Context(), liftTimeout)
		defer cancel()
		h.answerOperator(w, r, struct{}{}, c.LiftPart(ctx, poison.Part(r.PathValue("part"))))
	})
	return mux
}

// answerOperator answers a call with a value, or with 503 if it failed, and logs it.
func (h *host) answerOperator(w http.ResponseWriter, r *http.Request, v any, err error) {
	log := h.Log.WithField("step", "call").WithField("call", r.Method+" "+r.URL.Path).WithField("peer", r.RemoteAddr)
	w.Header().Set("Content-Type", "application/json")
	if err != nil {
		log.WithError(err).Warn("call-refused")
		w.WriteHeader(http.StatusServiceUnavailable)
		v = map[string]string{"error": err.Error()}
	} else {
		log.WithField("outcome", "done").Info("operator")
	}
	if err := json.NewEncoder(w).Encode(v); err != nil {
		log.WithError(err).Warn("caller-left")
	}
}
