package disk_test

import (
	"os"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"

	"shallotgap/io/disk"
)

// What is kept is read again whole or not at all, and never keeps a data folder from being opened.
func TestKept(t *testing.T) {
	cases := map[string]struct {
		harm  func(t *testing.T, file string)
		found bool
	}{
		"whole":     {harm: func(*testing.T, string) {}, found: true},
		"lost":      {harm: func(t *testing.T, file string) { assert.NilError(t, os.Remove(file)) }},
		"empty":     {harm: func(t *testing.T, file string) { assert.NilError(t, os.Truncate(file, 0)) }},
		"cut short": {harm: func(t *testing.T, file string) { assert.NilError(t, os.Truncate(file, 9)) }},
		"damaged": {harm: func(t *testing.T, file string) {
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
			assert.NilError(t, s.Cache().Write([]string{"old"}))
			assert.NilError(t, s.Cache().Write([]string{"a", "b"}))
			assert.NilError(t, s.Close())
			c.harm(t, filepath.Join(folder, "known"))
			s, _, err = disk.Open(folder)
			assert.NilError(t, err)
			defer func() { assert.NilError(t, s.Close()) }()
			var list []string
			found, err := s.Cache().Read(&list)
			assert.Equal(t, found, c.found, "%v", err)
			if c.found {
				assert.DeepEqual(t, list, []string{"a", "b"})
			}
		})
	}
}
