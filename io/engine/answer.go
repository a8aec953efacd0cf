package engine

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"

	"shallotgap/core/claim"
	"shallotgap/core/lease"
	"shallotgap/core/world"
	"shallotgap/io/relay"
)

var (
	errWrongModel = errors.New("the answer names another model")
	errCrossed    = errors.New("the answer names another request")
	errNoEnd      = errors.New("the stream ended without its end mark")
	errRejected   = errors.New("the endpoint refused the request without running it")
)

// passer passes one answer on.
type passer struct {
	dispatch world.Dispatch
	emit     func(relay.Chunk)
	seq      uint32
	stored   *claim.Answer
	tooLong  bool
}

func (p *passer) pass(resp *http.Response, stream bool) error {
	if rejected(p.dispatch.Endpoint, resp.StatusCode) {
		text, _ := io.ReadAll(io.LimitReader(resp.Body, maxDetail))
		return fmt.Errorf("%w: %s %s", errRejected, resp.Status, strings.TrimSpace(string(text)))
	}
	if resp.StatusCode >= http.StatusInternalServerError {
		return fmt.Errorf("the endpoint answered %s", resp.Status)
	}
	isEvents := strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream")
	if stream && isEvents {
		return p.events(resp)
	}
	return p.whole(resp)
}

// maxDetail bounds the endpoint's words in an error, in bytes.
const maxDetail = 256

// rejected reports whether a status says that the endpoint ran nothing: an engine does not hold the adapter, or an
// endpoint that checks fencing numbers found ours too old. A plain service's own 404 is an answer like any other.
func rejected(e lease.Owned, status int) bool {
	if status == http.StatusPreconditionFailed {
		return e.ChecksFence
	}
	return status == http.StatusNotFound && e.Kind == lease.Engine
}

// whole reads an unstreamed answer to its end before it passes it on.
func (p *passer) whole(resp *http.Response) error {
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer+1))
	if err != nil {
		return err
	}
	if len(body) > maxAnswer {
		return errors.New("the answer is too long")
	}
	if resp.StatusCode == http.StatusOK {
		if err := p.checkModel(body); err != nil {
			return err
		}
	}
	kind := resp.Header.Get("Content-Type")
	p.keep(resp, body)
	p.send(relay.Chunk{Status: resp.StatusCode, ContentType: kind, Data: body, End: true})
	return nil
}

// keep stores a part of an unrepeatable request's answer; one that grows too long is not stored at all.
func (p *passer) keep(resp *http.Response, part []byte) {
	if !p.dispatch.Request.AtMostOnce() || p.tooLong {
		return
	}
	if p.stored == nil {
		p.stored = &claim.Answer{Status: resp.StatusCode, ContentType: resp.Header.Get("Content-Type")}
	}
	if len(p.stored.Body)+len(part) > claim.MaxBody {
		p.stored, p.tooLong = nil, true
		return
	}
	p.stored.Body = append(p.stored.Body, part...)
}

// checkModel compares the model and the request that an engine's answer names with those asked for.
func (p *passer) checkModel(data []byte) error {
	if p.dispatch.Endpoint.Kind != lease.Engine {
		return nil
	}
	var answer struct {
		ID    string `json:"id"`
		Model string `json:"model"`
	}
	if err := json.Unmarshal(data, &answer); err != nil {
		return fmt.Errorf("decode answer: %w", err)
	}
	if answer.Model != p.dispatch.Request.Model.String() {
		return fmt.Errorf("%w: %q", errWrongModel, answer.Model)
	}
	// Engines put a prefix such as "cmpl-" before the id.
	if p.dispatch.Endpoint.EchoesID && !strings.HasSuffix(answer.ID, p.dispatch.Request.ID.String()) {
		return fmt.Errorf("%w: %q", errCrossed, answer.ID)
	}
	return nil
}

// endOfStream is the last event of an OpenAI-compatible stream.
const endOfStream = "[DONE]"

func (p *passer) events(resp *http.Response) error {
	in := bufio.NewScanner(resp.Body)
	in.Buffer(make([]byte, 0, 4096), maxEvent)
	for in.Scan() {
		data, ok := bytes.CutPrefix(in.Bytes(), []byte("data: "))
		if !ok {
			continue
		}
		end := string(data) == endOfStream
		if !end {
			if err := p.checkModel(data); err != nil {
				return err
			}
		}
		event := append(append([]byte("data: "), data...), '\n', '\n')
		p.keep(resp, event)
		p.send(relay.Chunk{Status: resp.StatusCode, ContentType: resp.Header.Get("Content-Type"), Data: event, End: end})
		if end {
			return nil
		}
	}
	if err := in.Err(); err != nil {
		return err
	}
	return errNoEnd
}

func (p *passer) send(c relay.Chunk) {
	c.ID = p.dispatch.Request.ID
	c.Seq = p.seq
	if p.seq == 0 {
		c.Waited = &p.dispatch.Waited
	}
	if p.seq > 0 {
		c.Status, c.ContentType = 0, ""
	}
	p.seq++
	p.emit(c)
}
