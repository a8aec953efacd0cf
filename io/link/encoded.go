package link

import (
	"bytes"
	"compress/flate"
	"errors"
	"fmt"
	"io"

	"shallotgap/core/wire"
)

// packThreshold is the size in bytes from which messages are compressed. Smaller ones are a small part of what any link carries in
// the interval between two pings.
const packThreshold = 16 << 10

// Encoded is a message that was encoded once and can be sent to many hosts.
type Encoded struct {
	plain  []byte
	packed []byte // the message in compressed form, for peers that accept it; nil for a small message
}

// Encode encodes a message.
func Encode(m Message) (Encoded, error) {
	plain, err := wire.Marshal(m)
	if err != nil {
		return Encoded{}, err
	}
	e := Encoded{plain: plain}
	// Messages of the log go between control hosts only, whose links are fast.
	if len(plain) < packThreshold || m.Quorum != nil {
		return e, nil
	}
	packed, err := pack(plain)
	if err != nil {
		return Encoded{}, err
	}
	if e.packed, err = wire.Marshal(Message{Packed: packed}); err != nil {
		return Encoded{}, err
	}
	return e, nil
}

// For returns the bytes to send to a peer.
func (e Encoded) For(peer Hello) []byte {
	if peer.Packed && e.packed != nil {
		return e.packed
	}
	return e.plain
}

// Decode decodes a message from the bytes that For returns.
func Decode(data []byte) (Message, error) {
	var m Message
	if err := wire.Unmarshal(data, &m); err != nil {
		return Message{}, err
	}
	return m.unpack()
}

var errTooLarge = errors.New("the message is too large")

// unpack returns the message that a compressed message holds, and other messages unchanged.
func (m Message) unpack() (Message, error) {
	if m.Packed == nil {
		return m, nil
	}
	plain, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(m.Packed)), maxMessageBytes+1))
	switch {
	case err != nil:
		return Message{}, fmt.Errorf("unpack: %w", err)
	case len(plain) > maxMessageBytes:
		return Message{}, fmt.Errorf("unpack: %w", errTooLarge)
	}
	var inner Message
	if err := wire.Unmarshal(plain, &inner); err != nil {
		return Message{}, fmt.Errorf("unpack: %w", err)
	}
	inner.Packed = nil // no host packs a message twice
	return inner, nil
}

func pack(plain []byte) ([]byte, error) {
	var out bytes.Buffer
	w, err := flate.NewWriter(&out, flate.BestSpeed)
	if err != nil {
		return nil, fmt.Errorf("pack: %w", err)
	}
	if _, err := w.Write(plain); err != nil {
		return nil, fmt.Errorf("pack: %w", err)
	}
	if err := w.Close(); err != nil {
		return nil, fmt.Errorf("pack: %w", err)
	}
	return out.Bytes(), nil
}
