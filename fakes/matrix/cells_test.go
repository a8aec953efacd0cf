//go:build !race

package matrix_test

import (
	"testing"

	"shallotgap/fakes/matrix"
)

// All promises hold in every cell. A cell runs in one goroutine, so the race detector finds nothing in it and only
// slows it down: scripts/test runs this file in a pass of its own without the detector.
func TestPromisesHoldInEveryCell(t *testing.T) {
	cells := matrix.Cells()
	t.Logf("%d cells", len(cells))
	for _, c := range cells {
		t.Run(c.String(), func(t *testing.T) { check(t, c) })
	}
}
