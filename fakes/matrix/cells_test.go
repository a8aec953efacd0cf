//go:build !race

package matrix_test

import (
	"testing"

	"shallotgap/fakes/matrix"
)

// All invariants hold in every cell. A cell runs in a single goroutine, where the race detector only costs time, so
// scripts/test runs this file separately without the race detector.
func TestInvariantsHoldInEveryCell(t *testing.T) {
	cells := matrix.Cells()
	t.Logf("%d cells", len(cells))
	for _, c := range cells {
		t.Run(c.String(), func(t *testing.T) { check(t, c) })
	}
}
