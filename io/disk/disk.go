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

	"shallotgap/core/quorum"
	"shallotgap/core/wire"
	"shallotgap/core/world"
)

// File names in the data folder.
const (
	idFile   = "disk-id"
	logFile  = "log"
	snapFile = "snapshot"
)

// File is the part of *os.File that the log is written with.
type File interface {
	io.WriteCloser
	Sync() error
}

var _ File = (*os.File)(nil)

// Store is an open data folder.
type Store struct {
	// Wrap, if set, wraps each log file that is opened. Tests use it to make writes fail.
	Wrap   func(File) File
	folder string
	log    File
	hard   quorum.HardState // the hard state last written
	// failed is the first error of a write. Nothing is written after it, because the content of the disk is then unknown.
	failed error
}

// Open opens a data folder, creates it if it does not exist, and returns its content.
func Open(folder string) (*Store, world.Stored, error) {
	return OpenWith(folder, nil)
}

// OpenWith is like Open, with a wrapper for the log file; nil means none.
func OpenWith(folder string, wrap func(File) File) (*Store, world.Stored, error) {
	if err := os.MkdirAll(folder, 0o750); err != nil {
		return nil, world.Stored{}, fmt.Errorf("open data folder: %w", err)
	}
	s := &Store{Wrap: wrap, folder: folder}
	stored, err := s.read()
	if err != nil {
		return nil, world.Stored{}, fmt.Errorf("open data folder %s: %w", folder, err)
	}
	return s, stored, nil
}

// Close closes the log file.
func (s *Store) Close() error { return s.log.Close() }

func (s *Store) path(name string) string { return filepath.Join(s.folder, name) }

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
		return stored, fmt.Errorf("%s ends at entry %d but %s begins after %d: %w", snapFile, stored.Snapshot.Index, logFile, content.base.Index, errMissingEntries)
	}
	stored.Hard = content.hard
	stored.Entries = content.entriesAfter(stored.Snapshot)
	s.hard = content.hard
	return stored, s.openLog(size)
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
	for _, name := range []string{logFile, snapFile} {
		if _, err := os.Stat(s.path(name)); err == nil {
			return "", fmt.Errorf("%s is missing beside %s", idFile, name)
		}
	}
	var raw [16]byte
	if _, err := rand.Read(raw[:]); err != nil {
		return "", err
	}
	id := hex.EncodeToString(raw[:])
	return quorum.DiskID(id), s.replace(idFile, []byte(id))
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
	data, err := os.ReadFile(s.path(logFile))
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		return logContent{}, 0, err
	}
	return readContent(data)
}

// openLog opens the log file for writing after its first size bytes, and truncates the rest, such as a torn write.
func (s *Store) openLog(size int) error {
	f, err := os.OpenFile(s.path(logFile), os.O_RDWR|os.O_CREATE, 0o640)
	if err != nil {
		return err
	}
	if err := truncate(f, int64(size)); err != nil {
		_ = f.Close()
		return err
	}
	s.log = f
	if s.Wrap != nil {
		s.log = s.Wrap(f)
	}
	return syncFolder(s.folder)
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
