package matrix_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"shallotgap/fakes/matrix"
)

// All cells are there, none twice: every fault at every step, once and twice in a row, and the named pairs.
func TestMatrixIsWhole(t *testing.T) {
	want := map[string]bool{}
	for _, s := range matrix.Steps {
		for _, f := range matrix.Faults {
			want[string(s)+"/"+string(f)] = true
			want[string(s)+"/"+string(f)+"/"+string(f)] = true
		}
		for _, p := range matrix.Pairs {
			want[string(s)+"/"+string(p[0])+"/"+string(p[1])] = true
		}
	}
	for _, c := range matrix.Cells() {
		assert.Assert(t, want[c.String()], "cell %s stands twice or is unknown", c)
		delete(want, c.String())
	}
	assert.Equal(t, len(want), 0, "missing cells: %v", want)
}

// check runs a cell.
func check(t *testing.T, c matrix.Cell) {
	t.Helper()
	t.Parallel()
	r := matrix.Run(c)
	t.Log(r)
	assert.Equal(t, len(r.Violations), 0, "%v", r.Violations)
}

// One cell of each step, also under the race detector; see cells_test.go for all of them.
func TestPromisesHoldAtEachStep(t *testing.T) {
	for n, s := range matrix.Steps {
		c := matrix.Cell{Step: s, Faults: []matrix.Fault{matrix.Faults[n%len(matrix.Faults)]}}
		t.Run(c.String(), func(t *testing.T) { check(t, c) })
	}
}
