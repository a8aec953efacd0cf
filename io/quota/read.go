package quota

import (
	"errors"
	"io"
)

// firstRead is the size in bytes of the buffer that a reader is first given.
const firstRead = 4 << 10

// ReadAll reads up to limit bytes. hold is called before the buffer grows, with the bytes that are then in use. As with io.ReadAll, the end is no
// error.
func ReadAll(r io.Reader, limit int, hold func(int) error) ([]byte, error) {
	out := Grow(nil, min(firstRead, limit))
	for len(out) < limit {
		if len(out) == cap(out) {
			grown := 2 * cap(out)
			if err := hold(cap(out) + grown); err != nil {
				return out, err
			}
			out = Grow(out, grown)
			if err := hold(cap(out)); err != nil {
				return out, err
			}
		}
		n, err := r.Read(out[len(out):min(cap(out), limit)])
		out = out[:len(out)+n]
		if errors.Is(err, io.EOF) {
			return out, nil
		}
		if err != nil {
			return out, err
		}
	}
	return out, nil
}
