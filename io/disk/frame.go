package disk

import (
	"encoding/binary"
	"errors"
	"hash/crc32"

	"shallotgap/core/wire"
)

// A frame is a header and a payload. The header holds the payload's length, the payload's CRC-32C and the CRC-32C of
// these two fields, all little-endian.
const (
	headerSize = 12        // bytes
	maxPayload = 256 << 20 // bytes
	sectorSize = 512       // bytes that a disk writes atomically
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// ErrDamaged is returned when the content of a file does not match its checksum.
var ErrDamaged = errors.New("damaged: its checksum does not match")

// errTorn marks a frame that a crash left incomplete.
var errTorn = errors.New("torn write")

// encodeFrame returns a frame with a value encoded as CBOR.
func encodeFrame(v any) ([]byte, error) {
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

// payloadAt returns the payload of the frame at an offset of a file. A frame that extends beyond the end of the data is
// torn. The last frame is also torn if one of its sectors is all zeros, as after a crash before that sector was
// written. Any other mismatch is damage.
func payloadAt(data []byte, offset int) ([]byte, error) {
	rest := data[offset:]
	if len(rest) < headerSize {
		return nil, errTorn
	}
	head := rest[:headerSize]
	if crc32.Checksum(head[:8], castagnoli) != binary.LittleEndian.Uint32(head[8:]) {
		if hasEmptySector(head, offset) {
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
	if size == len(rest)-headerSize && hasEmptySector(payload, offset+headerSize) {
		return nil, errTorn
	}
	return nil, ErrDamaged
}

// hasEmptySector reports whether the bytes of data in any one sector of the file are all zeros. The offset is that of
// data in the file.
func hasEmptySector(data []byte, offset int) bool {
	for len(data) > 0 {
		n := min(len(data), sectorSize-offset%sectorSize)
		if allZero(data[:n]) {
			return true
		}
		data = data[n:]
		offset += n
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
