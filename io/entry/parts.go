package entry

import (
	"crypto/sha256"
	"encoding/hex"

	"shallotgap/core/poison"
)

// prefixLengths are the lengths in bytes of the prefixes of a content by which contents that endpoints crash with are recognized, besides
// the whole content. Prompts that share a system prompt share the shorter ones.
var prefixLengths = []int{256, 1024, 4096, 16384}

// partBytes is the length of the digest that identifies a part.
const partBytes = 8

// contentParts returns the parts that identify a content: its prefixes, and all of it.
func contentParts(pieces ...[]byte) []poison.Part {
	var content []byte
	for _, p := range pieces {
		content = append(content, p...)
	}
	var parts []poison.Part
	for _, n := range prefixLengths {
		if n < len(content) {
			parts = append(parts, partOf(content[:n]))
		}
	}
	return append(parts, partOf(content))
}

func partOf(content []byte) poison.Part {
	sum := sha256.Sum256(content)
	return poison.Part(hex.EncodeToString(sum[:partBytes]))
}
