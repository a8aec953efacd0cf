package disk

import (
	"errors"
	"fmt"

	"shallotgap/core/ident"
	"shallotgap/core/quorum"
	"shallotgap/core/wire"
)

// base is the position in the replicated log after which the entries of a log file begin.
type base struct {
	Index ident.Index `json:"index"`
	Term  ident.Term  `json:"term"`
}

// record is one write: the node's hard state and the entries that replace all from their first index on.
type record struct {
	// Base is set in the first record of a log file that follows a snapshot.
	Base    *base             `json:"base,omitempty"`
	Hard    *quorum.HardState `json:"hard,omitempty"`
	Entries []quorum.Entry    `json:"entries,omitempty"`
}

// image is what the records of a log file amount to.
type image struct {
	base    base
	hard    quorum.HardState
	entries []quorum.Entry
}

var errGap = errors.New("damaged: entries are missing")

// readImage returns what a log file holds and the length of its whole frames in bytes.
func readImage(data []byte) (image, int, error) {
	var img image
	at := 0
	for at < len(data) {
		payload, err := payloadAt(data, at)
		if errors.Is(err, errTorn) {
			break
		}
		if err == nil {
			err = img.addFrame(payload)
		}
		if err != nil {
			return img, at, fmt.Errorf("%s at byte %d: %w", logFile, at, err)
		}
		at += headerSize + len(payload)
	}
	return img, at, nil
}

// addFrame adds the records that were written together.
func (img *image) addFrame(payload []byte) error {
	var list []record
	if err := wire.Unmarshal(payload, &list); err != nil {
		return err
	}
	for _, r := range list {
		if err := img.add(r); err != nil {
			return err
		}
	}
	return nil
}

func (img *image) add(r record) error {
	if r.Base != nil {
		img.base = *r.Base
		img.entries = nil
	}
	if r.Hard != nil {
		img.hard = *r.Hard
	}
	for _, e := range r.Entries {
		if e.Index <= img.base.Index || e.Index > img.base.Index+ident.Index(len(img.entries))+1 {
			return errGap
		}
		img.entries = append(img.entries[:e.Index-img.base.Index-1], e)
	}
	return nil
}

// after returns the entries that follow a snapshot. When the file does not hold the snapshot's last entry, all its
// entries belong to a history that the snapshot replaced.
func (img *image) after(s quorum.Snapshot) []quorum.Entry {
	if s.Index == img.base.Index && s.Term == img.base.Term {
		return img.entries
	}
	if s.Index <= img.base.Index || s.Index > img.base.Index+ident.Index(len(img.entries)) {
		return nil
	}
	at := s.Index - img.base.Index
	if img.entries[at-1].Term != s.Term {
		return nil
	}
	return img.entries[at:]
}
