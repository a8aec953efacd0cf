package cmds

import (
	"reflect"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"shallotgap/core/rows"
)

// An export contains the whole row only if every field of a row has a column.
func TestEveryRowFieldHasAColumn(t *testing.T) {
	known := map[string]bool{}
	for _, c := range columns {
		known[c] = true
	}
	rowType := reflect.TypeFor[rows.Row]()
	for n := range rowType.NumField() {
		name, _, _ := strings.Cut(rowType.Field(n).Tag.Get("json"), ",")
		assert.Assert(t, known[name], "field %s has no column", name)
	}
	assert.Equal(t, len(columns), rowType.NumField())
}

// setCell parses the text that cells returns.
func TestCellsRoundTrip(t *testing.T) {
	want := rows.Row{Workspace: "w", Adapter: "a", Version: "v2", Previous: "v1", Base: "large", Weight: 3, MaxRunning: 4, MaxRate: 5, RowVersion: 6}
	var got rows.Row
	for n, text := range cells(&want) {
		assert.NilError(t, setCell(&got, columns[n], text))
	}
	assert.DeepEqual(t, got, want)
}
