package engine

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"

	"shallotgap/core/claim"
	"shallotgap/core/lease"
	"shallotgap/core/world"
	"shallotgap/io/dial"
	"shallotgap/io/quota"
	"shallotgap/io/relay"
)

var (
	errWrongModel   = errors.New("the answer names another model")
	errWrongRequest = errors.New("the answer names another request")
	errNoEnd        = errors.New("the stream ended without its end mark")
	errRejected     = errors.New("the endpoint refused the request without running it")
)

// answerReader reads the answer of an endpoint to one request and emits it in chunks.
type answerReader struct {
	dispatch world.Dispatch
	emit     func(relay.Chunk)
	lease    *quota.Lease
	unread   quota.Bytes   // bytes of a stream since its last event
	seq      uint32        // sequence number of the next chunk
	stored   *claim.Answer // copy of the answer to store, if the request has an idempotency key
	tooLong  bool          // the answer exceeds claim.MaxBody and is not stored
}

// read emits the answer, and returns an error if the endpoint rejected the request or gave no complete answer.
func (r *answerReader) read(ctx context.Context, resp *http.Response, stream bool) error {
	if err := dial.CheckHead(resp.StatusCode, resp.Header); err != nil {
		return err
	}
	if rejected(r.dispatch.Endpoint, resp.StatusCode) {
		text, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorText))
		return fmt.Errorf("%w: %s %s", errRejected, resp.Status, strings.TrimSpace(string(text)))
	}
	if resp.StatusCode >= http.StatusInternalServerError {
		return fmt.Errorf("the endpoint answered %s", resp.Status)
	}
	isEventStream := strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream")
	if stream && isEventStream {
		return r.readStream(resp)
	}
	return r.readWhole(ctx, resp)
}

// maxErrorText bounds how much of an endpoint's error message is quoted, in bytes.
const maxErrorText = 256

// rejected reports whether a status proves that the endpoint did not run the request: an engine has not loaded the
// adapter (404), or an endpoint that checks fencing tokens found the token of this host outdated (412). A 404 from a
// plain service is an ordinary answer.
func rejected(e lease.Owned, status int) bool {
	if status == http.StatusPreconditionFailed {
		return e.ChecksFence
	}
	return status == http.StatusNotFound && e.Kind == lease.Engine
}

// readWhole reads an unstreamed answer to its end and emits it as one chunk.
func (r *answerReader) readWhole(ctx context.Context, resp *http.Response) error {
	body, err := quota.ReadAll(resp.Body, maxAnswer+1, func(n int) error { return r.lease.Hold(quota.Bytes(n)) })
	if err != nil {
		return r.cause(err)
	}
	if len(body) > maxAnswer {
		return errors.New("the answer is too long")
	}
	if err := checkEnd(ctx, r.dispatch.Endpoint, resp); err != nil {
		return err
	}
	if resp.StatusCode == http.StatusOK {
		if err := r.checkAnswer(body); err != nil {
			return err
		}
	}
	contentType := resp.Header.Get("Content-Type")
	r.store(resp, body)
	r.emitChunk(relay.Chunk{Status: resp.StatusCode, ContentType: contentType, Data: body, End: true})
	return nil
}

// store appends to the stored answer of a request with an idempotency key. An answer that is longer than claim.MaxBody
// is not stored at all.
func (r *answerReader) store(resp *http.Response, part []byte) {
	if !r.dispatch.Request.AtMostOnce() || r.tooLong {
		return
	}
	if r.stored == nil {
		r.stored = &claim.Answer{Status: resp.StatusCode, ContentType: resp.Header.Get("Content-Type")}
	}
	if len(r.stored.Body)+len(part) > claim.MaxBody {
		r.stored, r.tooLong = nil, true
		return
	}
	r.stored.Body = append(r.stored.Body, part...)
}

// checkAnswer checks that an engine's answer names the model that was asked for and, if the engine echoes IDs, the
// request.
func (r *answerReader) checkAnswer(data []byte) error {
	if r.dispatch.Endpoint.Kind != lease.Engine {
		return nil
	}
	var answer struct {
		ID    string `json:"id"`
		Model string `json:"model"`
	}
	if err := json.Unmarshal(data, &answer); err != nil {
		return fmt.Errorf("decode answer: %w", err)
	}
	if answer.Model != r.dispatch.Request.Model.String() {
		return fmt.Errorf("%w: %q", errWrongModel, answer.Model)
	}
	// Engines put a prefix such as "cmpl-" before the ID.
	if r.dispatch.Endpoint.EchoesID && !strings.HasSuffix(answer.ID, r.dispatch.Request.ID.String()) {
		return fmt.Errorf("%w: %q", errWrongRequest, answer.ID)
	}
	return nil
}

// endOfStream is the last event of an OpenAI-compatible stream.
const endOfStream = "[DONE]"

// readStream emits each event of a streamed answer as one chunk.
func (r *answerReader) readStream(resp *http.Response) error {
	in := bufio.NewScanner(readerFunc(func(p []byte) (int, error) { return r.readEvent(resp.Body, p) }))
	in.Buffer(make([]byte, 0, 4096), maxEvent)
	for in.Scan() {
		r.unread = 0
		data, ok := bytes.CutPrefix(in.Bytes(), []byte("data: "))
		if !ok {
			continue
		}
		end := string(data) == endOfStream
		if !end {
			if err := r.checkAnswer(data); err != nil {
				return err
			}
		}
		event := append(append([]byte("data: "), data...), '\n', '\n')
		r.store(resp, event)
		r.emitChunk(relay.Chunk{Status: resp.StatusCode, ContentType: resp.Header.Get("Content-Type"), Data: event, End: end})
		if end {
			return nil
		}
	}
	if err := in.Err(); err != nil {
		return r.cause(err)
	}
	return errNoEnd
}

// readerFunc is a function as an io.Reader.
type readerFunc func(p []byte) (int, error)

// Read calls f.
func (f readerFunc) Read(p []byte) (int, error) { return f(p) }

// eventCopies is how often the bytes of an event are held while its end is looked for: in a buffer, and in the next larger one.
const eventCopies = 2

// readEvent reads a part of a stream, and holds memory for the event that it belongs to.
func (r *answerReader) readEvent(body io.Reader, p []byte) (int, error) {
	n, err := body.Read(p)
	r.unread += quota.Bytes(n)
	if holdErr := r.lease.Hold(eventCopies * r.unread); holdErr != nil {
		return 0, holdErr
	}
	return n, err
}

// cause returns why reading the answer failed: an answer that is broken off for want of memory is cancelled.
func (r *answerReader) cause(err error) error {
	if r.lease.Evicted() {
		return quota.ErrEvicted
	}
	return err
}

// emitChunk numbers a chunk and emits it; only the first chunk has the status, the content type and the waiting times.
func (r *answerReader) emitChunk(c relay.Chunk) {
	c.ID = r.dispatch.Request.ID
	c.Seq = r.seq
	if r.seq == 0 {
		c.Waited = &r.dispatch.Waited
	}
	if r.seq > 0 {
		c.Status, c.ContentType = 0, ""
	}
	r.seq++
	r.emit(c)
}
