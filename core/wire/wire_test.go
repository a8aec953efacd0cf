package wire_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"shallotgap/core/wire"
)

// A list joined from encoded items decodes like a list that was encoded whole, for each size of the list header.
func TestList(t *testing.T) {
	for _, n := range []int{0, 1, 23, 24, 255, 256, 70_000} {
		var items [][]byte
		var want []string
		for range n {
			data, err := wire.Marshal("x")
			assert.NilError(t, err)
			items, want = append(items, data), append(want, "x")
		}
		var got []string
		assert.NilError(t, wire.Unmarshal(wire.EncodeList(items), &got))
		assert.Equal(t, len(got), len(want))
	}
}
