package entry

import (
	"crypto/sha256"
	"errors"
	"io"
	"net/http"
	"time"

	"shallotgap/core/claim"
	"shallotgap/core/ident"
	"shallotgap/core/work"
)

// urgencies maps the values of UrgencyHeader; a request without the header is normal.
var urgencies = map[string]work.Urgency{"": work.Normal, "bulk": work.Bulk, "normal": work.Normal, "urgent": work.Urgent}

// newRequest builds a request from the headers that model and service requests share. The text of an error that it
// returns is the reason of the rejection.
func (s *Server) newRequest(r *http.Request, body []byte) (work.Request, error) {
	req := work.Request{ID: s.host.NextID(), Workspace: s.workspace(r), TimeLeft: defaultTimeout}
	urgency, ok := urgencies[r.Header.Get(UrgencyHeader)]
	if !ok {
		return req, errors.New("bad-urgency")
	}
	req.Urgency = urgency
	if text := r.Header.Get(TimeoutHeader); text != "" {
		d, err := time.ParseDuration(text)
		if err != nil || d <= 0 || d > maxTimeout {
			return req, errors.New("bad-timeout")
		}
		req.TimeLeft = d
	}
	key := r.Header.Get(KeyHeader)
	if len(key) > maxKey {
		return req, errors.New("bad-key")
	}
	req.Key = ident.Key(key)
	if err := readDeadline(r, &req, time.Now()); err != nil {
		return req, err
	}
	if req.AtMostOnce() {
		req.Digest = requestDigest(r, body)
	}
	return req, nil
}

// readDeadline reads the absolute deadline, at which the idempotency key expires, and shortens the time limit of
// the request accordingly.
func readDeadline(r *http.Request, req *work.Request, now time.Time) error {
	text := r.Header.Get(DeadlineHeader)
	if text == "" {
		return nil
	}
	end, err := time.Parse(time.RFC3339, text)
	if err != nil || end.After(now.Add(maxKeyLife)) {
		return errors.New("bad-deadline")
	}
	if !end.After(now) {
		return errors.New(string(work.KeyExpired))
	}
	req.KeyEnds = end.Unix()
	req.TimeLeft = min(req.TimeLeft, end.Sub(now))
	return nil
}

// requestDigest returns a digest of a request's content, by which the reuse of its key for another request is detected.
func requestDigest(r *http.Request, body []byte) claim.Digest {
	h := sha256.New()
	_, _ = io.WriteString(h, r.Method+" "+r.URL.RequestURI()+"\n"+r.Header.Get(DeadlineHeader)+"\n")
	_, _ = h.Write(body)
	return claim.Digest(h.Sum(nil))
}
