package entry

import (
	"net/http"

	"shallotgap/core/ident"
	"shallotgap/core/work"
	"shallotgap/core/world"
)

// Entries is the answer to GET /v1/entries: the addresses of entry hosts, best first. The caller may use them for
// LifetimeMS milliseconds.
type Entries struct {
	Entries    []Address `json:"entries"`
	LifetimeMS int64     `json:"lifetime-ms"`
}

// Address is the address of one entry host.
type Address struct {
	Host   ident.HostID   `json:"host"`
	URL    string         `json:"url"`
	Domain ident.DomainID `json:"domain"`
}

// entries serves GET /v1/entries?domain=D&model=A@V&service=S; all parameters are optional.
func (s *Server) entries(w http.ResponseWriter, r *http.Request) {
	q, err := s.entryQuery(r)
	if err != nil {
		writeBadRequest(w, "bad-model")
		return
	}
	var hosts []ident.HostID
	serving := false
	read := func(v *world.World) { hosts, serving = v.Entries(q), v.Serving() }
	if s.host.View(r.Context(), read) != nil {
		return
	}
	if !serving {
		// Without a lease, this host may not know of planned stops; the caller must ask another host.
		writeProblem(w, http.StatusServiceUnavailable, work.Refusal{Outcome: work.NotRun, Reason: work.NoLease, Step: "entries", RetryAfter: world.DefaultRetryAfter})
		return
	}
	out := Entries{Entries: []Address{}, LifetimeMS: s.settings.EntryLife.Milliseconds()}
	for _, name := range hosts {
		for _, h := range s.settings.Hosts {
			if h.Name == name {
				out.Entries = append(out.Entries, Address{Host: h.Name, URL: "http://" + h.Listen, Domain: h.Domain})
			}
		}
	}
	writeJSON(w, http.StatusOK, out)
}

// entryQuery parses the parameters of GET /v1/entries. Without the parameter domain, the domain is that of this host.
func (s *Server) entryQuery(r *http.Request) (world.EntryQuery, error) {
	values := r.URL.Query()
	q := world.EntryQuery{Domain: ident.DomainID(values.Get("domain")), Spread: int(s.queries.Add(1) % maxSpread)}
	if q.Domain == "" {
		q.Domain = s.settings.Domain
	}
	if name := values.Get("service"); name != "" {
		q.Request = &work.Request{Workspace: s.workspace(r), Service: ident.Service(name)}
	}
	if name := values.Get("model"); name != "" {
		m, err := ident.ParseModel(name)
		if err != nil {
			return q, err
		}
		q.Request = &work.Request{Workspace: s.workspace(r), Model: m}
	}
	return q, nil
}

// maxSpread bounds the offset by which the order of equally good hosts is rotated.
const maxSpread = 1 << 20
