// Package admin serves the operators' HTTP API and web page: the table of rows, planned stops, status, the decisions on a
// request, the burn report and metrics.
package admin

import (
	"encoding/json"
	"net/http"
	"strconv"

	"shallotgap/core/drain"
	"shallotgap/core/ident"
	"shallotgap/core/limit"
	"shallotgap/core/poison"
	"shallotgap/core/rows"
	"shallotgap/core/state"
	"shallotgap/core/world"
	"shallotgap/io/host"
	"shallotgap/io/logs"
	"shallotgap/io/texts"
)

// maxBodyBytes is the size limit of an operator's request body.
const maxBodyBytes = 1 << 20

// Server handles operators' requests on one host.
type Server struct {
	logs.Common
	host *host.Host
	// crossOrigin rejects browser requests that come from a page of another site.
	crossOrigin *http.CrossOriginProtection
}

// New returns a server for the operators of host h.
func New(common logs.Common, h *host.Host) *Server {
	c := http.NewCrossOriginProtection()
	c.SetDenyHandler(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		writeProblem(w, http.StatusForbidden, texts.CrossOrigin)
	}))
	return &Server{Common: common, host: h, crossOrigin: c}
}

// Register adds the server's paths to mux.
func (s *Server) Register(mux *http.ServeMux) {
	mux.HandleFunc("GET /admin/table", s.table)
	mux.Handle("POST /admin/table", s.guardWrite(s.edit))
	mux.HandleFunc("GET /admin/history", s.history)
	mux.HandleFunc("GET /admin/stops", s.stops)
	mux.Handle("POST /admin/stops", s.guardWrite(s.mark))
	mux.HandleFunc("GET /admin/poison", s.poison)
	mux.HandleFunc("GET /admin/limits", s.limits)
	mux.Handle("DELETE /admin/poison/{part}", s.guardWrite(s.liftPoison))
	mux.HandleFunc("GET /admin/hosts", s.hosts)
	mux.HandleFunc("GET /admin/status", s.status)
	mux.HandleFunc("GET /admin/explain/{id}", s.explain)
	mux.HandleFunc("GET /admin/burn", s.burn)
	mux.HandleFunc("GET /metrics", s.metrics)
	mux.HandleFunc("GET /admin/{$}", s.page)
	mux.HandleFunc("GET /admin/report", s.report)
	mux.Handle("POST /admin/rows", s.guardWrite(s.saveRow))
	mux.Handle("POST /admin/marks", s.guardWrite(s.saveStop))
}

// guardWrite wraps a handler that changes state: it rejects cross-origin requests and bodies above maxBodyBytes.
func (s *Server) guardWrite(h http.HandlerFunc) http.Handler {
	return s.crossOrigin.Handler(http.MaxBytesHandler(h, maxBodyBytes))
}

// Table is one page of the operators' table, read at log index Index.
type Table struct {
	Index ident.Index `json:"index"`
	Rows  []rows.Row  `json:"rows"`
	// Next is the last key of this page; empty if no rows follow. The next page is requested with after=Next.
	Next rows.RowKey `json:"next,omitempty"`
}

// table serves GET /admin/table. The query selects one row (key=WORKSPACE/ADAPTER), or a page of rows by workspace,
// find, after and limit.
func (s *Server) table(w http.ResponseWriter, r *http.Request) {
	key := rows.RowKey(r.URL.Query().Get("key"))
	q := parseQuery(r)
	out := Table{Rows: []rows.Row{}}
	s.writeView(w, r, &out, func(v *world.World) {
		out.Index = v.State().Applied
		if key != "" {
			if row, ok := v.State().Rows.Get(key); ok {
				out.Rows = append(out.Rows, row)
			}
			return
		}
		list, next := v.State().Rows.Search(q)
		out.Rows, out.Next = append(out.Rows, list...), next
	})
}

// parseQuery returns the row filter in a URL's query. A missing or malformed limit means no limit.
func parseQuery(r *http.Request) rows.Query {
	v := r.URL.Query()
	limit, _ := strconv.Atoi(v.Get("limit"))
	return rows.Query{
		Workspace: ident.Workspace(v.Get("workspace")),
		Text:      v.Get("find"),
		After:     rows.RowKey(v.Get("after")),
		Limit:     limit,
	}
}

// history serves GET /admin/history?key=WORKSPACE/ADAPTER: the row's changes, or all changes without a key, oldest first.
func (s *Server) history(w http.ResponseWriter, r *http.Request) {
	key := rows.RowKey(r.URL.Query().Get("key"))
	out := []rows.Change{}
	s.writeView(w, r, &out, func(v *world.World) {
		for _, c := range v.State().Rows.History() {
			if key == "" || c.Edit.Key == key {
				out = append(out, c)
			}
		}
	})
}

// writeView runs fill, which sets out, on the host's event loop and writes out as JSON.
func (s *Server) writeView(w http.ResponseWriter, r *http.Request, out any, fill func(*world.World)) {
	if err := s.host.View(r.Context(), fill); err != nil {
		writeProblem(w, http.StatusServiceUnavailable, err.Error())
		return
	}
	writeJSON(w, http.StatusOK, out)
}

func (s *Server) edit(w http.ResponseWriter, r *http.Request) {
	var e rows.Edit
	if !readJSON(w, r, &e) {
		return
	}
	s.propose(w, r, state.Command{Edit: &e})
}

func (s *Server) mark(w http.ResponseWriter, r *http.Request) {
	var m drain.Mark
	if !readJSON(w, r, &m) {
		return
	}
	s.propose(w, r, state.Command{Mark: &m})
}

// propose replicates a command and writes its result; the status is 503 if the command failed or its outcome is unknown.
func (s *Server) propose(w http.ResponseWriter, r *http.Request, c state.Command) {
	res, err := s.host.Propose(r.Context(), c)
	if err != nil {
		res.Err = err.Error()
	}
	code := http.StatusOK
	if res.Err != "" {
		code = http.StatusServiceUnavailable
	}
	writeJSON(w, code, res)
}

func (s *Server) stops(w http.ResponseWriter, r *http.Request) {
	out := []drain.Stop{}
	s.writeView(w, r, &out, func(v *world.World) { out = append(out, v.State().Stops.List()...) })
}

// poison serves GET /admin/poison: the contents of requests that are suspected to crash endpoints or blocked for it.
func (s *Server) poison(w http.ResponseWriter, r *http.Request) {
	out := []poison.Listed{}
	s.writeView(w, r, &out, func(v *world.World) { out = poison.ListRecords(v.State().Poison.List()) })
}

// limits serves GET /admin/limits: the limits that endpoints ask for.
func (s *Server) limits(w http.ResponseWriter, r *http.Request) {
	out := []limit.Listed{}
	s.writeView(w, r, &out, func(v *world.World) { out = limit.ListRecords(v.State().Limits.List()) })
}

// liftPoison serves DELETE /admin/poison/{part}.
func (s *Server) liftPoison(w http.ResponseWriter, r *http.Request) {
	s.propose(w, r, state.Command{Poison: &poison.Command{Lift: poison.Part(r.PathValue("part"))}})
}

// Host describes an entry host named in the settings.
type Host struct {
	Host   ident.HostID   `json:"host"`
	URL    string         `json:"url"`
	Domain ident.DomainID `json:"domain"`
	Disk   bool           `json:"disk"`
}

// hosts serves GET /admin/hosts: all entry hosts in the settings, including those that are stopping or down.
func (s *Server) hosts(w http.ResponseWriter, _ *http.Request) {
	out := []Host{}
	for _, h := range s.host.Settings.Hosts {
		out = append(out, Host{Host: h.Name, URL: "http://" + h.Listen, Domain: h.Domain, Disk: h.Disk})
	}
	writeJSON(w, http.StatusOK, out)
}

// Status is one host's view of the system.
type Status struct {
	world.Overview
}

func (s *Server) status(w http.ResponseWriter, r *http.Request) {
	var out Status
	s.writeView(w, r, &out, func(v *world.World) { out.Overview = v.Overview() })
}

// explain serves GET /admin/explain/{id}: this host's decisions on a request.
func (s *Server) explain(w http.ResponseWriter, r *http.Request) {
	id, err := ident.ParseRequestID(r.PathValue("id"))
	if err != nil {
		writeProblem(w, http.StatusBadRequest, err.Error())
		return
	}
	notes := s.host.Notes(id)
	if notes == nil {
		notes = []host.Note{}
	}
	writeJSON(w, http.StatusOK, notes)
}

// readJSON decodes the request body into v; on failure it writes an error and returns false.
func readJSON(w http.ResponseWriter, r *http.Request, v any) bool {
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(v); err != nil {
		writeProblem(w, http.StatusBadRequest, "bad JSON: "+err.Error())
		return false
	}
	return true
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
