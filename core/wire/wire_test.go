package wire_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"shallotgap/core/wire"
)

// A list made from the forms of its items reads as one made at once, at each length of its head.
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
