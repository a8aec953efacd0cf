package entry

import (
	"encoding/json"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"shallotgap/core/claim"
	"shallotgap/core/ident"
	"shallotgap/core/work"
)

// The body names the unit of a duration in the field name, and reveals only the state and the ID of an earlier request.
func TestProblemHidesEarlierRequest(t *testing.T) {
	record := claim.Record{Open: claim.Open{Name: claim.Name{Workspace: "w", Key: "k"}, Request: ident.RequestID{Host: "e1", Incarnation: 1, Seq: 2}}, State: claim.Claimed}
	r := work.Refusal{Outcome: work.InDoubt, Reason: work.KeyRunning, Step: "claim", RetryAfter: 2 * time.Second, Record: &record}
	got, err := json.Marshal(newProblem(http.StatusConflict, r))
	assert.NilError(t, err)
	assert.Equal(t, string(got), `{"type":"about:blank","title":"The request with this Idempotency-Key was accepted before; ask for its state.","status":409,`+
		`"outcome":"in-doubt","reason":"key-running","step":"claim","retry-after-ms":2000,"state":"claimed","request":"e1.1.2"}`)
}
