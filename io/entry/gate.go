package entry

import (
	"net/http"
	"strings"
	"sync"

	"shallotgap/core/work"
	"shallotgap/core/world"
	"shallotgap/io/token"
)

// Bounds of the requests that are open at once.
const (
	maxOpen          = 4096 // at this host
	maxOpenWorkspace = 1024 // of one workspace at this host
)

// Gate lets requests in: those with a token, where tokens are set, and no more at once than the limits allow.
type Gate struct {
	Next   http.Handler
	Tokens token.Set

	mu     sync.Mutex
	open   int
	spaces map[string]int
}

var _ http.Handler = (*Gate)(nil)

// ServeHTTP passes a request on or refuses it.
func (g *Gate) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	list := g.Tokens.ForPath(r.URL.Path)
	name, ok := list.Check(r)
	if !ok {
		w.Header().Set("WWW-Authenticate", "Bearer")
		if list == g.Tokens.Operators {
			// Lets a browser ask for the token, as the password, for the web page.
			w.Header().Add("WWW-Authenticate", `Basic realm="shallotgap operators"`)
		}
		problem(w, http.StatusUnauthorized, work.Refusal{Outcome: work.NotRun, Reason: work.WrongToken, Step: "admit"})
		return
	}
	if list != nil && list == g.Tokens.Callers {
		// The token alone decides on the workspace.
		r.Header.Set(WorkspaceHeader, name)
	}
	if !counted(r.URL.Path) {
		g.Next.ServeHTTP(w, r)
		return
	}
	space := r.Header.Get(WorkspaceHeader)
	if !g.enter(space) {
		problem(w, http.StatusTooManyRequests, work.Refusal{Outcome: work.NotRun, Reason: work.Overload, Step: "admit", RetryAfter: world.DefaultRetryAfter})
		return
	}
	defer g.leave(space)
	g.Next.ServeHTTP(w, r)
}

// counted reports whether a path carries work, as against questions and orders that must pass an overload.
func counted(path string) bool {
	return strings.HasPrefix(path, "/services/") || strings.HasSuffix(path, "/completions")
}

func (g *Gate) enter(space string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.open >= maxOpen || g.spaces[space] >= maxOpenWorkspace {
		return false
	}
	if g.spaces == nil {
		g.spaces = map[string]int{}
	}
	g.open++
	g.spaces[space]++
	return true
}

func (g *Gate) leave(space string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.open--
	g.spaces[space]--
	if g.spaces[space] == 0 {
		delete(g.spaces, space)
	}
}
