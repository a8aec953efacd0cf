package admin

import (
	"crypto/rand"
	"embed"
	"errors"
	"fmt"
	"html/template"
	"net/http"
	"slices"
	"strconv"
	"time"

	"shallotgap/core/burn"
	"shallotgap/core/drain"
	"shallotgap/core/ident"
	"shallotgap/core/rows"
	"shallotgap/core/state"
	"shallotgap/core/world"
	"shallotgap/io/plot"
	"shallotgap/io/texts"
)

//go:embed pages/table.html
var pages embed.FS

var tablePage = template.Must(template.New("table.html").Funcs(template.FuncMap{
	"phase": func(p drain.Phase) string { return texts.PhaseNames[p] },
	"start": texts.StopStart,
	"until": texts.StopEnd,
	"newID": func() string { return rand.Text() },
}).ParseFS(pages, "pages/table.html"))

// pageView is the data of the operators' page, with the result of the form that was submitted last.
type pageView struct {
	Host      ident.HostID
	Leader    ident.HostID
	Index     ident.Index
	Rows      []rows.Row
	Find      string      // text that the rows are filtered by
	Next      rows.RowKey // last key of this page; empty if no rows follow
	Hosts     []hostLine
	Endpoints []endpointLine
	Stops     []drain.Stop
	Done      string // message about an accepted form
	Failed    string // message about a form that failed
	Conflict  *conflictView
}

// pageRows is the maximum number of rows on a page.
const pageRows = 200

// hostLine is a line of the page's table of hosts.
type hostLine struct {
	hostAnswer[Status]
	Stop *drain.Stop
}

// endpointLine is a line of the page's table of endpoints.
type endpointLine struct {
	ID      ident.EndpointID
	Service ident.Service
	Domain  ident.DomainID
	Owner   ident.HostID
	Stop    *drain.Stop
}

// conflictView is an edit that was rejected with a conflict, next to the row in force.
type conflictView struct {
	Key     rows.RowKey
	Mine    *rows.Row // nil for a deletion
	InForce *rows.Row // nil if the row has been deleted
}

// page serves GET /admin/.
func (s *Server) page(w http.ResponseWriter, r *http.Request) {
	v := pageView{}
	if index := r.URL.Query().Get("done"); index != "" {
		v.Done = fmt.Sprintf(texts.PageAccepted, index)
	}
	s.show(w, r, http.StatusOK, v)
}

// show fills v with the current state of the system and writes the page.
func (s *Server) show(w http.ResponseWriter, r *http.Request, status int, v pageView) {
	var o world.Overview
	q := parseQuery(r)
	q.Limit, v.Find = pageRows, q.Text
	err := s.host.View(r.Context(), func(current *world.World) {
		o = current.Overview()
		v.Rows, v.Next = current.State().Rows.Search(q)
	})
	if err != nil {
		return
	}
	v.Host, v.Leader, v.Index = o.Host, o.Leader, o.Applied
	v.Stops = o.Stops
	for _, a := range queryHosts[Status](r, s.host.Settings.Hosts, "/admin/status") {
		v.Hosts = append(v.Hosts, hostLine{hostAnswer: a, Stop: findStop(o.Stops, func(s drain.Stop) bool { return stopCoversHost(s, a.Name) })})
	}
	for _, e := range o.Endpoints {
		v.Endpoints = append(v.Endpoints, endpointLine{
			ID: e.ID, Service: e.Service, Domain: e.Domain, Owner: e.Owner,
			Stop: findStop(o.Stops, func(s drain.Stop) bool { return s.CoversEndpoint(e.Endpoint) }),
		})
	}
	w.Header().Set("Content-Type", "text/html; charset=utf-8")
	w.Header().Set("Content-Security-Policy", "default-src 'none'; style-src 'unsafe-inline'; form-action 'self'; frame-ancestors 'none'")
	w.WriteHeader(status)
	if err := tablePage.Execute(w, v); err != nil {
		s.Log.WithError(err).Warn("page")
	}
}

// findStop returns the first stop for which covers returns true, or nil.
func findStop(list []drain.Stop, covers func(drain.Stop) bool) *drain.Stop {
	for _, s := range list {
		if covers(s) {
			return &s
		}
	}
	return nil
}

// stopCoversHost reports whether s covers host h. A stop with h as its target covers h even before its drain has started, when
// its list of hosts is still empty.
func stopCoversHost(s drain.Stop, h ident.HostID) bool {
	return s.CoversHost(h) || s.ID() == drain.IDOf(drain.Host, string(h))
}

// saveRow handles the row form, which adds, changes or deletes a row.
func (s *Server) saveRow(w http.ResponseWriter, r *http.Request) {
	e, err := parseEdit(r)
	if err != nil {
		s.show(w, r, http.StatusBadRequest, pageView{Failed: err.Error()})
		return
	}
	res, err := s.host.Propose(r.Context(), state.Command{Edit: &e})
	switch {
	case err != nil || res.Edit == nil:
		s.show(w, r, http.StatusServiceUnavailable, pageView{Failed: texts.PageOutcomeUnknown})
	case res.Edit.Verdict == rows.Accepted:
		s.redirectDone(w, r, res.Edit.Index)
	case res.Edit.Verdict == rows.Conflict:
		s.show(w, r, http.StatusConflict, pageView{Conflict: &conflictView{Key: e.Key, Mine: e.Row, InForce: res.Edit.Current}})
	default:
		s.show(w, r, http.StatusBadRequest, pageView{Failed: res.Edit.Reason})
	}
}

// redirectDone redirects to the page after a successful form, so that a reload does not submit the form again.
func (s *Server) redirectDone(w http.ResponseWriter, r *http.Request, index ident.Index) {
	http.Redirect(w, r, "/admin/?done="+strconv.FormatUint(uint64(index), 10), http.StatusSeeOther)
}

// parseEdit returns the edit in a submitted row form.
func parseEdit(r *http.Request) (rows.Edit, error) {
	row := rows.Row{
		Workspace: ident.Workspace(r.FormValue("workspace")),
		Adapter:   ident.Adapter(r.FormValue("adapter")),
		Version:   ident.Version(r.FormValue("version")),
		Previous:  ident.Version(r.FormValue("previous")),
		Base:      ident.Service(r.FormValue("base")),
	}
	e := rows.Edit{ID: ident.EditID(r.FormValue("edit-id")), Key: rows.KeyOf(row.Workspace, row.Adapter), Row: &row}
	numbers := map[string]*uint32{"weight": &row.Weight, "max-running": &row.MaxRunning, "max-rate": &row.MaxRate}
	for name, field := range numbers {
		n, err := strconv.ParseUint(r.FormValue(name), 10, 32)
		if err != nil {
			return e, fmt.Errorf(texts.PageBadNumber, name, r.FormValue(name))
		}
		*field = uint32(n)
	}
	from, err := strconv.ParseUint(r.FormValue("from"), 10, 64)
	if err != nil {
		return e, fmt.Errorf(texts.PageBadNumber, "from", r.FormValue("from"))
	}
	e.From = ident.RowVersion(from)
	if r.FormValue("action") == "delete" {
		e.Row = nil
	}
	return e, nil
}

// saveStop handles the form that plans or withdraws a stop.
func (s *Server) saveStop(w http.ResponseWriter, r *http.Request) {
	m := drain.Mark{
		ID:       ident.EditID(r.FormValue("edit-id")),
		Target:   drain.Target(r.FormValue("target")),
		Name:     r.FormValue("name"),
		Withdraw: r.FormValue("action") == "withdraw",
	}
	err := parseTimes(&m, r)
	if !slices.Contains([]drain.Target{drain.Host, drain.Endpoint, drain.EndpointHost, drain.Domain}, m.Target) {
		err = errors.New(texts.PageBadTarget)
	}
	if err != nil {
		s.show(w, r, http.StatusBadRequest, pageView{Failed: err.Error()})
		return
	}
	res, err := s.host.Propose(r.Context(), state.Command{Mark: &m})
	switch {
	case err != nil || res.Mark == nil:
		s.show(w, r, http.StatusServiceUnavailable, pageView{Failed: texts.PageOutcomeUnknown})
	case !res.Mark.Accepted:
		s.show(w, r, http.StatusConflict, pageView{Failed: res.Mark.Reason})
	default:
		s.redirectDone(w, r, res.Index)
	}
}

// parseTimes sets the start and end of a stop from the form, whose times are in UTC. An empty start means at once, an empty end
// means no end.
func parseTimes(m *drain.Mark, r *http.Request) error {
	for name, field := range map[string]*int64{"at": &m.At, "until": &m.Until} {
		text := r.FormValue(name)
		if text == "" {
			continue
		}
		t, err := time.Parse("2006-01-02T15:04", text)
		if err != nil {
			return fmt.Errorf(texts.PageBadTime, name, text)
		}
		*field = t.Unix()
	}
	return nil
}

// report serves GET /admin/report: the burn report of all hosts as a web page.
func (s *Server) report(w http.ResponseWriter, r *http.Request) {
	recorder := burn.New(s.host.Settings.Objectives)
	out := plot.Report{At: time.Now(), Period: recorder.Period(), Width: recorder.Width()}
	for _, a := range queryHosts[Burn](r, s.host.Settings.Hosts, "/admin/burn") {
		if !a.Known {
			out.Silent = append(out.Silent, a.Name)
		}
		recorder.Merge(a.Answer.Series)
	}
	out.Lines = recorder.Report(out.At.Unix())
	w.Header().Set("Content-Type", "text/html; charset=utf-8")
	if err := plot.Write(w, out); err != nil {
		s.Log.WithError(err).Warn("report")
	}
}
