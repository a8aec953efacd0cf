package disk

import (
	"fmt"
	"os"

	"shallotgap/core/quorum"
	"shallotgap/core/world"
)

// Write makes writes durable in order, with a single fsync if none of them has a snapshot. After an error, nothing more
// is written and every call returns that error.
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
	if _, err := s.log.Write(frame); err != nil {
		return fmt.Errorf("write log: %w", err)
	}
	if err := s.log.Sync(); err != nil {
		return fmt.Errorf("sync log: %w", err)
	}
	return nil
}

// writeSnapshot replaces the snapshot, and then the log by one that holds only the entries after the snapshot. If
// replace is true, the new log holds no entries.
func (s *Store) writeSnapshot(snap quorum.Snapshot, replace bool) error {
	frame, err := encodeFrame(snap)
	if err != nil {
		return err
	}
	if err := s.replace(snapFile, frame); err != nil {
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
	if err := s.replace(logFile, frame); err != nil {
		return err
	}
	if err := s.log.Close(); err != nil {
		return err
	}
	return s.openLog(len(frame))
}

// replace writes a file under a temporary name, syncs it, renames it and syncs the folder, so that a crash leaves the
// old content or the new.
func (s *Store) replace(name string, data []byte) error {
	f, err := os.OpenFile(s.path(name+".new"), os.O_WRONLY|os.O_CREATE|os.O_TRUNC, 0o640)
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
	if err := os.Rename(s.path(name+".new"), s.path(name)); err != nil {
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
