package relay_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"shallotgap/core/ident"
	"shallotgap/core/work"
	"shallotgap/io/relay"
)

// pieces returns the chunks of an answer with the given sequence numbers; the last one ends it.
func pieces(id ident.RequestID, seqs ...uint32) []relay.Chunk {
	var list []relay.Chunk
	for i, seq := range seqs {
		list = append(list, relay.Chunk{ID: id, Seq: seq, End: i == len(seqs)-1})
	}
	return list
}

func many(n uint32) []uint32 {
	var list []uint32
	for seq := range n {
		list = append(list, seq)
	}
	return list
}

// A part never passes for the whole, and work goes on for no broken answer.
func TestDeliverPassesOnTheWholeOrARefusal(t *testing.T) {
	id, other := ident.RequestID{Host: "e1", Seq: 1}, ident.RequestID{Host: "e1", Seq: 2}
	cases := map[string]struct {
		chunks  []relay.Chunk
		lost    bool
		got     int
		step    string
		working bool
	}{
		"whole":                 {chunks: pieces(id, 0, 1, 2), got: 3},
		"doubled piece":         {chunks: pieces(id, 0, 1, 1, 2), got: 3, step: "sequence", working: true},
		"missing piece":         {chunks: pieces(id, 0, 2), got: 2, step: "sequence", working: true},
		"doubled answer":        {chunks: append(pieces(id, 0, 1), pieces(id, 0, 1)...), got: 2},
		"another request's":     {chunks: pieces(other, 0, 1), got: 0, working: true},
		"link lost":             {chunks: pieces(id, 0, 1)[:1], lost: true, got: 2, step: "link"},
		"link lost after whole": {chunks: pieces(id, 0, 1), lost: true, got: 2},
		"nobody reads":          {chunks: pieces(id, many(5000)...), got: 1024, step: "slow-caller", working: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			table := relay.New()
			x := table.Open(id, relay.Call{})
			table.SetOwner(id, "e2")
			for _, chunk := range c.chunks {
				table.Deliver(chunk)
			}
			if c.lost {
				table.FailOwnedBy("e2")
			}
			assert.Equal(t, len(x.Chunks), c.got)
			var last *work.Refusal
			for len(x.Chunks) > 0 {
				last = (<-x.Chunks).Refusal
			}
			assert.Equal(t, last != nil, c.step != "")
			if last != nil {
				assert.Equal(t, last.Step, c.step)
				assert.Equal(t, last.Outcome, work.InDoubt)
			}
			owner, working := table.Close(id)
			assert.Equal(t, owner, ident.HostID("e2"))
			assert.Equal(t, working, c.working)
		})
	}
}
