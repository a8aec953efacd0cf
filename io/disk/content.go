package disk

import (
	"errors"
	"fmt"

	"shallotgap/core/ident"
	"shallotgap/core/quorum"
	"shallotgap/core/wire"
)

// logBase is the position in the replicated log after which the entries of a log file begin.
type logBase struct {
	Index ident.Index `json:"index"`
	Term  ident.Term  `json:"term"`
}

// logRecord is one write: the hard state of the node, and entries. The entries replace all earlier entries from the index of
// their first one on.
type logRecord struct {
	// Base is set in the first record of a log file that was started after a snapshot.
	Base    *logBase          `json:"base,omitempty"`
	Hard    *quorum.HardState `json:"hard,omitempty"`
	Entries []quorum.Entry    `json:"entries,omitempty"`
}

// logContent is the result of applying all records of a log file.
type logContent struct {
	base    logBase
	hard    quorum.HardState
	entries []quorum.Entry
}

var errMissingEntries = errors.New("damaged: entries are missing")

// readContent decodes a log file. It returns the content and the length of the complete frames in bytes.
func readContent(data []byte) (logContent, int, error) {
	var c logContent
	offset := 0
	for offset < len(data) {
		payload, err := payloadAt(data, offset)
		if errors.Is(err, errTorn) {
			break
		}
		if err == nil {
			err = c.applyFrame(payload)
		}
		if err != nil {
			return c, offset, fmt.Errorf("%s at byte %d: %w", LogFile, offset, err)
		}
		offset += headerSize + len(payload)
	}
	return c, offset, nil
}

// applyFrame decodes the records in the payload of one frame and applies them to c.
func (c *logContent) applyFrame(payload []byte) error {
	var list []logRecord
	if err := wire.Unmarshal(payload, &list); err != nil {
		return err
	}
	for _, r := range list {
		if err := c.apply(r); err != nil {
			return err
		}
	}
	return nil
}

// apply updates c with one record. Entries of the record replace the entries of c from the same index on.
func (c *logContent) apply(r logRecord) error {
	if r.Base != nil {
		c.base = *r.Base
		c.entries = nil
	}
	if r.Hard != nil {
		c.hard = *r.Hard
	}
	for _, e := range r.Entries {
		if e.Index <= c.base.Index || e.Index > c.base.Index+ident.Index(len(c.entries))+1 {
			return errMissingEntries
		}
		c.entries = append(c.entries[:e.Index-c.base.Index-1], e)
	}
	return nil
}

// entriesAfter returns the entries that follow a snapshot. If the file lacks the last entry that the snapshot covers, the
// entries of the file belong to a history that the snapshot replaced, and none is returned.
func (c *logContent) entriesAfter(s quorum.Snapshot) []quorum.Entry {
	if s.Index == c.base.Index && s.Term == c.base.Term {
		return c.entries
	}
	if s.Index <= c.base.Index || s.Index > c.base.Index+ident.Index(len(c.entries)) {
		return nil
	}
	offset := s.Index - c.base.Index
	if c.entries[offset-1].Term != s.Term {
		return nil
	}
	return c.entries[offset:]
}
