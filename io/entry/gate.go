package entry

import (
	"net/http"
	"strings"
	"sync"

	"shallotgap/core/work"
	"shallotgap/core/world"
	"shallotgap/io/token"
)

// Limits on requests that are open at the same time.
const (
	maxOpenRequests     = 4096 // at this host
	maxOpenPerWorkspace = 1024 // of one workspace at this host
)

// Gate is the admission control of an entry host. It checks tokens, where they are configured, and limits the number of
// requests that are open at the same time, at the host and for each workspace.
type Gate struct {
	Next   http.Handler
	Tokens token.Set

	mu           sync.Mutex
	open         int            // open requests at this host
	perWorkspace map[string]int // open requests at this host by workspace
}

var _ http.Handler = (*Gate)(nil)

// ServeHTTP passes an admitted request to Next and rejects any other.
func (g *Gate) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	list := g.Tokens.ForPath(r.URL.Path)
	name, ok := list.Check(r)
	if !ok {
		w.Header().Set("WWW-Authenticate", "Bearer")
		if list == g.Tokens.Operators {
			// Makes a browser prompt for the token, as the password, on the web page for operators.
			w.Header().Add("WWW-Authenticate", `Basic realm="shallotgap operators"`)
		}
		writeProblem(w, http.StatusUnauthorized, work.Refusal{Outcome: work.NotRun, Reason: work.WrongToken, Step: "admit"})
		return
	}
	if list != nil && list == g.Tokens.Callers {
		// The token determines the workspace; a workspace header from the caller is overwritten.
		r.Header.Set(WorkspaceHeader, name)
	}
	if !limited(r.URL.Path) {
		g.Next.ServeHTTP(w, r)
		return
	}
	workspace := r.Header.Get(WorkspaceHeader)
	if !g.admit(workspace) {
		writeProblem(w, http.StatusTooManyRequests, work.Refusal{Outcome: work.NotRun, Reason: work.Overload, Step: "admit", RetryAfter: world.DefaultRetryAfter})
		return
	}
	defer g.release(workspace)
	g.Next.ServeHTTP(w, r)
}

// limited reports whether requests for a path count against the limits. Status queries and operators' edits do not, so
// that they still work during an overload.
func limited(path string) bool {
	return strings.HasPrefix(path, "/services/") || strings.HasSuffix(path, "/completions")
}

// admit counts a request as open, or returns false if a limit is reached.
func (g *Gate) admit(workspace string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.open >= maxOpenRequests || g.perWorkspace[workspace] >= maxOpenPerWorkspace {
		return false
	}
	if g.perWorkspace == nil {
		g.perWorkspace = map[string]int{}
	}
	g.open++
	g.perWorkspace[workspace]++
	return true
}

// release removes a request from the count of open requests.
func (g *Gate) release(workspace string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.open--
	g.perWorkspace[workspace]--
	if g.perWorkspace[workspace] == 0 {
		delete(g.perWorkspace, workspace)
	}
}
