package front

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"time"

	"shallotgap/core/ident"
	"shallotgap/io/clock"
	"shallotgap/io/dial"
)

// events passes on a stream of events, each of them whole.
type events struct {
	x *exchange
	// at is the place that the answer comes from.
	at      *ask
	last    string // id of the last event that was passed on
	rest    []byte // the beginning of an event
	firstAt ident.Time
	lastAt  ident.Time
	// gap is the longest pause between two events.
	gap time.Duration
	// stall ends the sending when no event comes; nil for a stream that can't go on elsewhere.
	stall *time.Timer
	head  http.Header
}

// begin takes the head of an answer. It is passed on with the first event, so that an answer that breaks off before can
// be replaced by a failure of this host's own; a stream that goes on elsewhere keeps its first head.
func (e *events) begin(answer *dial.Response) {
	e.rest = e.rest[:0]
	if !e.x.committed {
		e.head = e.x.Dialect.Incoming(answer.Header)
	}
}

// commit passes on the head.
func (e *events) commit() {
	if e.x.committed {
		return
	}
	e.x.committed = true
	h := e.x.w.Header()
	for k, v := range e.head {
		h[k] = v
	}
}

// readSize is the size of the pieces in which streams are read; an event has some hundred bytes.
const readSize = 4 << 10

var (
	eventEnd     = []byte("\n\n")
	eventEndCRLF = []byte("\r\n\r\n")
)

var errCutEvent = errors.New("the answer ended within an event")

// copy passes events on until the answer ends; nil means that it came whole.
func (e *events) copy(answer *dial.Response) error {
	buf := make([]byte, readSize)
	for {
		n, err := answer.Read(buf)
		e.rest = append(e.rest, buf[:n]...)
		if werr := e.flush(); werr != nil {
			return werr
		}
		switch {
		case errors.Is(err, io.EOF) && len(e.rest) == 0:
			e.commit()
			return nil
		case errors.Is(err, io.EOF):
			return errCutEvent
		case err != nil:
			return err
		}
	}
}

// flush passes on the whole events that have come.
func (e *events) flush() error {
	end := 0
	if i := bytes.LastIndex(e.rest, eventEnd); i >= 0 {
		end = i + len(eventEnd)
	}
	if i := bytes.LastIndex(e.rest, eventEndCRLF); i >= 0 {
		end = max(end, i+len(eventEndCRLF))
	}
	if end == 0 {
		return nil
	}
	e.time(clock.Boot())
	e.at.read.Store(true)
	if e.stall != nil {
		e.stall.Reset(e.x.nextStall())
	}
	if id, ok := lastID(e.rest[:end]); ok {
		e.last = id
	}
	e.commit()
	if _, err := e.x.w.Write(e.rest[:end]); err != nil {
		return err
	}
	e.rest = append(e.rest[:0], e.rest[end:]...)
	return http.NewResponseController(e.x.w).Flush()
}

// time notes when events came.
func (e *events) time(now ident.Time) {
	if e.firstAt == 0 {
		e.firstAt = now
	} else {
		e.gap = max(e.gap, now.Sub(e.lastAt))
	}
	e.lastAt = now
}

// silence returns how long the caller will still wait for the next event; 0 for as long as it waits at all.
func (e *events) silence(now ident.Time) time.Duration {
	if e.x.route.Silence == 0 {
		return 0
	}
	return max(e.x.route.Silence-now.Sub(max(e.x.began, e.lastAt)), 1)
}

// lastID returns the id of the last event in a piece of a stream.
func lastID(piece []byte) (string, bool) {
	id, found := "", false
	for line := range bytes.Lines(piece) {
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			id, found = string(bytes.TrimSpace(value)), true
		}
	}
	return id, found
}
