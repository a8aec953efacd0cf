package site

import (
	"net/http"

	"shallotgap/core/limit"
)

// LimitsPath is the path of the operators' call that lists the limits which endpoints ask for.
const LimitsPath = "/admin/limits"

// withLimitCalls adds the operators' call on limits to a handler.
func (h *host) withLimitCalls(c Controller, next http.Handler) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/", next)
	mux.HandleFunc("GET "+LimitsPath, func(w http.ResponseWriter, r *http.Request) {
		records, err := c.Limits(r.Context())
		h.answerOperator(w, r, limit.ListRecords(records), err)
	})
	return mux
}
