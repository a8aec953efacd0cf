package link_test

import (
	"bytes"
	"testing"

	"gotest.tools/v3/assert"

	"shallotgap/core/quorum"
	"shallotgap/core/wire"
	"shallotgap/io/link"
)

// A host of an earlier version must get each message in a form that it can read, and its messages must be read.
func TestEncodedMessagesBetweenVersions(t *testing.T) {
	source := bytes.Repeat([]byte(`{"name":"r-1","host":"a.example"},`), 4000)
	cases := map[string]struct {
		message link.Message
		packs   bool // whether hosts of this version get the message compressed
	}{
		"small":      {message: link.Message{Answer: &link.Answer{ID: 1, Source: source[:100]}}},
		"large":      {message: link.Message{Answer: &link.Answer{ID: 1, Source: source}}, packs: true},
		"of the log": {message: link.Message{Quorum: &quorum.Message{Kind: quorum.Append, Entries: []quorum.Entry{{Data: source}}}}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			e, err := link.Encode(c.message)
			assert.NilError(t, err)
			earlier, current := e.For(link.Hello{Host: "a"}), e.For(link.Hello{Host: "a", Packed: true})
			assert.Equal(t, len(current) < len(earlier)/4, c.packs)
			for _, data := range [][]byte{earlier, current} {
				got, err := link.Decode(data)
				assert.NilError(t, err)
				assert.DeepEqual(t, got, c.message)
			}
			// What a host of an earlier version decodes: it knows no packed messages.
			var old link.Message
			assert.NilError(t, wire.Unmarshal(earlier, &old))
			assert.DeepEqual(t, old, c.message)
		})
	}
}

// A packed message that can't be unpacked must not end the host.
func TestOddPackedMessageIsRejected(t *testing.T) {
	for name, packed := range map[string][]byte{"not compressed": {1, 2, 3}, "empty": {}} {
		t.Run(name, func(t *testing.T) {
			data, err := wire.Marshal(link.Message{Packed: packed})
			assert.NilError(t, err)
			m, err := link.Decode(data)
			assert.Assert(t, err != nil || m.Packed == nil)
		})
	}
}
