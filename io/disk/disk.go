// Package disk stores a voter's log and snapshots in its data folder.
//
// The log is one file of frames with checksums. A torn write at its end is truncated when the folder is opened; any
// other damage is an error that names the file and the byte offset.
package disk

import (
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"sync"
	"time"

	"shallotgap/core/quorum"
	"shallotgap/core/wire"
	"shallotgap/core/world"
)

// File names in the data folder.
const (
	idFile = "disk-id"
	// LogFile is the name of the replicated log.
	LogFile  = "log"
	snapFile = "snapshot"
)

// File is the part of *os.File that the log is written with.
type File interface {
	io.WriteCloser
	Sync() error
}

var _ File = (*os.File)(nil)

// Config holds the settings of a Store.
type Config struct {
	Folder string
	// Wrap, if set, wraps each file that is opened for writing, by its name. Tests use it to make writes fail.
	Wrap func(name string, f File) File
	// WaitForRoom makes writes wait while the disk is full; else that is an error like others.
	WaitForRoom bool
	// Stop ends waits for room on a full disk when it is closed; nil for waits that only Abandon ends.
	Stop <-chan struct{}
	// OnFull is called when a step of a write begins to wait for room, and OnRoom when it is done after a wait; nil for none.
	OnFull func(step string, err error)
	OnRoom func(step string, waited time.Duration)
}

// Store is an open data folder.
type Store struct {
	Config
	log File
	// abandoned is closed by Abandon.
	abandoned   chan struct{}
	abandonOnce sync.Once
	// size is the size in bytes of the log that is durable. A write that failed on a full disk has left more if dirty is true.
	size  int
	dirty bool
	hard  quorum.HardState // the hard state last written
	// failed is the first error of a write. Nothing is written after it, because the content of the disk is then unknown.
	failed error
}

// Open opens a data folder, creates it if it does not exist, and returns its content.
func Open(folder string) (*Store, world.Stored, error) {
	return OpenWith(Config{Folder: folder})
}

// OpenWith is like Open, with further settings.
func OpenWith(c Config) (*Store, world.Stored, error) {
	s := &Store{Config: c, abandoned: make(chan struct{})}
	if err := s.untilRoom("open", func() error { return os.MkdirAll(c.Folder, 0o750) }); err != nil {
		return nil, world.Stored{}, fmt.Errorf("open data folder: %w", err)
	}
	stored, err := s.read()
	if err != nil {
		return nil, world.Stored{}, fmt.Errorf("open data folder %s: %w", c.Folder, err)
	}
	return s, stored, nil
}

// Close closes the log file.
func (s *Store) Close() error { return s.log.Close() }

func (s *Store) path(name string) string { return filepath.Join(s.Folder, name) }

// read returns the content of the data folder and opens the log for writing.
func (s *Store) read() (world.Stored, error) {
	id, err := s.identity()
	if err != nil {
		return world.Stored{}, err
	}
	stored := world.Stored{Disk: id}
	if err := s.readSnapshot(&stored.Snapshot); err != nil {
		return stored, err
	}
	content, size, err := s.readLog()
	if err != nil {
		return stored, err
	}
	if content.base.Index > stored.Snapshot.Index {
		return stored, fmt.Errorf("%s ends at entry %d but %s begins after %d: %w", snapFile, stored.Snapshot.Index, LogFile, content.base.Index, errMissingEntries)
	}
	stored.Hard = content.hard
	stored.Entries = content.entriesAfter(stored.Snapshot)
	s.hard = content.hard
	return stored, s.untilRoom("open", func() error { return s.openLog(size) })
}

// identity returns the random ID of the data folder. An empty folder gets a new one; a log or snapshot without an ID is
// an error.
func (s *Store) identity() (quorum.DiskID, error) {
	data, err := os.ReadFile(s.path(idFile))
	if err == nil {
		return quorum.DiskID(data), nil
	}
	if !errors.Is(err, os.ErrNotExist) {
		return "", err
	}
	for _, name := range []string{LogFile, snapFile} {
		if _, err := os.Stat(s.path(name)); err == nil {
			return "", fmt.Errorf("%s is missing beside %s", idFile, name)
		}
	}
	var raw [16]byte
	if _, err := rand.Read(raw[:]); err != nil {
		return "", err
	}
	id := hex.EncodeToString(raw[:])
	return quorum.DiskID(id), s.replaceWhenRoom(idFile, []byte(id))
}

func (s *Store) readSnapshot(snap *quorum.Snapshot) error {
	data, err := os.ReadFile(s.path(snapFile))
	if errors.Is(err, os.ErrNotExist) {
		return nil
	}
	if err != nil {
		return err
	}
	payload, err := payloadAt(data, 0)
	if err != nil {
		return fmt.Errorf("%s at byte 0: %w", snapFile, ErrDamaged)
	}
	return wire.Unmarshal(payload, snap)
}

func (s *Store) readLog() (logContent, int, error) {
	data, err := os.ReadFile(s.path(LogFile))
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		return logContent{}, 0, err
	}
	return readContent(data)
}

// openLog opens the log file for writing after its first size bytes, and truncates the rest, such as a torn write.
func (s *Store) openLog(size int) error {
	f, err := os.OpenFile(s.path(LogFile), os.O_RDWR|os.O_CREATE, 0o640)
	if err != nil {
		return err
	}
	if err := truncate(f, int64(size)); err != nil {
		_ = f.Close()
		return err
	}
	if err := syncFolder(s.Folder); err != nil {
		_ = f.Close()
		return err
	}
	s.log, s.size, s.dirty = s.wrapped(LogFile, f), size, false
	return nil
}

// wrapped returns a file that was opened for writing, as Wrap wants it.
func (s *Store) wrapped(name string, f File) File {
	if s.Wrap == nil {
		return f
	}
	return s.Wrap(name, f)
}

func truncate(f *os.File, size int64) error {
	if err := f.Truncate(size); err != nil {
		return err
	}
	if _, err := f.Seek(size, io.SeekStart); err != nil {
		return err
	}
	return f.Sync()
}
