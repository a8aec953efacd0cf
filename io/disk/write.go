package disk

import (
	"fmt"
	"os"

	"shallotgap/core/quorum"
	"shallotgap/core/world"
)

// Write makes writes durable in order, with a single fsync if none of them has a snapshot. While the disk is full it waits, if WaitForRoom is set. After
// another error, nothing more is written and every call returns that error.
func (s *Store) Write(list ...world.Write) error {
	if s.failed == nil {
		s.failed = s.write(list)
	}
	return s.failed
}

func (s *Store) write(list []world.Write) error {
	var records []logRecord
	for _, w := range list {
		if w.Snapshot != nil {
			if err := s.appendRecords(records); err != nil {
				return err
			}
			records = nil
			if err := s.writeSnapshot(*w.Snapshot, w.Replace); err != nil {
				return fmt.Errorf("write snapshot: %w", err)
			}
		}
		if w.Hard != nil {
			s.hard = *w.Hard
		}
		if w.Hard != nil || len(w.Entries) > 0 {
			records = append(records, logRecord{Hard: w.Hard, Entries: w.Entries})
		}
	}
	return s.appendRecords(records)
}

// appendRecords writes records as one frame, so that after a crash the log holds all of them or none, and syncs it.
func (s *Store) appendRecords(records []logRecord) error {
	if len(records) == 0 {
		return nil
	}
	frame, err := encodeFrame(records)
	if err != nil {
		return fmt.Errorf("write log: %w", err)
	}
	return s.untilRoom("write log", func() error { return s.appendFrame(frame) })
}

// appendFrame appends a frame to the log and syncs it. After a failure it first cuts off what that has left.
func (s *Store) appendFrame(frame []byte) error {
	if s.dirty {
		_ = s.log.Close() // the file is opened anew
		if err := s.openLog(s.size); err != nil {
			return fmt.Errorf("cut log: %w", err)
		}
	}
	s.dirty = true
	if _, err := s.log.Write(frame); err != nil {
		return fmt.Errorf("write log: %w", err)
	}
	if err := s.log.Sync(); err != nil {
		return fmt.Errorf("sync log: %w", err)
	}
	s.dirty = false
	s.size += len(frame)
	return nil
}

// writeSnapshot replaces the snapshot, and then the log by one that holds only the entries after the snapshot. If
// replace is true, the new log holds no entries.
func (s *Store) writeSnapshot(snap quorum.Snapshot, replace bool) error {
	frame, err := encodeFrame(snap)
	if err != nil {
		return err
	}
	if err := s.replaceWhenRoom(snapFile, frame); err != nil {
		return err
	}
	first := logRecord{Base: &logBase{Index: snap.Index, Term: snap.Term}, Hard: &s.hard}
	if !replace {
		content, _, err := s.readLog()
		if err != nil {
			return err
		}
		first.Entries = content.entriesAfter(snap)
	}
	if frame, err = encodeFrame([]logRecord{first}); err != nil {
		return err
	}
	if err := s.replaceWhenRoom(LogFile, frame); err != nil {
		return err
	}
	if err := s.log.Close(); err != nil && !isFull(err) {
		return err // the file is replaced, but the disk may be damaged
	}
	return s.untilRoom("open log", func() error { return s.openLog(len(frame)) })
}

// replace writes a file under a temporary name, syncs it, renames it and syncs the folder, so that a crash leaves the
// old content or the new.
func (s *Store) replace(name string, data []byte) error {
	temporary := name + ".new"
	if err := s.create(temporary, data); err != nil {
		if isFull(err) {
			_ = os.Remove(s.path(temporary)) // its part may be the room that is missing; if it stays, the next try replaces it
		}
		return err
	}
	if err := os.Rename(s.path(temporary), s.path(name)); err != nil {
		return err
	}
	return syncFolder(s.Folder)
}

// replaceWhenRoom is like replace, but waits while the disk is full.
func (s *Store) replaceWhenRoom(name string, data []byte) error {
	return s.untilRoom("write "+name, func() error { return s.replace(name, data) })
}

// create writes a file and syncs it.
func (s *Store) create(name string, data []byte) error {
	opened, err := os.OpenFile(s.path(name), os.O_WRONLY|os.O_CREATE|os.O_TRUNC, 0o640)
	if err != nil {
		return err
	}
	f := s.wrapped(name, opened)
	if _, err := f.Write(data); err != nil {
		_ = f.Close()
		return err
	}
	if err := f.Sync(); err != nil {
		_ = f.Close()
		return err
	}
	return f.Close()
}

func syncFolder(folder string) error {
	d, err := os.Open(folder)
	if err != nil {
		return err
	}
	defer func() { _ = d.Close() }()
	return d.Sync()
}
