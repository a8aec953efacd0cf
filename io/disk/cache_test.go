package disk_test

import (
	"os"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"

	"shallotgap/io/disk"
)

// The cached value is read back complete or not at all, and a damaged file does not prevent the data folder from being
// opened.
func TestCache(t *testing.T) {
	cases := map[string]struct {
		damage func(t *testing.T, file string)
		found  bool
	}{
		"intact":    {damage: func(*testing.T, string) {}, found: true},
		"missing":   {damage: func(t *testing.T, file string) { assert.NilError(t, os.Remove(file)) }},
		"empty":     {damage: func(t *testing.T, file string) { assert.NilError(t, os.Truncate(file, 0)) }},
		"truncated": {damage: func(t *testing.T, file string) { assert.NilError(t, os.Truncate(file, 9)) }},
		"damaged": {damage: func(t *testing.T, file string) {
			data, err := os.ReadFile(file)
			assert.NilError(t, err)
			data[len(data)-1] ^= 1
			assert.NilError(t, os.WriteFile(file, data, 0o640))
		}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			folder := t.TempDir()
			s, _, err := disk.Open(folder)
			assert.NilError(t, err)
			assert.NilError(t, s.Endpoints().Write([]string{"old"}))
			assert.NilError(t, s.Endpoints().Write([]string{"a", "b"}))
			assert.NilError(t, s.Close())
			c.damage(t, filepath.Join(folder, "known"))
			s, _, err = disk.Open(folder)
			assert.NilError(t, err)
			defer func() { assert.NilError(t, s.Close()) }()
			var list []string
			found, err := s.Endpoints().Read(&list)
			assert.Equal(t, found, c.found, "%v", err)
			if c.found {
				assert.DeepEqual(t, list, []string{"a", "b"})
			}
		})
	}
}
