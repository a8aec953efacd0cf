package state_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"shallotgap/core/lease"
	"shallotgap/core/state"
	"shallotgap/core/wire"
)

// An entry of the log that ends a host ends it again after each start. Whatever decodes as a command must leave a state that goes on and
// that a snapshot restores.
func FuzzCommand(f *testing.F) {
	for _, c := range []state.Command{{}, {Announce: &lease.Endpoint{Slots: -1 << 63, Instance: 1<<64 - 1, Limit: -1}}, {Assign: &lease.Assign{}}, {Wall: -1 << 63}} {
		data, err := wire.Marshal(c)
		assert.NilError(f, err)
		f.Add(data)
	}
	f.Fuzz(func(_ *testing.T, data []byte) {
		var c state.Command
		if wire.Unmarshal(data, &c) != nil {
			return
		}
		s := state.New()
		s.Apply(1, c)
		s.Apply(2, c)
		state.Restore(s.Snapshot(true)).Apply(3, c)
	})
}
