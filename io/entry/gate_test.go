package entry_test

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"

	"shallotgap/core/work"
	"shallotgap/io/entry"
	"shallotgap/io/token"
)

// tokens returns a set with one token for each kind of client.
func tokens(t *testing.T) token.Set {
	t.Helper()
	list := func(name string) *token.List {
		file := filepath.Join(t.TempDir(), name)
		assert.NilError(t, os.WriteFile(file, []byte(name+" secret-of-"+name+"-0000\n"), 0o600))
		l, err := token.Read(file)
		assert.NilError(t, err)
		return l
	}
	return token.Set{Callers: list("zahlwerk"), Operators: list("operator"), Endpoints: list("endpoint"), Peers: list("peer")}
}

// A token is accepted only on the paths of its kind of client, and the token of a caller determines the workspace.
func TestTokenIsValidOnlyOnItsPaths(t *testing.T) {
	cases := map[string]struct {
		path, bearer, workspace string
		want                    int
		wantWorkspace           string
	}{
		"caller":                         {path: "/v1/completions", bearer: "zahlwerk", want: 200, wantWorkspace: "zahlwerk"},
		"caller names another workspace": {path: "/v1/requests/k", bearer: "zahlwerk", workspace: "mungitura", want: 200, wantWorkspace: "zahlwerk"},
		"caller reads the table":         {path: "/admin/table", bearer: "zahlwerk", want: 401},
		"caller announces":               {path: "/v1/endpoints", bearer: "zahlwerk", want: 401},
		"operator":                       {path: "/admin/table", bearer: "operator", want: 200},
		"operator calls a service":       {path: "/services/payments/release", bearer: "operator", want: 401},
		"endpoint":                       {path: "/v1/endpoints", bearer: "endpoint", want: 200},
		"peer sends a completion":        {path: "/v1/completions", bearer: "peer", want: 401},
		"no token":                       {path: "/v1/entries", want: 401},
	}
	set := tokens(t)
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var workspace string
			g := &entry.Gate{Tokens: set, Next: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
				workspace = r.Header.Get(entry.WorkspaceHeader)
			})}
			r := httptest.NewRequest(http.MethodPost, c.path, nil)
			if c.bearer != "" {
				r.Header.Set("Authorization", "Bearer secret-of-"+c.bearer+"-0000")
			}
			if c.workspace != "" {
				r.Header.Set(entry.WorkspaceHeader, c.workspace)
			}
			w := httptest.NewRecorder()
			g.ServeHTTP(w, r)
			assert.Equal(t, w.Code, c.want)
			assert.Equal(t, workspace, c.wantWorkspace)
		})
	}
}

// A workspace at its limit of open requests is rejected while another workspace is served.
func TestGateLimitsOpenRequests(t *testing.T) {
	entered, release := make(chan struct{}), make(chan struct{})
	g := &entry.Gate{Next: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if r.Header.Get(entry.WorkspaceHeader) == "busy" {
			entered <- struct{}{}
			<-release
		}
	})}
	send := func(workspace string) *httptest.ResponseRecorder {
		r := httptest.NewRequest(http.MethodPost, "/v1/completions", nil)
		r.Header.Set(entry.WorkspaceHeader, workspace)
		w := httptest.NewRecorder()
		g.ServeHTTP(w, r)
		return w
	}
	const maxOpenPerWorkspace = 1024
	for range maxOpenPerWorkspace {
		go send("busy")
		<-entered
	}
	rejected := send("busy")
	var body work.Refusal
	assert.NilError(t, json.Unmarshal(rejected.Body.Bytes(), &body))
	assert.Equal(t, rejected.Code, http.StatusTooManyRequests)
	assert.Equal(t, body.Outcome, work.NotRun)
	assert.Assert(t, rejected.Header().Get("Retry-After") != "")
	assert.Equal(t, send("other").Code, http.StatusOK)
	close(release)
}
