package census_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"shallotgap/core/census"
	"shallotgap/core/ident"
)

// A host that hears beats knows the same as one that hears all heartbeats whole; one that missed a part never holds an
// older list of adapters for newer than it is.
func TestBeatsTellTheSame(t *testing.T) {
	cases := map[string]struct {
		loss float64 // of messages to the second host
	}{
		"all arrive":        {},
		"a third get lost":  {loss: 0.33},
		"most of them lost": {loss: 0.8},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			r := rand.New(rand.NewPCG(3, 4))
			first, second := census.New(time.Minute), census.New(time.Minute)
			e := entry("a", 1, 0, "x", census.Ready)
			held := map[uint64][]census.HeldAdapter{}
			beats := 0
			for seq := uint64(1); seq <= 400; seq++ {
				now := ident.Time(seq) * ident.Time(time.Second)
				if r.IntN(4) == 0 {
					e.Held = []census.HeldAdapter{{Model: "base", Adapter: ident.Adapter(rune('a' + r.IntN(20)))}}
				}
				e.Seq = seq
				held[seq] = e.Held
				former, _ := first.Get("a")
				first.Observe(e, now)
				b, ok := census.Shorten(former, e)
				if ok {
					beats++
				}
				switch {
				case r.Float64() < c.loss:
				case ok:
					if _, _, alive := second.ObserveShort(b, now); alive {
						got, _ := second.Get("a")
						assert.Equal(t, got.LastHeartbeat, now)
					}
				default:
					second.Observe(e, now)
				}
				if got, known := second.Get("a"); known {
					assert.DeepEqual(t, got.Held, held[got.Seq])
					assert.Assert(t, c.loss > 0 || got.Seq == seq && got.LastHeartbeat == now)
				}
			}
			assert.Assert(t, beats > 200, "%d of 400 heartbeats are told as beats", beats)
		})
	}
}

func TestBeatsThatChangeNothing(t *testing.T) {
	cases := map[string]struct {
		known census.Entry
		beat  census.ShortHeartbeat
	}{
		"an older one":           {entry("a", 1, 5, "x", census.Ready), census.ShortHeartbeat{Instance: ident.Instance{ID: "a", Born: 1}, Seq: 4}},
		"of a former start":      {entry("a", 2, 1, "x", census.Ready), census.ShortHeartbeat{Instance: ident.Instance{ID: "a", Born: 1}, Seq: 9}},
		"of a later start":       {entry("a", 1, 1, "x", census.Ready), census.ShortHeartbeat{Instance: ident.Instance{ID: "a", Born: 2}, Seq: 9}},
		"of one that left":       {entry("a", 1, 1, "x", census.Gone), census.ShortHeartbeat{Instance: ident.Instance{ID: "a", Born: 1}, Seq: 9}},
		"of one that drains":     {entry("a", 1, 1, "x", census.Draining), census.ShortHeartbeat{Instance: ident.Instance{ID: "a", Born: 1}, Seq: 9}},
		"of an unknown endpoint": {entry("a", 1, 1, "x", census.Ready), census.ShortHeartbeat{Instance: ident.Instance{ID: "b", Born: 1}, Seq: 9}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			table := census.New(time.Minute)
			table.Observe(c.known, 1)
			_, _, ok := table.ObserveShort(c.beat, 2)
			assert.Assert(t, !ok)
			got, _ := table.Get("a")
			c.known.LastHeartbeat = 1
			assert.DeepEqual(t, got, c.known)
		})
	}
}

// A beat that repeats what this host did not hear keeps the endpoint alive and changes nothing else.
func TestBeatOfOtherContent(t *testing.T) {
	table := census.New(time.Minute)
	table.Observe(entry("a", 1, 1, "x", census.Ready), 1)
	e, same, ok := table.ObserveShort(census.ShortHeartbeat{Instance: ident.Instance{ID: "a", Born: 1}, Seq: 9, Sum: 1}, 2)
	assert.Assert(t, ok && !same)
	assert.Equal(t, e.LastHeartbeat, ident.Time(2))
	assert.Equal(t, e.Seq, uint64(1))
}
