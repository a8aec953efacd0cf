package matrix_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"shallotgap/fakes/matrix"
)

// The matrix holds each expected cell exactly once: at every step each fault, each fault twice in a row, and each pair.
func TestMatrixIsComplete(t *testing.T) {
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
		assert.Assert(t, want[c.String()], "cell %s is duplicated or unexpected", c)
		delete(want, c.String())
	}
	assert.Equal(t, len(want), 0, "missing cells: %v", want)
}

// check runs a cell and fails the test if an invariant is violated.
func check(t *testing.T, c matrix.Cell) {
	t.Helper()
	t.Parallel()
	r := matrix.Run(c)
	t.Log(r)
	assert.Equal(t, len(r.Violations), 0, "%v", r.Violations)
}

// The invariants hold in one cell of each step. This test also runs under the race detector, unlike the test
// of all cells in cells_test.go.
func TestInvariantsHoldAtEachStep(t *testing.T) {
	for n, s := range matrix.Steps {
		c := matrix.Cell{Step: s, Faults: []matrix.Fault{matrix.Faults[n%len(matrix.Faults)]}}
		t.Run(c.String(), func(t *testing.T) { check(t, c) })
	}
}
