package disk_test

import (
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"shallotgap/core/ident"
	"shallotgap/core/quorum"
	"shallotgap/core/world"
	"shallotgap/io/disk"
)

// step is a call that a full disk refuses.
type step struct{ file, call string }

// fullDisk refuses calls while it is full. A refused write leaves a part of its bytes.
type fullDisk struct {
	mu      sync.Mutex
	full    map[step]bool
	refused int
}

func (d *fullDisk) refuses(file, call string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	refuses := d.full[step{file, call}] || d.full[step{"any", call}]
	if refuses {
		d.refused++
	}
	return refuses
}

func (d *fullDisk) set(full ...step) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.full = map[step]bool{}
	for _, s := range full {
		d.full[s] = true
	}
}

func (d *fullDisk) count() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.refused
}

func (d *fullDisk) wrap(name string, f disk.File) disk.File {
	return fullFile{File: f, disk: d, name: name}
}

type fullFile struct {
	disk.File
	disk *fullDisk
	name string
}

func (f fullFile) Write(p []byte) (int, error) {
	if !f.disk.refuses(f.name, "write") {
		return f.File.Write(p)
	}
	n, err := f.File.Write(p[:len(p)/2])
	if err == nil {
		err = syscall.ENOSPC
	}
	return n, err
}

func (f fullFile) Sync() error {
	if f.disk.refuses(f.name, "sync") {
		return syscall.ENOSPC
	}
	return f.File.Sync()
}

func (f fullFile) Close() error {
	err := f.File.Close()
	if f.disk.refuses(f.name, "close") {
		return syscall.ENOSPC
	}
	return err
}

// A host ended itself at the first write that a full disk refused, started again and ended again. A write must wait instead, at each of its
// steps, and must be whole once there is room. What was written before is there if the host is killed meanwhile.
func TestFullDiskIsWaitedFor(t *testing.T) {
	snap := world.Write{Snapshot: &quorum.Snapshot{Index: 2, Term: 1, Data: []byte("state")}}
	more := world.Write{Hard: &quorum.HardState{Term: 2, Vote: "b"}, Entries: entries(2, 5, 9)}
	both := []world.Write{more, {Snapshot: &quorum.Snapshot{Index: 6, Term: 2, Data: []byte("state")}}, {Entries: entries(2, 10, 11)}}
	cases := map[string]struct {
		writes []world.Write
		full   []step
	}{
		"a write to the log":                         {writes: []world.Write{more}, full: []step{{"log", "write"}}},
		"a sync of the log":                          {writes: []world.Write{more}, full: []step{{"log", "sync"}}},
		"a snapshot":                                 {writes: []world.Write{snap}, full: []step{{"snapshot.new", "write"}}},
		"a sync of a snapshot":                       {writes: []world.Write{snap}, full: []step{{"snapshot.new", "sync"}}},
		"between a snapshot and its rename":          {writes: []world.Write{snap}, full: []step{{"snapshot.new", "close"}}},
		"between a snapshot and the log after it":    {writes: []world.Write{snap}, full: []step{{"log.new", "write"}}},
		"between the log after it and its rename":    {writes: []world.Write{snap}, full: []step{{"log.new", "close"}}},
		"the log that was replaced":                  {writes: []world.Write{snap}, full: []step{{"log", "close"}}},
		"entries, a snapshot and entries, log first": {writes: both, full: []step{{"log", "write"}}},
		"entries, a snapshot and entries, snapshot":  {writes: both, full: []step{{"snapshot.new", "write"}}},
		"everything":                                 {writes: both, full: []step{{"any", "write"}, {"any", "sync"}}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			want := read(t, func(s *disk.Store) {
				assert.NilError(t, s.Write(threeWrites...))
				assert.NilError(t, s.Write(c.writes...))
			})
			before := read(t, func(s *disk.Store) { assert.NilError(t, s.Write(threeWrites...)) })

			d := &fullDisk{}
			folder := t.TempDir()
			s, _, err := disk.OpenWith(disk.Config{Folder: folder, Wrap: d.wrap, WaitForRoom: true})
			assert.NilError(t, err)
			assert.NilError(t, s.Write(threeWrites...))
			d.set(c.full...)
			done := make(chan error, 1)
			go func() { done <- s.Write(c.writes...) }()
			waits := name != "the log that was replaced" // its content is elsewhere by then
			if waits {
				poll.WaitOn(t, func(poll.LogT) poll.Result {
					if d.count() >= 3 {
						return poll.Success()
					}
					return poll.Continue("the write is not tried again yet")
				}, poll.WithDelay(5*time.Millisecond))
				select {
				case err := <-done:
					t.Fatalf("the write ended on a full disk: %v", err)
				default:
				}
				d.mu.Lock() // as if the host was killed now
				_, killed, err := disk.Open(folder)
				d.mu.Unlock()
				assert.NilError(t, err)
				assert.Assert(t, last(killed) >= last(before), "entry %d is lost", last(before))
			}
			d.set()
			roomAt := time.Now()
			assert.NilError(t, <-done)
			assert.Assert(t, time.Since(roomAt) < 2*time.Second)
			assert.NilError(t, s.Write(world.Write{Entries: entries(2, last(want)+1, last(want)+1)}))
			assert.NilError(t, s.Close())
			_, got, err := disk.Open(folder)
			assert.NilError(t, err)
			assert.Equal(t, last(got), last(want)+1)
			assert.DeepEqual(t, got.Hard, want.Hard)
			assert.DeepEqual(t, got.Snapshot, want.Snapshot)
			assert.DeepEqual(t, got.Entries[:len(got.Entries)-1], want.Entries)
		})
	}
}

// read returns what a folder holds after some writes.
func read(t *testing.T, write func(s *disk.Store)) world.Stored {
	t.Helper()
	folder := t.TempDir()
	s, _, err := disk.Open(folder)
	assert.NilError(t, err)
	write(s)
	assert.NilError(t, s.Close())
	_, stored, err := disk.Open(folder)
	assert.NilError(t, err)
	return stored
}

// last returns the index of the last entry that a folder holds.
func last(s world.Stored) ident.Index {
	if n := len(s.Entries); n > 0 {
		return s.Entries[n-1].Index
	}
	return s.Snapshot.Index
}

// A host whose disk is full when it starts waits for room, or ends at a stop signal.
func TestFullDiskAtTheStart(t *testing.T) {
	for name, stopped := range map[string]bool{"room comes": false, "the host is stopped": true} {
		t.Run(name, func(t *testing.T) {
			d, stop := &fullDisk{}, make(chan struct{})
			d.set(step{"any", "write"})
			full := make(chan struct{}, 1)
			done := make(chan error, 1)
			go func() {
				s, _, err := disk.OpenWith(disk.Config{Folder: t.TempDir(), Wrap: d.wrap, WaitForRoom: true, Stop: stop, OnFull: func(string, error) { full <- struct{}{} }})
				if err == nil {
					err = s.Write(threeWrites...)
				}
				done <- err
			}()
			<-full
			if stopped {
				close(stop)
				assert.ErrorIs(t, <-done, syscall.ENOSPC)
				return
			}
			d.set()
			assert.NilError(t, <-done)
		})
	}
}

// Another error than a full disk still ends all writes, as the content of the disk is unknown after it.
func TestOtherErrorsAreFinal(t *testing.T) {
	folder := t.TempDir()
	failing := true
	s, _, err := disk.OpenWith(disk.Config{Folder: folder, Wrap: func(_ string, f disk.File) disk.File { return brokenFile{File: f, failing: &failing} }})
	assert.ErrorIs(t, err, syscall.EIO)
	assert.Assert(t, s == nil)
	failing = false
	s, _, err = disk.OpenWith(disk.Config{Folder: folder, Wrap: func(_ string, f disk.File) disk.File { return brokenFile{File: f, failing: &failing} }})
	assert.NilError(t, err)
	failing = true
	assert.ErrorIs(t, s.Write(threeWrites...), syscall.EIO)
	failing = false
	assert.ErrorIs(t, s.Write(threeWrites...), syscall.EIO)
}

type brokenFile struct {
	disk.File
	failing *bool
}

func (f brokenFile) Sync() error {
	if *f.failing {
		return syscall.EIO
	}
	return f.File.Sync()
}
