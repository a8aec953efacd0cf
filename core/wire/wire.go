// Package wire encodes the project's own messages, log entries and traces as CBOR (RFC 8949) with kebab-case names.
package wire

import (
	"fmt"
	"math"

	"github.com/ugorji/go/codec"
)

// MaxDepth bounds the nesting of decoded values.
const MaxDepth = 64

var handle = newHandle()

func newHandle() *codec.CborHandle {
	h := &codec.CborHandle{}
	h.Canonical = true
	h.MaxDepth = MaxDepth
	h.ErrorIfNoField = false
	return h
}

// Marshal returns the CBOR form of v. Equal values have equal forms.
func Marshal(v any) ([]byte, error) {
	var out []byte
	if err := codec.NewEncoderBytes(&out, handle).Encode(v); err != nil {
		return nil, fmt.Errorf("encode %T: %w", v, err)
	}
	return out, nil
}

// Unmarshal reads the CBOR form of a value into the variable that v points to.
func Unmarshal(data []byte, v any) error {
	if err := codec.NewDecoderBytes(data, handle).Decode(v); err != nil {
		return fmt.Errorf("decode %T: %w", v, err)
	}
	return nil
}

// EncodeList returns the CBOR form of a list from the forms of its items.
func EncodeList(items [][]byte) []byte {
	size := listHeader
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

// listHeader is the longest head of a list in bytes.
const listHeader = 5
