package disk

import (
	"os"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"
)

// Files of any content are read or rejected with an error, but never end the host otherwise.
func FuzzFiles(f *testing.F) {
	frame, err := encodeFrame([]string{"x"})
	assert.NilError(f, err)
	f.Add(frame, frame)
	f.Add([]byte{}, append(frame, 0, 0, 0))
	f.Fuzz(func(t *testing.T, log, other []byte) {
		folder := t.TempDir()
		for name, data := range map[string][]byte{"log": log, "snapshot": other, endpointsFile: other} {
			assert.NilError(t, os.WriteFile(filepath.Join(folder, name), data, 0o600))
		}
		s, _, err := Open(folder)
		if err != nil {
			return
		}
		var list []string
		_, _ = s.Endpoints().Read(&list)
		assert.NilError(t, s.Close())
	})
}
