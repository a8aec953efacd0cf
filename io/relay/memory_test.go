package relay_test

import (
	"runtime"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"shallotgap/core/ident"
	"shallotgap/io/quota"
	"shallotgap/io/relay"
)

// Chunks that waited for slow callers were bounded for each answer alone; some hundred answers took all memory. Together they take less than
// their bound, the largest answers give way, and these end with a rejection.
func TestWaitingChunksAreBoundedTogether(t *testing.T) {
	const chunk, answers = 10_000, 20
	cases := map[string]struct {
		chunks  int // of each answer
		taken   int // of these, which the caller takes at once
		want    int // answers that are broken off
		hastily bool
	}{
		"all fit":                   {chunks: 5},
		"callers that read":         {chunks: 100, taken: 100},
		"callers that read a part":  {chunks: 30, taken: 25},
		"more than the memory":      {chunks: 20, want: answers - 5},
		"one answer more than all":  {chunks: 101, want: answers},
		"ended and still not taken": {chunks: 20, want: answers - 5, hastily: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			pool := quota.New(quota.Config{Limit: 100 * chunk})
			table := relay.New(relay.Config{Memory: pool})
			var open []*relay.Exchange
			for n := range uint64(answers) {
				open = append(open, table.Open(ident.RequestID{Host: "e1", Seq: n}, relay.Call{}))
			}
			for seq := range uint32(c.chunks) {
				for _, x := range open {
					table.Deliver(relay.Chunk{ID: x.ID, Seq: seq, Data: make([]byte, chunk), End: c.hastily && int(seq) == c.chunks-1})
					assert.Assert(t, pool.Used() <= 100*chunk)
					if int(seq) < c.taken && len(x.Chunks) > 0 {
						x.Taken(<-x.Chunks)
					}
				}
			}
			poll.WaitOn(t, func(poll.LogT) poll.Result {
				broken := 0
				for _, x := range open {
					if len(x.Chunks) == 1 && c.chunks > 1 && c.taken == 0 {
						broken++
					}
				}
				if broken != c.want {
					return poll.Continue("%d answers are broken off", broken)
				}
				return poll.Success()
			}, poll.WithTimeout(5*time.Second), poll.WithDelay(time.Millisecond))
			broken := 0
			for _, x := range open {
				complete := 0
				for len(x.Chunks) > 0 {
					got := <-x.Chunks
					x.Taken(got)
					if got.Refusal != nil {
						assert.Equal(t, got.Refusal.Step, "memory")
						broken++
						continue
					}
					complete++
				}
				table.Close(x.ID)
				assert.Assert(t, complete == 0 || complete == c.chunks-c.taken, "%d chunks of %d", complete, c.chunks)
			}
			assert.Equal(t, broken, c.want)
			assert.Equal(t, pool.Used(), quota.Bytes(0))
		})
	}
}

// Each request took 150 kB for the window of its answer before it had any, which no limit counted.
func TestMemoryOfExchangeWithoutAnswer(t *testing.T) {
	const (
		exchanges = 200
		bound     = 16 << 10 // bytes of one exchange, as for a small answer
	)
	table := relay.New(relay.Config{})
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for n := range uint64(exchanges) {
		table.Open(ident.RequestID{Host: "e1", Seq: n}, relay.Call{})
	}
	runtime.ReadMemStats(&after)
	size := (after.TotalAlloc - before.TotalAlloc) / exchanges
	assert.Assert(t, size <= bound, "%d bytes", size)
}
