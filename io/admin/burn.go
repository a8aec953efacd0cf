package admin

import (
	"net/http"

	"shallotgap/core/burn"
)

// Burn is what one host measured, with the targets of its settings.
type Burn struct {
	burn.Targets
	Series []burn.Series `json:"series"`
}

func (s *Server) burn(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, Burn{Targets: s.host.Settings.Objectives, Series: s.host.Meter.EventSeries()})
}

// metrics serves the host's metrics for scraping.
func (s *Server) metrics(w http.ResponseWriter, r *http.Request) {
	if err := s.host.UpdateGauges(r.Context()); err != nil {
		return
	}
	w.Header().Set("Content-Type", "text/plain; version=0.0.4; charset=utf-8")
	_ = s.host.Meter.WriteText(w)
}
