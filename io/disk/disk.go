// Package disk keeps a voter's log and snapshots in its data folder.
//
// The log is one file of records, each with its length and CRC-32C. A torn tail is cut off at the start;
// a damaged record before the tail is an error.
package disk

import (
	"bufio"
	"crypto/rand"
	"encoding/binary"
	"encoding/hex"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"os"
	"path/filepath"

	"shallotgap/core/ident"
	"shallotgap/core/quorum"
	"shallotgap/core/wire"
	"shallotgap/core/world"
)

// File names below the data folder.
const (
	idFile   = "disk-id"
	logFile  = "log"
	snapFile = "snapshot"
)

// headerSize is the size in bytes of a record's header: length and CRC-32C of the payload, little-endian.
const headerSize = 8

// maxRecord is the largest payload of a record in bytes.
const maxRecord = 256 << 20

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// ErrDamaged is returned when a record before the end of the log does not match its checksum.
var ErrDamaged = errors.New("the log is damaged before its end")

// record is one write: the node's hard state and the entries that replace all from their first index on.
type record struct {
	Hard    *quorum.Hard   `json:"hard,omitempty"`
	Entries []quorum.Entry `json:"entries,omitempty"`
}

// Store is an open data folder.
type Store struct {
	folder string
	log    *os.File
	size   int64
	hard   quorum.Hard
}

// Open reads a data folder, making it if need be, and returns what it held.
func Open(folder string) (*Store, world.Stored, error) {
	if err := os.MkdirAll(folder, 0o750); err != nil {
		return nil, world.Stored{}, fmt.Errorf("open data folder: %w", err)
	}
	s := &Store{folder: folder}
	stored, err := s.read()
	if err != nil {
		return nil, world.Stored{}, fmt.Errorf("open data folder %s: %w", folder, err)
	}
	return s, stored, nil
}

// Close closes the log file.
func (s *Store) Close() error { return s.log.Close() }

func (s *Store) read() (world.Stored, error) {
	id, err := s.identity()
	if err != nil {
		return world.Stored{}, err
	}
	stored := world.Stored{Disk: id}
	if err := s.readSnapshot(&stored.Snapshot); err != nil {
		return stored, err
	}
	s.log, err = os.OpenFile(filepath.Join(s.folder, logFile), os.O_RDWR|os.O_CREATE, 0o640)
	if err != nil {
		return stored, err
	}
	if err := s.readLog(&stored); err != nil {
		return stored, err
	}
	s.hard = stored.Hard
	return stored, syncFolder(s.folder)
}

// identity returns the folder's random identity, giving an empty folder a new one.
func (s *Store) identity() (quorum.DiskID, error) {
	path := filepath.Join(s.folder, idFile)
	data, err := os.ReadFile(path)
	if err == nil {
		return quorum.DiskID(data), nil
	}
	if !errors.Is(err, os.ErrNotExist) {
		return "", err
	}
	if _, err := os.Stat(filepath.Join(s.folder, logFile)); err == nil {
		return "", fmt.Errorf("%s is missing beside a log", idFile)
	}
	var raw [16]byte
	if _, err := rand.Read(raw[:]); err != nil {
		return "", err
	}
	id := hex.EncodeToString(raw[:])
	return quorum.DiskID(id), s.replace(idFile, []byte(id))
}

func (s *Store) readSnapshot(snap *quorum.Snapshot) error {
	data, err := os.ReadFile(filepath.Join(s.folder, snapFile))
	if errors.Is(err, os.ErrNotExist) {
		return nil
	}
	if err != nil {
		return err
	}
	if len(data) < headerSize || crc32.Checksum(data[headerSize:], castagnoli) != binary.LittleEndian.Uint32(data[4:]) {
		return fmt.Errorf("%s: %w", snapFile, ErrDamaged)
	}
	return wire.Unmarshal(data[headerSize:], snap)
}

func (s *Store) readLog(stored *world.Stored) error {
	end, err := s.log.Seek(0, io.SeekEnd)
	if err != nil {
		return err
	}
	if _, err := s.log.Seek(0, io.SeekStart); err != nil {
		return err
	}
	in := bufio.NewReaderSize(s.log, 1<<20)
	for s.size < end {
		payload, err := readRecord(in, end-s.size)
		if errors.Is(err, io.ErrUnexpectedEOF) {
			break
		}
		if err != nil {
			return fmt.Errorf("%s at byte %d: %w", logFile, s.size, err)
		}
		var r record
		if err := wire.Unmarshal(payload, &r); err != nil {
			return fmt.Errorf("%s at byte %d: %w", logFile, s.size, err)
		}
		r.addTo(stored)
		s.size += int64(headerSize + len(payload))
	}
	return s.cut()
}

// cut removes a torn tail and moves to the end.
func (s *Store) cut() error {
	if err := s.log.Truncate(s.size); err != nil {
		return err
	}
	if _, err := s.log.Seek(s.size, io.SeekStart); err != nil {
		return err
	}
	return s.log.Sync()
}

// readRecord returns the next payload; rest is the number of bytes to the end of the file. A record that
// the end cuts off gives io.ErrUnexpectedEOF, and so does a damaged one that reaches exactly to the end.
func readRecord(in io.Reader, rest int64) ([]byte, error) {
	var head [headerSize]byte
	if _, err := io.ReadFull(in, head[:]); err != nil {
		return nil, io.ErrUnexpectedEOF
	}
	size := int64(binary.LittleEndian.Uint32(head[:]))
	if size > rest-headerSize {
		return nil, io.ErrUnexpectedEOF
	}
	if size > maxRecord {
		return nil, ErrDamaged
	}
	payload := make([]byte, size)
	if _, err := io.ReadFull(in, payload); err != nil {
		return nil, io.ErrUnexpectedEOF
	}
	if crc32.Checksum(payload, castagnoli) == binary.LittleEndian.Uint32(head[4:]) {
		return payload, nil
	}
	if size == rest-headerSize {
		return nil, io.ErrUnexpectedEOF
	}
	return nil, ErrDamaged
}

func (r record) addTo(stored *world.Stored) {
	if r.Hard != nil {
		stored.Hard = *r.Hard
	}
	for _, e := range r.Entries {
		if e.Index <= stored.Snapshot.Index {
			continue
		}
		keep := int(e.Index - stored.Snapshot.Index - 1)
		stored.Entries = append(stored.Entries[:keep], e)
	}
}

// Write makes w durable. After an error nothing may be written any more.
func (s *Store) Write(w world.Write) error {
	if w.Snapshot != nil {
		if err := s.writeSnapshot(*w.Snapshot, w.Replace); err != nil {
			return fmt.Errorf("write snapshot: %w", err)
		}
	}
	if w.Hard == nil && len(w.Entries) == 0 {
		return nil
	}
	if w.Hard != nil {
		s.hard = *w.Hard
	}
	if err := s.appendRecord(record{Hard: w.Hard, Entries: w.Entries}); err != nil {
		return fmt.Errorf("write log: %w", err)
	}
	if err := s.log.Sync(); err != nil {
		return fmt.Errorf("sync log: %w", err)
	}
	return nil
}

func (s *Store) appendRecord(r record) error {
	frame, err := frameOf(r)
	if err != nil {
		return err
	}
	n, err := s.log.Write(frame)
	s.size += int64(n)
	return err
}

func frameOf(v any) ([]byte, error) {
	payload, err := wire.Marshal(v)
	if err != nil {
		return nil, err
	}
	frame := make([]byte, headerSize, headerSize+len(payload))
	binary.LittleEndian.PutUint32(frame, uint32(len(payload)))
	binary.LittleEndian.PutUint32(frame[4:], crc32.Checksum(payload, castagnoli))
	return append(frame, payload...), nil
}

// writeSnapshot replaces the snapshot, and then the log by one without the entries that the snapshot holds.
func (s *Store) writeSnapshot(snap quorum.Snapshot, replace bool) error {
	frame, err := frameOf(snap)
	if err != nil {
		return err
	}
	if err := s.replace(snapFile, frame); err != nil {
		return err
	}
	return s.rewriteLog(snap, replace)
}

func (s *Store) rewriteLog(snap quorum.Snapshot, replace bool) error {
	old := world.Stored{}
	if _, err := s.log.Seek(0, io.SeekStart); err != nil {
		return err
	}
	in := bufio.NewReaderSize(s.log, 1<<20)
	for at := int64(0); at < s.size; {
		payload, err := readRecord(in, s.size-at)
		if err != nil {
			return err
		}
		var r record
		if err := wire.Unmarshal(payload, &r); err != nil {
			return err
		}
		old.Snapshot.Index = firstBefore(old, r)
		r.addTo(&old)
		at += int64(headerSize + len(payload))
	}
	kept := record{Hard: &s.hard}
	for _, e := range old.Entries {
		if e.Index > snap.Index && !replace {
			kept.Entries = append(kept.Entries, e)
		}
	}
	frame, err := frameOf(kept)
	if err != nil {
		return err
	}
	if err := s.replace(logFile, frame); err != nil {
		return err
	}
	_ = s.log.Close()
	s.log, err = os.OpenFile(filepath.Join(s.folder, logFile), os.O_RDWR, 0o640)
	if err != nil {
		return err
	}
	s.size = int64(len(frame))
	_, err = s.log.Seek(s.size, io.SeekStart)
	return err
}

// firstBefore returns the index before the first entry of the log file.
func firstBefore(old world.Stored, r record) ident.Index {
	if len(old.Entries) > 0 || len(r.Entries) == 0 {
		return old.Snapshot.Index
	}
	return r.Entries[0].Index - 1
}

// replace writes a file under a new name, syncs it, renames it and syncs the folder.
func (s *Store) replace(name string, data []byte) error {
	path := filepath.Join(s.folder, name)
	f, err := os.OpenFile(path+".new", os.O_WRONLY|os.O_CREATE|os.O_TRUNC, 0o640)
	if err != nil {
		return err
	}
	if _, err := f.Write(data); err != nil {
		_ = f.Close()
		return err
	}
	if err := f.Sync(); err != nil {
		_ = f.Close()
		return err
	}
	if err := f.Close(); err != nil {
		return err
	}
	if err := os.Rename(path+".new", path); err != nil {
		return err
	}
	return syncFolder(s.folder)
}

func syncFolder(folder string) error {
	d, err := os.Open(folder)
	if err != nil {
		return err
	}
	defer func() { _ = d.Close() }()
	return d.Sync()
}
