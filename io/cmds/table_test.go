package cmds

import (
	"reflect"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"shallotgap/core/rows"
)

// Every field of a row is a column, so that an export holds the whole row.
func TestEveryFieldOfARowIsAColumn(t *testing.T) {
	known := map[string]bool{}
	for _, c := range columns {
		known[c] = true
	}
	kind := reflect.TypeFor[rows.Row]()
	for n := range kind.NumField() {
		name, _, _ := strings.Cut(kind.Field(n).Tag.Get("json"), ",")
		assert.Assert(t, known[name], "the field %s is no column", name)
	}
	assert.Equal(t, len(columns), kind.NumField())
}

// What a row's cells say, setCell reads.
func TestCellsAreReadAsTheyAreWritten(t *testing.T) {
	want := rows.Row{Workspace: "w", Adapter: "a", Version: "v2", Previous: "v1", Base: "large", Weight: 3, MaxRunning: 4, MaxRate: 5, RowVersion: 6}
	var got rows.Row
	for n, text := range cells(&want) {
		assert.NilError(t, setCell(&got, columns[n], text))
	}
	assert.DeepEqual(t, got, want)
}
