// Package wire encodes the project's own messages, log entries and traces as CBOR (RFC 8949) with kebab-case names.
package wire

import (
	"fmt"

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
