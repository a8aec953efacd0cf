package dial

import (
	"errors"
	"fmt"
	"net/http"
)

// ErrNoAnswer is wrapped by the errors for bytes that are no answer in HTTP/1.
var ErrNoAnswer = errors.New("not an answer in HTTP/1")

// Final statuses of answers.
const (
	minStatus = 200
	maxStatus = 599
)

// CheckHead returns an error unless a response has the status of a final answer and the names of all fields are tokens. net/http passes on any
// number of three digits, and names that hold blanks.
func CheckHead(status int, h http.Header) error {
	if status < minStatus || status > maxStatus {
		return fmt.Errorf("%w: status %03d", ErrNoAnswer, status)
	}
	for name := range h {
		if !isToken(name) {
			return fmt.Errorf("%w: field name %q", ErrNoAnswer, name)
		}
	}
	return nil
}

// IsEndless reports whether the body of a response ends with its connection, without any other mark of its end.
func IsEndless(r *http.Response) bool {
	return r.Body != http.NoBody && r.ContentLength < 0 && len(r.TransferEncoding) == 0
}

// isInterim reports whether an answer precedes the final one. Hosts never ask for another protocol, so that status 101 is an error.
func isInterim(status int) bool {
	return status >= http.StatusContinue && status < minStatus && status != http.StatusSwitchingProtocols
}

func isToken(name string) bool {
	for i := range len(name) {
		if !isTokenByte(name[i]) {
			return false
		}
	}
	return name != ""
}

// isTokenByte reports whether the name of a field may hold a byte.
func isTokenByte(b byte) bool {
	switch {
	case 'a' <= b && b <= 'z', 'A' <= b && b <= 'Z', '0' <= b && b <= '9':
		return true
	}
	switch b {
	case '!', '#', '$', '%', '&', '\'', '*', '+', '-', '.', '^', '_', '`', '|', '~':
		return true
	}
	return false
}

// headPart is a part of the head of an answer.
type headPart uint8

const (
	statusLine headPart = iota
	lineStart           // of a field, or of the empty line
	fieldName
	fieldValue
	lineEnd   // after the CR of a line
	emptyLine // after the CR of the empty line
	headEnd
)

// headScanner checks the heads of interim answers and of the final one as their bytes arrive. net/http accepts names that hold blanks and joins
// folded lines, so that a field that tells the length of the body may be lost.
type headScanner struct {
	part headPart
	// spaced is true after the blank that precedes the status, class is the first digit of the status.
	spaced bool
	class  byte
}

// scan checks the next bytes. Those after the head of the final answer are not looked at.
func (s *headScanner) scan(data []byte) error {
	for _, b := range data {
		if s.part == headEnd {
			return nil
		}
		if err := s.next(b); err != nil {
			return err
		}
	}
	return nil
}

func (s *headScanner) next(b byte) error {
	switch s.part {
	case statusLine:
		s.noteStatus(b)
		return s.inLine(b)
	case lineStart:
		return s.startLine(b)
	case fieldName:
		if b == ':' {
			s.part = fieldValue
			return nil
		}
		return checkName(b)
	case fieldValue:
		return s.inLine(b)
	case lineEnd:
		if b != '\n' {
			return fmt.Errorf("%w: a CR within a line", ErrNoAnswer)
		}
		s.part = lineStart
	case emptyLine:
		if b != '\n' {
			return fmt.Errorf("%w: a CR within a line", ErrNoAnswer)
		}
		s.endHead()
	}
	return nil
}

// noteStatus records the first digit of the status.
func (s *headScanner) noteStatus(b byte) {
	switch {
	case b == ' ':
		s.spaced = true
	case s.spaced && s.class == 0:
		s.class = b
	}
}

// inLine takes a byte of the status line or of a value.
func (s *headScanner) inLine(b byte) error {
	switch {
	case b == '\r':
		s.part = lineEnd
	case b == '\n':
		s.part = lineStart
	case (b < ' ' && b != '\t') || b == 0x7f:
		return fmt.Errorf("%w: control byte %#02x", ErrNoAnswer, b)
	}
	return nil
}

func (s *headScanner) startLine(b byte) error {
	switch b {
	case '\r':
		s.part = emptyLine
	case '\n':
		s.endHead()
	default:
		s.part = fieldName
		return checkName(b)
	}
	return nil
}

// endHead ends the head of one answer. That of the next one follows an interim answer.
func (s *headScanner) endHead() {
	interim := s.class == '1'
	*s = headScanner{}
	if !interim {
		s.part = headEnd
	}
}

func checkName(b byte) error {
	if !isTokenByte(b) {
		return fmt.Errorf("%w: byte %#02x in the name of a field", ErrNoAnswer, b)
	}
	return nil
}
