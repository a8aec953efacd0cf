// Package entry serves callers and endpoints over HTTP: addresses of entry hosts, the OpenAI-compatible API, plain
// services, the state of requests with an idempotency key, and announcements of endpoints.
package entry

import (
	"encoding/json"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"shallotgap/core/ident"
	"shallotgap/core/lease"
	"shallotgap/core/rows"
	"shallotgap/core/work"
	"shallotgap/core/world"
	"shallotgap/io/conf"
	"shallotgap/io/host"
	"shallotgap/io/logs"
)

// Headers that callers may send.
const (
	WorkspaceHeader = "Shallotgap-Workspace"
	TimeoutHeader   = "Shallotgap-Timeout"  // a duration with its unit, such as 30s
	UrgencyHeader   = "Shallotgap-Urgency"  // bulk, normal or urgent
	DeadlineHeader  = "Shallotgap-Deadline" // an RFC 3339 time when the idempotency key expires, the same in every resend
	RequestHeader   = "Shallotgap-Request"  // in answers: the request ID
	KeyHeader       = "Idempotency-Key"
)

// Limits on a caller's request.
const (
	maxBody         = 8 << 20 // bytes
	defaultTimeout  = 60 * time.Second
	maxTimeout      = 10 * time.Minute
	maxAnnouncement = 16 << 10 // bytes
	maxKey          = 200      // bytes of an Idempotency-Key
	maxKeyLife      = 30 * 24 * time.Hour
	readTimeout     = 30 * time.Second // for a caller to send its body
	writeTimeout    = 30 * time.Second // for a caller to read one chunk of its answer
)

// DefaultWorkspace is used for requests that name no workspace, where no tokens are configured.
const DefaultWorkspace = ident.Workspace("default")

// Server serves callers and endpoints over HTTP.
type Server struct {
	logs.Common
	host     *host.Host
	settings conf.Settings
	// queries counts address queries; the count rotates the order of equally good hosts, to spread callers over them.
	queries atomic.Uint64
	// ending is closed when the host ends the requests that still run.
	ending chan struct{}
}

// New returns a server for the host h.
func New(common logs.Common, h *host.Host) *Server {
	return &Server{Common: common, host: h, settings: h.Settings, ending: make(chan struct{})}
}

// EndRequests ends all requests that still run with an answer that says so, as the host is about to end. It must be called once only.
func (s *Server) EndRequests() { close(s.ending) }

// Register adds the server's routes to mux.
func (s *Server) Register(mux *http.ServeMux) {
	mux.HandleFunc("GET /v1/entries", s.entries)
	mux.HandleFunc("GET /v1/models", s.models)
	mux.HandleFunc("POST /v1/chat/completions", s.complete)
	mux.HandleFunc("POST /v1/completions", s.complete)
	mux.HandleFunc("/services/{name}/", s.service)
	mux.HandleFunc("GET /v1/requests/{key}", s.keyStatus)
	mux.HandleFunc("POST /v1/endpoints", s.announce)
	mux.HandleFunc("DELETE /v1/endpoints/{id}", s.leave)
}

// modelList is the OpenAI-compatible form of GET /v1/models.
type modelList struct {
	Object string      `json:"object"`
	Data   []modelItem `json:"data"`
}

type modelItem struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
}

// models serves GET /v1/models: the current and previous versions of the adapters of the workspace.
func (s *Server) models(w http.ResponseWriter, r *http.Request) {
	out := modelList{Object: "list", Data: []modelItem{}}
	workspace := s.workspace(r)
	err := s.host.View(r.Context(), func(v *world.World) {
		for _, row := range v.State().Rows.List() {
			if row.Workspace == workspace {
				out.Data = append(out.Data, modelItems(row)...)
			}
		}
	})
	if err == nil {
		writeJSON(w, http.StatusOK, out)
	}
}

func modelItems(row rows.Row) []modelItem {
	var list []modelItem
	for _, v := range []ident.Version{row.Version, row.Previous} {
		if v != "" {
			m := ident.Model{Adapter: row.Adapter, Version: v}
			list = append(list, modelItem{ID: m.String(), Object: "model", OwnedBy: string(row.Workspace)})
		}
	}
	return list
}

// workspace returns the workspace that a request belongs to.
func (s *Server) workspace(r *http.Request) ident.Workspace {
	if name := r.Header.Get(WorkspaceHeader); name != "" {
		return ident.Workspace(name)
	}
	return DefaultWorkspace
}

// Announced is the answer to an announcement: the URL of the host to send the next announcement to.
type Announced struct {
	Owner string `json:"owner,omitempty"`
}

// announce serves POST /v1/endpoints, by which an endpoint announces its address and state.
func (s *Server) announce(w http.ResponseWriter, r *http.Request) {
	var e lease.Endpoint
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxAnnouncement)).Decode(&e)
	if err == nil {
		err = e.Check()
	}
	if err != nil {
		writeProblem(w, http.StatusBadRequest, work.Refusal{Outcome: work.NotRun, Reason: "bad-announcement", Step: "announce", Detail: err.Error()})
		return
	}
	s.host.Announce(e)
	s.writeOwner(w, r, e.ID)
}

// leave serves DELETE /v1/endpoints/ID, by which an endpoint announces that it shuts down gracefully. The query may name its instance.
func (s *Server) leave(w http.ResponseWriter, r *http.Request) {
	id := ident.EndpointID(r.PathValue("id"))
	instance, err := instanceOf(r)
	if err != nil {
		writeProblem(w, http.StatusBadRequest, work.Refusal{Outcome: work.NotRun, Reason: "bad-instance", Step: "leave", Detail: err.Error()})
		return
	}
	var e lease.Owned
	var known bool
	err = s.host.View(r.Context(), func(v *world.World) { e, known = v.State().Owners.Get(id) })
	if err != nil {
		return
	}
	if !known {
		writeProblem(w, http.StatusNotFound, work.Refusal{Outcome: work.NotRun, Reason: "unknown-endpoint", Step: "leave"})
		return
	}
	leaves, err := e.Leaver(instance, time.Now().Unix())
	if err != nil {
		writeProblem(w, http.StatusConflict, work.Refusal{Outcome: work.NotRun, Reason: "unclear-instance", Step: "leave", Detail: err.Error()})
		return
	}
	if leaves {
		e.Leaving = true
		s.host.Announce(e.Endpoint)
	}
	s.writeOwner(w, r, id)
}

// instanceOf returns the instance that the query of a request names, 0 for none.
func instanceOf(r *http.Request) (ident.Incarnation, error) {
	text := r.URL.Query().Get("instance")
	if text == "" {
		return 0, nil
	}
	n, err := strconv.ParseUint(text, 10, 64)
	return ident.Incarnation(n), err
}

// writeOwner answers with the URL of the host that owns an endpoint.
func (s *Server) writeOwner(w http.ResponseWriter, r *http.Request, id ident.EndpointID) {
	var owner ident.HostID
	err := s.host.View(r.Context(), func(v *world.World) {
		e, _ := v.State().Owners.Get(id)
		owner = e.Owner
	})
	if err != nil {
		return
	}
	out := Announced{}
	for _, h := range s.settings.Hosts {
		if h.Name == owner {
			out.Owner = "http://" + h.Listen
		}
	}
	writeJSON(w, http.StatusOK, out)
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

// writeProblem answers with a rejection in the form application/problem+json.
func writeProblem(w http.ResponseWriter, status int, r work.Refusal) {
	w.Header().Set("Content-Type", "application/problem+json")
	if r.RetryAfter > 0 {
		seconds := int((r.RetryAfter + time.Second - 1) / time.Second)
		w.Header().Set("Retry-After", strconv.Itoa(seconds))
	}
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(newProblem(status, r))
}
