package reach

import (
	"io"
	"net/http"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"shallotgap/core/reach"
	"shallotgap/io/dial"
)

// A relay must not send a request again on the connection on which it was refused: the endpoint may write the refusal once more.
func TestRelayUsesNewConnectionAfterRefusal(t *testing.T) {
	cases := map[string]struct {
		first, second string // request ids
		opened        int64  // connections of the relay to the endpoint
	}{
		"the same request":                  {first: "a", second: "a", opened: 2},
		"another request":                   {first: "a", second: "b", opened: 1},
		"from a host of an earlier version": {opened: 2},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var calls atomic.Int32
			e := newEndpoint(t, "e1", func(w http.ResponseWriter, _ *http.Request) {
				if calls.Add(1) == 1 {
					w.WriteHeader(http.StatusServiceUnavailable)
				}
			})
			withPath, address := newClient(t, nil)
			withoutPath, _ := newClient(t, refused)
			withoutPath.SetRelays([]reach.Relay{address})
			for _, id := range []string{c.first, c.second} {
				r := e.request("hello")
				build := r.Build
				r.Build = func() dial.Request { b := build(); b.ID = id; return b }
				resp, err := withoutPath.Do(t.Context(), r)
				assert.NilError(t, err)
				_, err = io.Copy(io.Discard, resp)
				assert.NilError(t, err)
				resp.Finish()
			}
			opened, _ := withPath.Counts()
			assert.Equal(t, opened, c.opened)
		})
	}
}
