package relay_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"shallotgap/core/ident"
	"shallotgap/core/work"
	"shallotgap/io/relay"
)

// answer returns the chunks of an answer with the given sequence numbers; the last one completes it.
func answer(id ident.RequestID, seqs ...uint32) []relay.Chunk {
	var list []relay.Chunk
	for i, seq := range seqs {
		list = append(list, relay.Chunk{ID: id, Seq: seq, End: i == len(seqs)-1})
	}
	return list
}

// sequence returns the numbers from 0 to n-1.
func sequence(n uint32) []uint32 {
	var list []uint32
	for seq := range n {
		list = append(list, seq)
	}
	return list
}

// A partial answer never passes for a complete one. Close reports whether an endpoint may still be working on the request.
func TestDeliverCompletesOrRejects(t *testing.T) {
	id, other := ident.RequestID{Host: "e1", Seq: 1}, ident.RequestID{Host: "e1", Seq: 2}
	cases := map[string]struct {
		chunks   []relay.Chunk
		linkLost bool
		want     int
		step     string
		working  bool
	}{
		"complete":                   {chunks: answer(id, 0, 1, 2), want: 3},
		"duplicate chunk":            {chunks: answer(id, 0, 1, 1, 2), want: 3, step: "sequence", working: true},
		"missing chunk":              {chunks: answer(id, 0, 2), want: 2, step: "sequence", working: true},
		"duplicate answer":           {chunks: append(answer(id, 0, 1), answer(id, 0, 1)...), want: 2},
		"chunks of another request":  {chunks: answer(other, 0, 1), want: 0, working: true},
		"link lost":                  {chunks: answer(id, 0, 1)[:1], linkLost: true, want: 2, step: "link"},
		"link lost after completion": {chunks: answer(id, 0, 1), linkLost: true, want: 2},
		"caller does not read":       {chunks: answer(id, sequence(5000)...), want: 1024, step: "slow-caller", working: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			table := relay.New(relay.Config{})
			x := table.Open(id, relay.Call{})
			table.SetOwner(id, "e2")
			for _, chunk := range c.chunks {
				table.Deliver(chunk)
			}
			if c.linkLost {
				table.FailOwnedBy("e2")
			}
			assert.Equal(t, len(x.Chunks), c.want)
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
