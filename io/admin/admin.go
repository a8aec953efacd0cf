// Package admin serves operators over HTTP: the table, planned stops, status, explanations and the web page.
package admin

import (
	"encoding/json"
	"net/http"
	"strconv"

	"shallotgap/core/drain"
	"shallotgap/core/ident"
	"shallotgap/core/rows"
	"shallotgap/core/state"
	"shallotgap/core/world"
	"shallotgap/io/host"
	"shallotgap/io/logs"
	"shallotgap/io/texts"
)

// maxEdit is the largest body of an operator's request in bytes.
const maxEdit = 1 << 20

// Server answers operators.
type Server struct {
	logs.Common
	host *host.Host
	// crossOrigin refuses browsers' requests that another site's page caused.
	crossOrigin *http.CrossOriginProtection
}

// New returns a server in front of h.
func New(common logs.Common, h *host.Host) *Server {
	c := http.NewCrossOriginProtection()
	c.SetDenyHandler(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		fail(w, http.StatusForbidden, texts.CrossOrigin)
	}))
	return &Server{Common: common, host: h, crossOrigin: c}
}

// Register adds the server's paths to mux.
func (s *Server) Register(mux *http.ServeMux) {
	mux.HandleFunc("GET /admin/table", s.table)
	mux.Handle("POST /admin/table", s.form(s.edit))
	mux.HandleFunc("GET /admin/history", s.history)
	mux.HandleFunc("GET /admin/stops", s.stops)
	mux.Handle("POST /admin/stops", s.form(s.mark))
	mux.HandleFunc("GET /admin/hosts", s.hosts)
	mux.HandleFunc("GET /admin/status", s.status)
	mux.HandleFunc("GET /admin/explain/{id}", s.explain)
	mux.HandleFunc("GET /admin/burn", s.burn)
	mux.HandleFunc("GET /metrics", s.metrics)
	mux.HandleFunc("GET /admin/{$}", s.page)
	mux.HandleFunc("GET /admin/report", s.report)
	mux.Handle("POST /admin/rows", s.form(s.saveRow))
	mux.Handle("POST /admin/marks", s.form(s.saveStop))
}

// form guards a handler that changes something against posts from other sites and against large bodies.
func (s *Server) form(h http.HandlerFunc) http.Handler {
	return s.crossOrigin.Handler(http.MaxBytesHandler(h, maxEdit))
}

// Table is the operators' table as of Index.
type Table struct {
	Index ident.Index `json:"index"`
	Rows  []rows.Row  `json:"rows"`
	// Next is the last key of this page if there are more rows.
	Next rows.RowKey `json:"next,omitempty"`
}

// table serves GET /admin/table?key=WORKSPACE/ADAPTER, or the rows that workspace, find, after and limit select.
func (s *Server) table(w http.ResponseWriter, r *http.Request) {
	key := rows.RowKey(r.URL.Query().Get("key"))
	q := queryOf(r)
	out := Table{Rows: []rows.Row{}}
	s.view(w, r, &out, func(v *world.World) {
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

// queryOf reads which rows are wanted; a limit that is no number counts as none.
func queryOf(r *http.Request) rows.Query {
	v := r.URL.Query()
	limit, _ := strconv.Atoi(v.Get("limit"))
	return rows.Query{
		Workspace: ident.Workspace(v.Get("workspace")),
		Text:      v.Get("find"),
		After:     rows.RowKey(v.Get("after")),
		Limit:     limit,
	}
}

// history serves GET /admin/history?key=WORKSPACE/ADAPTER, oldest change first.
func (s *Server) history(w http.ResponseWriter, r *http.Request) {
	key := rows.RowKey(r.URL.Query().Get("key"))
	out := []rows.Change{}
	s.view(w, r, &out, func(v *world.World) {
		for _, c := range v.State().Rows.History() {
			if key == "" || c.Edit.Key == key {
				out = append(out, c)
			}
		}
	})
}

// view fills out in the loop and writes it.
func (s *Server) view(w http.ResponseWriter, r *http.Request, out any, fill func(*world.World)) {
	if err := s.host.View(r.Context(), fill); err != nil {
		fail(w, http.StatusServiceUnavailable, err.Error())
		return
	}
	writeJSON(w, http.StatusOK, out)
}

func (s *Server) edit(w http.ResponseWriter, r *http.Request) {
	var e rows.Edit
	if !read(w, r, &e) {
		return
	}
	s.propose(w, r, state.Command{Edit: &e})
}

func (s *Server) mark(w http.ResponseWriter, r *http.Request) {
	var m drain.Mark
	if !read(w, r, &m) {
		return
	}
	s.propose(w, r, state.Command{Mark: &m})
}

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
	s.view(w, r, &out, func(v *world.World) { out = append(out, v.State().Stops.List()...) })
}

// Host is one entry host as the settings name it.
type Host struct {
	Host   ident.HostID   `json:"host"`
	URL    string         `json:"url"`
	Domain ident.DomainID `json:"domain"`
	Disk   bool           `json:"disk"`
}

// hosts lists all entry hosts, also those that stop or are down.
func (s *Server) hosts(w http.ResponseWriter, _ *http.Request) {
	out := []Host{}
	for _, h := range s.host.Settings.Hosts {
		out = append(out, Host{Host: h.Name, URL: "http://" + h.Listen, Domain: h.Domain, Disk: h.Disk})
	}
	writeJSON(w, http.StatusOK, out)
}

// Status is what one host knows of the system.
type Status struct {
	world.Overview
}

func (s *Server) status(w http.ResponseWriter, r *http.Request) {
	var out Status
	s.view(w, r, &out, func(v *world.World) { out.Overview = v.Overview() })
}

func (s *Server) explain(w http.ResponseWriter, r *http.Request) {
	id, err := ident.ParseRequestID(r.PathValue("id"))
	if err != nil {
		fail(w, http.StatusBadRequest, err.Error())
		return
	}
	notes := s.host.Notes(id)
	if notes == nil {
		notes = []host.Note{}
	}
	writeJSON(w, http.StatusOK, notes)
}

func read(w http.ResponseWriter, r *http.Request, v any) bool {
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxEdit)).Decode(v); err != nil {
		fail(w, http.StatusBadRequest, "bad JSON: "+err.Error())
		return false
	}
	return true
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
