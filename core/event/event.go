// Package event validates server-sent events. It detects other bytes in a stream, such as the text of an error or the header of another
// response, and events that are repeated or out of order. The ids of the events of a stream increase.
package event

import (
	"bytes"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"
)

// Errors of Split.
var (
	// ErrForm is wrapped by the error for bytes that are no event.
	ErrForm = errors.New("not an event")
	// ErrOrder is wrapped by the error for an event that does not come next.
	ErrOrder = errors.New("not the next event")
)

// Stream is what is known of a stream from the events that were passed on.
type Stream struct {
	lastID string
	last   uint64 // lastID as a number
	number bool   // lastID is a number
	// step is the difference of the ids so far; 0 if it differs or is not known.
	step  uint64
	steps int  // number of differences seen
	taken bool // the next event is the first one of another endpoint
	begun bool // an event was passed on
}

// New returns a stream of which the caller has the events up to lastID, or none if it is empty.
func New(lastID string) *Stream {
	s := &Stream{}
	s.setLast(lastID)
	return s
}

// LastID returns the id of the last event.
func (s *Stream) LastID() string { return s.lastID }

// TakeUp marks the next event as the first one that another endpoint sends.
func (s *Stream) TakeUp() { s.taken = s.begun }

// Split returns the number of bytes at the beginning of data that are complete events of the stream. The error says why the bytes after
// them are not the next event; it is nil if they are the beginning of one.
func (s *Stream) Split(data []byte) (int, error) {
	end := 0
	for {
		size := blockSize(data[end:])
		if size == 0 {
			return end, nil
		}
		if err := s.take(data[end : end+size]); err != nil {
			return end, err
		}
		end += size
	}
}

// blockSize returns the size of the first block of lines with the empty line that ends it, or 0 if it is not complete.
func blockSize(data []byte) int {
	for at := 0; ; {
		n := bytes.IndexByte(data[at:], '\n')
		if n < 0 {
			return 0
		}
		line := data[at : at+n]
		at += n + 1
		if len(line) == 0 || (len(line) == 1 && line[0] == '\r') {
			return at
		}
	}
}

// take checks one block and records it as the latest event, unless it consists of comments only.
func (s *Stream) take(block []byte) error {
	id, comment, err := parse(block)
	if err != nil || comment {
		return err
	}
	n, numErr := strconv.ParseUint(id, 10, 64)
	isNumber := numErr == nil
	switch {
	case s.lastID != "" && id == s.lastID:
		return fmt.Errorf("%w: %q comes twice", ErrOrder, id)
	case s.number && isNumber && n < s.last:
		return fmt.Errorf("%w: %d comes after %d", ErrOrder, n, s.last)
	case s.taken && s.number && (!isNumber || (s.steps >= 2 && s.step != 0 && n != s.last+s.step)):
		return fmt.Errorf("%w: %q comes after %q, in steps of %d", ErrOrder, id, s.lastID, s.step)
	}
	if s.number && isNumber && s.begun {
		if step := n - s.last; s.steps == 0 || step == s.step {
			s.step = step
		} else {
			s.step = 0
		}
		s.steps++
	}
	s.begun, s.taken = true, false
	s.setLast(id)
	return nil
}

func (s *Stream) setLast(id string) {
	n, err := strconv.ParseUint(id, 10, 64)
	s.lastID, s.last, s.number = id, n, err == nil
}

// maxID is the longest id in bytes.
const maxID = 256

// parse returns the id of a block. comment is true for a block of comments only, which keep a connection open.
func parse(block []byte) (id string, comment bool, err error) {
	comment, named := true, false
	for line := range bytes.Lines(block) {
		line = bytes.TrimSuffix(bytes.TrimSuffix(line, []byte("\n")), []byte("\r"))
		if len(line) == 0 || line[0] == ':' {
			continue
		}
		comment = false
		name, value, _ := bytes.Cut(line, []byte(":"))
		if !isField(name, len(name) < len(line)) {
			return "", false, fmt.Errorf("%w: line %q", ErrForm, line[:min(len(line), 64)])
		}
		if string(name) == "id" {
			id, named = string(bytes.TrimSpace(value)), true
		}
	}
	if !comment && (!named || id == "" || len(id) > maxID) {
		return "", false, fmt.Errorf("%w: it has no id", ErrForm)
	}
	return id, comment, nil
}

// standardFields are the names of the fields of the standard.
var standardFields = []string{"data", "event", "id", "retry"}

// Begins reports whether data is the beginning of an event, and whether that is certain: it isn't until the name of the first field has come.
func Begins(data []byte) (begins, certain bool) {
	line, _, whole := bytes.Cut(data, []byte("\n"))
	name, _, colon := bytes.Cut(line, []byte(":"))
	name = bytes.TrimSuffix(name, []byte("\r"))
	switch {
	case len(line) == 0 && !whole:
		return true, false
	case len(name) == 0: // a comment, or an empty line
		return true, true
	case colon || whole:
		return slices.Contains(standardFields, string(name)), true
	}
	isPrefix := slices.ContainsFunc(standardFields, func(f string) bool { return strings.HasPrefix(f, string(name)) })
	return isPrefix, !isPrefix
}

// isField reports whether the name of a line can be that of a field: lower case, as the fields of events are. Without a colon only the
// fields of the standard are.
func isField(name []byte, colon bool) bool {
	if !colon {
		return slices.Contains(standardFields, string(name))
	}
	for _, c := range name {
		if (c < 'a' || c > 'z') && (c < '0' || c > '9') && c != '-' && c != '_' {
			return false
		}
	}
	return len(name) > 0
}
