package site

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"shallotgap/core/burn"
	"shallotgap/core/ident"
	"shallotgap/io/clock"
	"shallotgap/io/logs"
	"shallotgap/io/metric"
)

// The log must tell a call that waited unread on its connection from one that was answered late.
func TestSlowCallsAreLogged(t *testing.T) {
	cases := map[string]struct {
		acceptedBefore ident.Time // how long before the call the connection was accepted
		reused         bool       // whether the connection has carried a call before
		want           string
	}{
		"read at once":           {},
		"unread for a second":    {acceptedBefore: ident.Time(4 * slowCall), want: "waited=1"},
		"idle between two calls": {acceptedBefore: ident.Time(4 * slowCall), reused: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var out bytes.Buffer
			common, err := logs.New(&out, "c1", "info")
			assert.NilError(t, err)
			h := &host{Common: common, meter: metric.New(burn.Targets{})}
			server := h.measuredServer(http.NotFoundHandler())
			r := httptest.NewRequest(http.MethodGet, "/x", nil)
			ctx := server.ConnContext(r.Context(), nil)
			conn, ok := ctx.Value(acceptedConnKey{}).(*acceptedConn)
			assert.Assert(t, ok)
			conn.at = clock.Boot() - c.acceptedBefore
			conn.used.Store(c.reused)
			server.Handler.ServeHTTP(httptest.NewRecorder(), r.WithContext(ctx))
			assert.Equal(t, strings.Contains(out.String(), "slow-call"), c.want != "", out.String())
			assert.Assert(t, strings.Contains(out.String(), c.want), out.String())
		})
	}
}
