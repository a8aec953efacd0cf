package quota_test

import (
	"bytes"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"shallotgap/io/quota"
)

// A buffer keeps its content as it grows, whichever buffers are used again meanwhile.
func TestGrowKeepsContent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var got [3][]byte
		var want [3][]byte
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			i := rapid.IntRange(0, 2).Draw(t, "buffer")
			if rapid.IntRange(0, 5).Draw(t, "recycle") == 0 {
				quota.Recycle(got[i])
				got[i], want[i] = nil, nil
				continue
			}
			part := bytes.Repeat([]byte{byte(i + 1)}, rapid.IntRange(0, 9000).Draw(t, "size"))
			if need := len(got[i]) + len(part); need > cap(got[i]) {
				got[i] = quota.Grow(got[i], need)
				assert.Assert(t, cap(got[i]) >= need)
			}
			got[i], want[i] = append(got[i], part...), append(want[i], part...)
			for k := range got {
				assert.Assert(t, bytes.Equal(got[k], want[k]))
			}
		}
	})
}
