package reach

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"testing"

	"gotest.tools/v3/assert"

	"shallotgap/core/wire"
)

// A relayed request of any bytes must not end the relay; one that names no address to connect to is answered.
func FuzzRelayed(f *testing.F) {
	data, err := wire.Marshal(relayed{Method: "GET", Path: "/x", MaxIdle: -1})
	assert.NilError(f, err)
	f.Add(data)
	f.Add([]byte{0xbf, 0xff})
	f.Fuzz(func(t *testing.T, data []byte) {
		var m relayed
		if wire.Unmarshal(data, &m) == nil && m.Address != "" {
			return // would connect to it
		}
		c, _ := newClient(t, refused)
		c.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodPost, "/relay", bytes.NewReader(data)))
	})
}
