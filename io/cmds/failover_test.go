package cmds

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"shallotgap/core/ident"
	"shallotgap/core/rows"
	"shallotgap/core/state"
	"shallotgap/io/admin"
)

// An operator's edit must be answered while the first of the given hosts hangs or its responses are lost.
func TestEditWhileFirstHostStandsStill(t *testing.T) {
	ended := make(chan struct{}) // a handler that has not read the body does not notice that the client has left
	t.Cleanup(func() { close(ended) })
	cases := map[string]struct {
		first http.HandlerFunc
		code  Code
		edits int // edits that reached a host, the resent ones included
	}{
		"the first stands still":         {first: func(http.ResponseWriter, *http.Request) { <-ended }, code: OK, edits: 1},
		"its answer to the edit is lost": {first: loseAnswers, code: OK, edits: 2},
		"it has no leader":               {first: func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) }, code: OK, edits: 1},
		"it refuses the edit":            {first: func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusForbidden) }, code: Failed},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var mu sync.Mutex
			var ids []ident.EditID
			record := func(r *http.Request) {
				var e rows.Edit
				if r.Method == http.MethodPost && json.NewDecoder(r.Body).Decode(&e) == nil {
					mu.Lock()
					defer mu.Unlock()
					ids = append(ids, e.ID)
				}
			}
			first := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if name == "its answer to the edit is lost" {
					record(r)
				}
				c.first(w, r)
			}))
			t.Cleanup(first.CloseClientConnections)
			second := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				record(r)
				if r.Method == http.MethodGet {
					_ = json.NewEncoder(w).Encode(admin.Table{})
					return
				}
				_ = json.NewEncoder(w).Encode(state.Result{Index: 7, Edit: &rows.Result{Verdict: rows.Accepted, Index: 7}})
			}))
			t.Cleanup(second.Close)
			var out bytes.Buffer
			code := Run([]string{"table", "put", "dairy", "udder@v1", "--entry", first.URL + "," + second.URL}, &out, &out)
			assert.Equal(t, Code(code), c.code, out.String())
			mu.Lock()
			defer mu.Unlock()
			assert.Equal(t, len(ids), c.edits)
			for _, id := range ids {
				assert.Equal(t, id, ids[0]) // an edit with the same id takes effect once
			}
		})
	}
}

// loseAnswers answers reads, and closes the connection of an edit without an answer.
func loseAnswers(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodGet {
		_ = json.NewEncoder(w).Encode(admin.Table{})
		return
	}
	panic(http.ErrAbortHandler)
}
