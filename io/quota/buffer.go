package quota

import (
	"math/bits"
	"sync"
)

// Sizes of the buffers that are used again, as powers of 2 bytes.
const (
	smallestBuffer = 12
	largestBuffer  = 20
)

var buffers [largestBuffer + 1]sync.Pool

// Grow returns a buffer with the content of b and room for n bytes at least. b must not be used any more: it may be used again by another
// call.
//
//	b = quota.Grow(b, 2*cap(b))
func Grow(b []byte, n int) []byte {
	class := max(smallestBuffer, bits.Len(uint(max(1, n)-1)))
	if class > largestBuffer {
		return append(make([]byte, 0, n), b...)
	}
	grown, reused := buffers[class].Get().(*[]byte)
	if !reused {
		fresh := make([]byte, 0, 1<<class)
		grown = &fresh
	}
	out := append((*grown)[:0], b...)
	Recycle(b)
	return out
}

// Recycle gives a buffer of Grow back. It must not be used any more.
func Recycle(b []byte) {
	class := bits.Len(uint(max(1, cap(b)) - 1))
	if class >= smallestBuffer && class <= largestBuffer && cap(b) == 1<<class {
		b = b[:0]
		buffers[class].Put(&b)
	}
}
