package disk_test

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"

	"shallotgap/core/ident"
	"shallotgap/core/quorum"
	"shallotgap/core/world"
	"shallotgap/io/disk"
)

func entries(term ident.Term, from, to ident.Index) []quorum.Entry {
	var list []quorum.Entry
	for i := from; i <= to; i++ {
		list = append(list, quorum.Entry{Index: i, Term: term, Data: []byte("edit")})
	}
	return list
}

// writeLog applies writes to a new data folder. It returns the folder and the bytes of its log file.
func writeLog(t *testing.T, list ...world.Write) (string, []byte) {
	t.Helper()
	folder := t.TempDir()
	s, _, err := disk.Open(folder)
	assert.NilError(t, err)
	for _, w := range list {
		assert.NilError(t, s.Write(w))
	}
	assert.NilError(t, s.Close())
	data, err := os.ReadFile(filepath.Join(folder, "log"))
	assert.NilError(t, err)
	return folder, data
}

// reopen replaces the log file of a data folder and opens the folder.
func reopen(t *testing.T, folder string, log []byte) (world.Stored, error) {
	t.Helper()
	assert.NilError(t, os.WriteFile(filepath.Join(folder, "log"), log, 0o600))
	s, stored, err := disk.Open(folder)
	if err == nil {
		assert.NilError(t, s.Close())
	}
	return stored, err
}

var threeWrites = []world.Write{
	{Hard: &quorum.HardState{Term: 1, Vote: "a"}, Entries: entries(1, 1, 2)},
	{Entries: entries(1, 3, 3)},
	{Entries: []quorum.Entry{{Index: 4, Term: 1, Data: bytes.Repeat([]byte("edit"), 250)}}},
}

// A flipped bit in any byte of the log must be found on open, with the offset of the damage.
func TestFlippedBitFailsOpen(t *testing.T) {
	folder, log := writeLog(t, threeWrites...)
	for offset := range log {
		broken := bytes.Clone(log)
		broken[offset] ^= 0x10
		_, err := reopen(t, folder, broken)
		assert.ErrorIs(t, err, disk.ErrDamaged, "flipped bit in byte %d of %d", offset, len(log))
		assert.ErrorContains(t, err, "log at byte")
	}
}

// A log that is truncated after any byte, or whose last sectors are all zeros, opens with the entries of its complete
// frames.
func TestTornWriteIsTruncated(t *testing.T) {
	folder, log := writeLog(t, threeWrites...)
	previous := 0 // entries read from the log that is one byte shorter
	for size := range len(log) + 1 {
		stored, err := reopen(t, folder, log[:size])
		assert.NilError(t, err, "cut after byte %d of %d", size, len(log))
		assert.Assert(t, len(stored.Entries) >= previous)
		previous = len(stored.Entries)
	}
	assert.Equal(t, previous, 4)
	for _, sector := range []int{512, 1024} {
		empty := append(bytes.Clone(log[:sector]), make([]byte, len(log)-sector)...)
		stored, err := reopen(t, folder, empty)
		assert.NilError(t, err, "zeros from byte %d of %d", sector, len(log))
		assert.Equal(t, len(stored.Entries), 3)
	}
}

func TestLogReadsBackAsWritten(t *testing.T) {
	snap := func(i ident.Index, term ident.Term) *quorum.Snapshot { return &quorum.Snapshot{Index: i, Term: term} }
	long := world.Write{Hard: &quorum.HardState{Term: 1}, Entries: entries(1, 1, 9)}
	cases := map[string]struct {
		writes      []world.Write
		crash       bool // the log file lacks the last write, as after a crash between writing the snapshot and the log
		first, last ident.Index
		term        ident.Term
	}{
		"replaced entries":                      {writes: []world.Write{long, {Entries: entries(2, 4, 5)}}, first: 1, last: 5, term: 2},
		"own snapshot":                          {writes: []world.Write{long, {Snapshot: snap(6, 1)}}, first: 7, last: 9, term: 1},
		"own snapshot, crash":                   {writes: []world.Write{long, {Snapshot: snap(6, 1)}}, crash: true, first: 7, last: 9, term: 1},
		"installed snapshot":                    {writes: []world.Write{long, {Snapshot: snap(6, 2), Replace: true}}},
		"installed snapshot, crash":             {writes: []world.Write{long, {Snapshot: snap(6, 2), Replace: true}}, crash: true},
		"installed snapshot, then entries":      {writes: []world.Write{long, {Snapshot: snap(6, 2), Replace: true}, {Entries: entries(2, 7, 8)}}, first: 7, last: 8, term: 2},
		"replaced entries, own snapshot, crash": {writes: []world.Write{long, {Entries: entries(2, 4, 6)}, {Snapshot: snap(6, 2)}}, crash: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			_, before := writeLog(t, c.writes[:len(c.writes)-1]...)
			folder, log := writeLog(t, c.writes...)
			if c.crash {
				log = before
			}
			stored, err := reopen(t, folder, log)
			assert.NilError(t, err)
			if c.first == 0 {
				assert.Equal(t, len(stored.Entries), 0)
				return
			}
			assert.Equal(t, stored.Entries[0].Index, c.first)
			assert.Equal(t, stored.Entries[len(stored.Entries)-1].Index, c.last)
			assert.Equal(t, stored.Entries[len(stored.Entries)-1].Term, c.term)
		})
	}
}
