// Package wire encodes messages between hosts, log entries and traces as CBOR (RFC 8949). Field names
// are in kebab case.
package wire

import (
	"fmt"
	"math"

	"github.com/ugorji/go/codec"
)

// MaxDepth is the deepest nesting of values that Unmarshal accepts.
const MaxDepth = 64

var handle = newHandle()

func newHandle() *codec.CborHandle {
	h := &codec.CborHandle{}
	h.Canonical = true
	h.MaxDepth = MaxDepth
	h.ErrorIfNoField = false
	return h
}

// Marshal returns the canonical CBOR encoding of v: equal values have equal encodings.
func Marshal(v any) ([]byte, error) {
	var out []byte
	if err := codec.NewEncoderBytes(&out, handle).Encode(v); err != nil {
		return nil, fmt.Errorf("encode %T: %w", v, err)
	}
	return out, nil
}

// Unmarshal decodes CBOR data into the variable that v points to.
func Unmarshal(data []byte, v any) error {
	if err := codec.NewDecoderBytes(data, handle).Decode(v); err != nil {
		return fmt.Errorf("decode %T: %w", v, err)
	}
	return nil
}

// EncodeList returns the CBOR encoding of a list whose items are already encoded.
func EncodeList(items [][]byte) []byte {
	size := maxListHeader
	for _, x := range items {
		size += len(x)
	}
	out := make([]byte, 0, size)
	switch n := len(items); {
	case n <= 23:
		out = append(out, 0x80|byte(n))
	case n <= math.MaxUint8:
		out = append(out, 0x98, byte(n))
	default:
		out = append(out, 0x9a, byte(n>>24), byte(n>>16), byte(n>>8), byte(n))
	}
	for _, x := range items {
		out = append(out, x...)
	}
	return out
}

// maxListHeader is the size of the longest list header that EncodeList writes, in bytes.
const maxListHeader = 5
