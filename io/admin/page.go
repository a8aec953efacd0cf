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

// view of the page: the table, the hosts and the endpoints, and what the last form brought about.
type pageView struct {
	Host      ident.HostID
	Leader    ident.HostID
	Index     ident.Index
	Rows      []rows.Row
	Find      string
	Next      rows.RowKey
	Hosts     []hostLine
	Endpoints []endpointLine
	Stops     []drain.Stop
	Done      string
	Failed    string
	Conflict  *conflictView
}

// pageRows is the largest number of rows on one page.
const pageRows = 200

type hostLine struct {
	answered[Status]
	Stop *drain.Stop
}

type endpointLine struct {
	ID      ident.EndpointID
	Service ident.Service
	Domain  ident.DomainID
	Owner   ident.HostID
	Stop    *drain.Stop
}

// conflictView shows an operator's edit beside the row in force.
type conflictView struct {
	Key     rows.RowKey
	Mine    *rows.Row // nil for a deletion
	InForce *rows.Row // nil when the row is gone
}

// page serves GET /admin/.
func (s *Server) page(w http.ResponseWriter, r *http.Request) {
	v := pageView{}
	if index := r.URL.Query().Get("done"); index != "" {
		v.Done = fmt.Sprintf(texts.PageAccepted, index)
	}
	s.show(w, r, http.StatusOK, v)
}

// show fills the view with the present state and writes the page.
func (s *Server) show(w http.ResponseWriter, r *http.Request, status int, v pageView) {
	var o world.Overview
	q := queryOf(r)
	q.Limit, v.Find = pageRows, q.Text
	err := s.host.View(r.Context(), func(x *world.World) {
		o = x.Overview()
		v.Rows, v.Next = x.State().Rows.Search(q)
	})
	if err != nil {
		return
	}
	v.Host, v.Leader, v.Index = o.Host, o.Leader, o.Applied
	v.Stops = o.Stops
	for _, a := range askHosts[Status](r, s.host.Settings.Hosts, "/admin/status") {
		v.Hosts = append(v.Hosts, hostLine{answered: a, Stop: stopOf(o.Stops, func(s drain.Stop) bool { return takesHost(s, a.Name) })})
	}
	for _, e := range o.Endpoints {
		v.Endpoints = append(v.Endpoints, endpointLine{
			ID: e.ID, Service: e.Service, Domain: e.Domain, Owner: e.Owner, Stop: stopOf(o.Stops, func(s drain.Stop) bool { return s.CoversEndpoint(e.Endpoint) }),
		})
	}
	w.Header().Set("Content-Type", "text/html; charset=utf-8")
	w.Header().Set("Content-Security-Policy", "default-src 'none'; style-src 'unsafe-inline'; form-action 'self'; frame-ancestors 'none'")
	w.WriteHeader(status)
	if err := tablePage.Execute(w, v); err != nil {
		s.Log.WithError(err).Warn("page")
	}
}

// stopOf returns the first stop that takes a target, or nil.
func stopOf(list []drain.Stop, takes func(drain.Stop) bool) *drain.Stop {
	for _, s := range list {
		if takes(s) {
			return &s
		}
	}
	return nil
}

// takesHost also knows a stop whose drain has not started and which names the host itself.
func takesHost(s drain.Stop, h ident.HostID) bool {
	return s.CoversHost(h) || s.ID() == drain.IDOf(drain.Host, string(h))
}

// saveRow serves the form of a row: it adds, changes or deletes the row.
func (s *Server) saveRow(w http.ResponseWriter, r *http.Request) {
	e, err := editOf(r)
	if err != nil {
		s.show(w, r, http.StatusBadRequest, pageView{Failed: err.Error()})
		return
	}
	res, err := s.host.Propose(r.Context(), state.Command{Edit: &e})
	switch {
	case err != nil || res.Edit == nil:
		s.show(w, r, http.StatusServiceUnavailable, pageView{Failed: texts.PageOutcomeUnknown})
	case res.Edit.Verdict == rows.Accepted:
		s.done(w, r, res.Edit.Index)
	case res.Edit.Verdict == rows.Conflict:
		s.show(w, r, http.StatusConflict, pageView{Conflict: &conflictView{Key: e.Key, Mine: e.Row, InForce: res.Edit.Current}})
	default:
		s.show(w, r, http.StatusBadRequest, pageView{Failed: res.Edit.Reason})
	}
}

// done answers a form with the page, so that a reload does not send the form again.
func (s *Server) done(w http.ResponseWriter, r *http.Request, index ident.Index) {
	http.Redirect(w, r, "/admin/?done="+strconv.FormatUint(uint64(index), 10), http.StatusSeeOther)
}

// editOf reads the form of a row.
func editOf(r *http.Request) (rows.Edit, error) {
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

// saveStop serves the form of a planned stop.
func (s *Server) saveStop(w http.ResponseWriter, r *http.Request) {
	m := drain.Mark{
		ID:       ident.EditID(r.FormValue("edit-id")),
		Target:   drain.Target(r.FormValue("target")),
		Name:     r.FormValue("name"),
		Withdraw: r.FormValue("action") == "withdraw",
	}
	err := setTimes(&m, r)
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
		s.done(w, r, res.Index)
	}
}

// setTimes reads the start and the end of a stop; empty ones mean at once and open.
func setTimes(m *drain.Mark, r *http.Request) error {
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

// report serves the burn report of all hosts as a page.
func (s *Server) report(w http.ResponseWriter, r *http.Request) {
	book := burn.New(s.host.Settings.Objectives)
	out := plot.Report{At: time.Now(), Period: book.Period(), Width: book.Width()}
	for _, a := range askHosts[Burn](r, s.host.Settings.Hosts, "/admin/burn") {
		if !a.Known {
			out.Silent = append(out.Silent, a.Name)
		}
		book.Merge(a.Answer.Series)
	}
	out.Lines = book.Report(out.At.Unix())
	w.Header().Set("Content-Type", "text/html; charset=utf-8")
	if err := plot.Write(w, out); err != nil {
		s.Log.WithError(err).Warn("report")
	}
}
