package disk

import (
	"encoding/binary"
	"errors"
	"hash/crc32"

	"shallotgap/core/wire"
)

// A frame is a header and a payload. The header holds the payload's length, the payload's CRC-32C and the CRC-32C of
// these two, all little-endian.
const (
	headerSize = 12        // bytes
	maxPayload = 256 << 20 // bytes
	sectorSize = 512       // bytes that a disk writes whole or not at all
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// ErrDamaged is returned when a file holds something else than what was written.
var ErrDamaged = errors.New("damaged: its checksum does not match")

// errTorn marks a frame that a crash cut off.
var errTorn = errors.New("torn write")

// frameOf returns the frame of a value.
func frameOf(v any) ([]byte, error) {
	payload, err := wire.Marshal(v)
	if err != nil {
		return nil, err
	}
	frame := make([]byte, headerSize, headerSize+len(payload))
	binary.LittleEndian.PutUint32(frame, uint32(len(payload)))
	binary.LittleEndian.PutUint32(frame[4:], crc32.Checksum(payload, castagnoli))
	binary.LittleEndian.PutUint32(frame[8:], crc32.Checksum(frame[:8], castagnoli))
	return append(frame, payload...), nil
}

// payloadAt returns the payload of the frame at an offset. A frame that the end of the data cuts off is torn; so is the
// last one when a whole sector of it is empty, as after a crash before that sector was written. Any other mismatch is damage.
func payloadAt(data []byte, at int) ([]byte, error) {
	rest := data[at:]
	if len(rest) < headerSize {
		return nil, errTorn
	}
	head := rest[:headerSize]
	if crc32.Checksum(head[:8], castagnoli) != binary.LittleEndian.Uint32(head[8:]) {
		if emptySector(head, at) {
			return nil, errTorn
		}
		return nil, ErrDamaged
	}
	size := int(binary.LittleEndian.Uint32(head))
	if size > maxPayload {
		return nil, ErrDamaged
	}
	if size > len(rest)-headerSize {
		return nil, errTorn
	}
	payload := rest[headerSize : headerSize+size]
	if crc32.Checksum(payload, castagnoli) == binary.LittleEndian.Uint32(head[4:]) {
		return payload, nil
	}
	if size == len(rest)-headerSize && emptySector(payload, at+headerSize) {
		return nil, errTorn
	}
	return nil, ErrDamaged
}

// emptySector reports whether the part of some sector that data covers holds only zeros; data begins at an offset of the file.
func emptySector(data []byte, at int) bool {
	for len(data) > 0 {
		n := min(len(data), sectorSize-at%sectorSize)
		if allZero(data[:n]) {
			return true
		}
		data = data[n:]
		at += n
	}
	return false
}

func allZero(data []byte) bool {
	for _, b := range data {
		if b != 0 {
			return false
		}
	}
	return true
}
