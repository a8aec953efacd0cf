package sizes

import (
	"fmt"
	"runtime"
	"testing"

	"gotest.tools/v3/assert"

	"shallotgap/core/claim"
	"shallotgap/core/ident"
	"shallotgap/core/state"
	"shallotgap/core/wire"
)

func openCommand(n int) state.Command {
	return state.Command{Wall: int64(n), Open: &claim.Open{
		Name:    claim.Name{Workspace: Workspace(n), Key: ident.Key(fmt.Sprintf("release-%08d", n))},
		Request: ident.RequestID{Host: HostName(0), Incarnation: 1, Seq: uint64(n)},
		Holder:  claim.Holder{Host: HostName(0), Incarnation: 1},
		Expires: int64(n) + 1_000_000,
	}}
}

func closeCommand(o *claim.Open) state.Command {
	return state.Command{Close: &claim.Close{Name: o.Name, Request: o.Request, Holder: o.Holder, State: claim.Done, Answer: &claim.Answer{Status: 200, Body: make([]byte, 256)}}}
}

// BenchmarkClaim measures the state machine's time for opening and closing one claim while the state holds a number of
// earlier claim records, and the heap and snapshot bytes for each record.
func BenchmarkClaim(b *testing.B) {
	for _, records := range []int{1_000, 10_000, 100_000} {
		b.Run(fmt.Sprintf("records=%d", records), func(b *testing.B) {
			before := heapBytes()
			st := state.New()
			index := ident.Index(0)
			run := func(n int) {
				o := openCommand(n)
				st.Apply(index+1, o)
				st.Apply(index+2, closeCommand(o.Open))
				index += 2
			}
			for n := range records {
				run(n)
			}
			perRecord := float64(heapBytes()-before) / float64(records)
			data, err := wire.Marshal(st.Snapshot(true))
			assert.NilError(b, err)
			n := records
			for b.Loop() {
				run(n)
				n++
			}
			b.ReportMetric(perRecord, "heap-B/record")
			b.ReportMetric(float64(len(data))/float64(records), "snapshot-B/record")
			runtime.KeepAlive(st)
		})
	}
}

// BenchmarkSnapshot measures a snapshot of the full state: the copy, which blocks a voter's event loop, and the encoding,
// which runs outside the loop.
func BenchmarkSnapshot(b *testing.B) {
	benchmarkSizes(b, func(b *testing.B, _ Size, st *state.State) {
		b.Run("copy", func(b *testing.B) {
			for b.Loop() {
				st.Snapshot(true)
			}
		})
		b.Run("encode", func(b *testing.B) {
			snap := st.Snapshot(true)
			for b.Loop() {
				_, err := wire.Marshal(snap)
				assert.NilError(b, err)
			}
		})
	})
}
