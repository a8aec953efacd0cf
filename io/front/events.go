package front

import (
	"errors"
	"io"
	"net/http"
	"strings"
	"time"

	"shallotgap/core/event"
	"shallotgap/core/ident"
	"shallotgap/io/clock"
	"shallotgap/io/dial"
	"shallotgap/io/quota"
)

// eventStream forwards server-sent events to the caller, complete events only, from one endpoint or from several in turn.
type eventStream struct {
	exchange *exchange
	// onEvents is called when events have arrived, before they are forwarded.
	onEvents  func()
	stream    *event.Stream
	mediaType string     // of the first response that had an event
	partial   []byte     // received bytes of an incomplete event
	firstAt   ident.Time // arrival of the first event
	attemptAt ident.Time // arrival of the first event of the latest endpoint; 0 before it
	lastAt    ident.Time // arrival of the last event
	// maxGap is the longest time between two events.
	maxGap time.Duration
	// eventTimer aborts the send when no event arrives in time; nil for the last attempt.
	eventTimer *time.Timer
	reported   bool        // see reportWritten
	header     http.Header // of the first response, until it is forwarded
}

// newEventStream returns the stream that the request asks for, of which nothing was forwarded.
func (ex *exchange) newEventStream() *eventStream {
	return &eventStream{exchange: ex, stream: event.New(ex.call.LastEventID)}
}

// start stores the header of a response, to forward it with the first event. A response that breaks off before
// its first event can thus be replaced by an error response. A stream resumed on another endpoint keeps the header of the
// first response. onEvents is called with the arrival of events.
func (e *eventStream) start(resp *dial.Response, onEvents func()) {
	e.onEvents = onEvents
	e.partial = e.partial[:0]
	e.attemptAt, e.reported = 0, false
	e.stream.TakeUp()
	if !e.exchange.committed {
		e.header = e.exchange.Dialect.Incoming(resp.Header)
	}
}

// mediaTypeOf returns the media type of a response without its parameters.
func mediaTypeOf(resp *dial.Response) string {
	text, _, _ := strings.Cut(resp.Header.Get("Content-Type"), ";")
	return strings.ToLower(strings.TrimSpace(text))
}

// continues reports whether a response can go on with the stream: it has the form of the one that began it.
func (e *eventStream) continues(resp *dial.Response) bool {
	return e.firstAt == 0 || mediaTypeOf(resp) == e.mediaType
}

// commitHeader copies the stored header to the response to the caller, once. The first write or the end of the request sends
// the header.
func (e *eventStream) commitHeader() {
	if e.exchange.committed {
		return
	}
	e.exchange.committed = true
	h := e.exchange.w.Header()
	for k, v := range e.header {
		h[k] = v
	}
}

// beginsEvents reports whether the body of a response is a stream of events, by its first bytes if its media type does not say so. Those
// are read again.
func beginsEvents(resp *dial.Response) bool {
	if mediaTypeOf(resp) == eventStreamType {
		return true
	}
	var read []byte
	defer func() { resp.Unread(read) }()
	for buf := make([]byte, readSize); ; {
		n, err := resp.Read(buf)
		read = append(read, buf[:n]...)
		if begins, certain := event.Begins(read); certain || err != nil {
			return begins
		}
	}
}

const eventStreamType = "text/event-stream"

// readSize is the size of the read buffer for streams; an event has some hundred bytes.
const readSize = 4 << 10

// maxEvent is the largest size of one event in bytes.
const maxEvent = 1 << 20

var (
	errTruncatedEvent = errors.New("the response ended within an event")
	errEventTooLong   = errors.New("the event is too long")
	errEmptyStream    = errors.New("the response ended without an event")
)

// copy forwards events until the response ends; a nil error means that the response was complete.
func (e *eventStream) copy(resp *dial.Response) error {
	defer func() {
		quota.Recycle(e.partial)
		e.partial = nil
	}()
	buf := make([]byte, readSize)
	for {
		n, err := resp.Read(buf)
		if need := len(e.partial) + n; need > cap(e.partial) {
			if holdErr := resp.Hold(cap(e.partial) + 2*need); holdErr != nil {
				return holdErr
			}
			e.partial = quota.Grow(e.partial, need)
		}
		e.partial = append(e.partial, buf[:n]...)
		if flushErr := e.flush(mediaTypeOf(resp)); flushErr != nil {
			return flushErr
		}
		switch {
		case len(e.partial) > maxEvent:
			return errEventTooLong
		case errors.Is(err, io.EOF) && len(e.partial) == 0 && e.attemptAt == 0:
			return errEmptyStream // it may lack the rest of the stream
		case errors.Is(err, io.EOF) && len(e.partial) == 0:
			return nil
		case errors.Is(err, io.EOF):
			return errTruncatedEvent
		case err != nil:
			return err
		}
	}
}

// flush forwards the complete events received so far and keeps the rest in partial. It fails if other bytes than the next event follow.
func (e *eventStream) flush(mediaType string) error {
	end, oddErr := e.stream.Split(e.partial)
	if end == 0 {
		return oddErr
	}
	if e.firstAt == 0 {
		e.mediaType = mediaType
	}
	e.recordArrival(clock.Boot())
	e.onEvents()
	if e.eventTimer != nil {
		e.eventTimer.Reset(e.exchange.nextEventTimeout())
	}
	e.commitHeader()
	if _, err := e.exchange.w.Write(e.partial[:end]); err != nil {
		return err
	}
	e.partial = append(e.partial[:0], e.partial[end:]...)
	if err := http.NewResponseController(e.exchange.w).Flush(); err != nil {
		return err
	}
	return oddErr
}

// recordArrival records the arrival time of events, for the time to the first event and the longest gap.
func (e *eventStream) recordArrival(now ident.Time) {
	if e.firstAt == 0 {
		e.firstAt = now
	} else {
		e.maxGap = max(e.maxGap, now.Sub(e.lastAt))
	}
	if e.attemptAt == 0 {
		e.attemptAt = now
	}
	e.lastAt = now
}

// wrote returns for how long the latest endpoint has sent events.
func (e *eventStream) wrote() time.Duration {
	if e.attemptAt == 0 {
		return 0
	}
	return e.lastAt.Sub(e.attemptAt)
}

// silenceLeft returns how long the caller will still wait for the next event, from the route's limit; 0 for no such limit.
func (e *eventStream) silenceLeft(now ident.Time) time.Duration {
	if e.exchange.route.Silence == 0 {
		return 0
	}
	return max(e.exchange.route.Silence-now.Sub(max(e.exchange.receivedAt, e.lastAt)), 1)
}
