package grant_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"shallotgap/core/book"
	"shallotgap/core/grant"
	"shallotgap/core/ident"
)

// Long prompts and long answers for one adapter: a long prompt goes to the holder of the adapter while few streams run there.
// Beside many streams a second copy is worth its load, unless all adapter slots are in use.
func TestLongPromptsBesideStreams(t *testing.T) {
	cases := map[string]struct {
		streams int
		others  int // adapters that keep all adapter slots in use
		copied  bool
	}{
		"few streams":                {streams: 2},
		"many streams":               {streams: 16, copied: true},
		"few streams, no slots free": {streams: 2, others: 2 * simAdapterSlots},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s := newSim(t, 2)
			s.advance(time.Second)
			ask := func(adapter string, prompt, output ident.Tokens) {
				s.askWith(grant.Ask{Ref: book.AdapterRef{Model: "base", Adapter: ident.Adapter(adapter)}, Prompt: prompt, Output: output, Gap: 400 * time.Millisecond})
			}
			ask("hot", 100, 400)
			s.advance(400 * time.Millisecond)
			for k := range c.others {
				ask(fmt.Sprintf("other%d", k), 100, 400)
			}
			for range c.streams {
				ask("hot", 100, 400)
			}
			s.advance(400 * time.Millisecond)
			ask("hot", 18_000, 50)
			s.advance(100 * time.Millisecond)
			holders := 0
			for _, e := range s.engines {
				if e.adapters["hot"] != nil {
					holders++
				}
			}
			assert.Equal(t, holders == 2, c.copied, "%d engines hold the adapter", holders)
			s.advance(3 * time.Second)
			s.check()
		})
	}
}
