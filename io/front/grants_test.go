package front

import (
	"context"
	"io"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"shallotgap/core/book"
	"shallotgap/core/burn"
	"shallotgap/core/census"
	"shallotgap/core/grant"
	"shallotgap/core/ident"
	"shallotgap/io/clock"
	"shallotgap/io/link"
	"shallotgap/io/logs"
	"shallotgap/io/metric"
)

// messageRecorder is a mesh without links that records the messages sent.
type messageRecorder struct{ sent []link.Message }

func (s *messageRecorder) Run(context.Context) error { return nil }
func (s *messageRecorder) Target(ident.HostID)       {}
func (s *messageRecorder) Send(_ ident.HostID, m link.Message) bool {
	s.sent = append(s.sent, m)
	return true
}

func (s *messageRecorder) SendEncoded(ident.HostID, link.Encoded) bool { panic("unexpected") }

func (s *messageRecorder) SendAll(m link.Message, _ func(link.Hello) bool) {
	s.sent = append(s.sent, m)
}

// newFront returns an entry host and the recorder of its messages.
func newFront(t *testing.T) (*Front, *messageRecorder) {
	t.Helper()
	common, err := logs.New(io.Discard, "f1", "error")
	assert.NilError(t, err)
	f := New(common, metric.New(burn.Targets{}), Config{Self: "f1", Domain: "north", RetryRatio: 0.2, RetryExtra: 10, RetryWindow: 10 * time.Second})
	sent := &messageRecorder{}
	f.mesh = sent
	return f, sent
}

// A host without an authority grants itself an engine. The next authority learns of this grant and must also learn of the grant's
// end, or it would count the engine's capacity as used.
func TestFallbackGrantIsReleased(t *testing.T) {
	f, sent := newFront(t)
	req := f.openGrantRequest(grant.Ask{Request: "r1", Service: "llm", Left: 5 * time.Second})
	req.place = &grant.Place{Instance: ident.Instance{ID: "g1", Born: 7}}
	f.Receive(link.Hello{Host: "c1", Control: true}, link.Message{Status: &link.Status{Leads: true, Term: 5}})
	f.release(req, grant.Served, time.Second, 0)
	var reported, ended bool
	for _, m := range sent.sent {
		reported = reported || m.Live != nil && len(m.Live.Places) == 1 && m.Live.Places[0].Ask.ID == req.msg.ID
		ended = ended || m.End != nil && m.End.ID == req.msg.ID
	}
	assert.Assert(t, reported && ended, "reported %t, ended %t", reported, ended)
}

// An authority that is partitioned from other control hosts may grant an endpoint that drains. The entry host must tell the
// authority and request another endpoint, or it would be granted the same endpoint repeatedly.
func TestGrantForDrainingEndpoint(t *testing.T) {
	f, sent := newFront(t)
	f.leader = "c1"
	now := clock.Boot()
	draining := ident.Instance{ID: "g1", Born: 7}
	f.census.Observe(census.Entry{Instance: draining, Service: "llm", State: census.Draining, Seq: 9, LastHeartbeat: now}, now)
	req := f.openGrantRequest(grant.Ask{Request: "r1", Host: "f1", Service: "llm", Left: time.Second})
	sent.sent = nil

	f.handleGrantReply("c1", grant.Reply{ID: req.msg.ID, Place: &grant.Place{Instance: draining}})
	assert.Assert(t, req.place == nil)
	var reported, ended bool
	var resent *grant.Ask
	for _, m := range sent.sent {
		reported = reported || len(m.Census) == 1 && m.Census[0].Instance == draining && m.Census[0].State == census.Draining
		ended = ended || m.End != nil && m.End.ID == req.msg.ID && m.End.Outcome == grant.Cancelled
		if m.Ask != nil {
			resent = m.Ask
		}
	}
	assert.Assert(t, ended, "the grant is not released")
	assert.Assert(t, reported, "the authority is not told that the endpoint drains")
	assert.Assert(t, resent != nil, "no other grant is requested")
	assert.DeepEqual(t, resent.Avoid, []ident.EndpointID{"g1"})

	f.handleGrantReply("c1", grant.Reply{ID: req.msg.ID, Place: &grant.Place{Instance: ident.Instance{ID: "g2", Born: 1}}})
	assert.Equal(t, req.place.Instance.ID, ident.EndpointID("g2"))
}

// A request that was resent may be rejected twice. The second rejection blocked the link for ever if the request had ended meanwhile, so that the
// host got no messages of the leader any more and could not stop.
func TestSecondReplyBlocksNoLink(t *testing.T) {
	place := &grant.Place{Instance: ident.Instance{ID: "g1", Born: 7}}
	for name, c := range map[string]struct {
		second    grant.Reply
		cancelled bool
	}{
		"rejected twice":      {second: grant.Reply{Cause: grant.TooLate}},
		"granted at last":     {second: grant.Reply{Place: place}, cancelled: true},
		"rejected many times": {second: grant.Reply{Cause: grant.Limited}},
	} {
		t.Run(name, func(t *testing.T) {
			f, sent := newFront(t)
			f.leader = "c1"
			req := f.openGrantRequest(grant.Ask{Request: "r1", Service: "llm", Left: time.Second})
			sent.sent = nil
			done := make(chan struct{})
			go func() {
				defer close(done)
				f.handleGrantReply("c1", grant.Reply{ID: req.msg.ID, Cause: grant.TooLate})
				for range 3 {
					r := c.second
					r.ID = req.msg.ID
					f.handleGrantReply("c1", r)
				}
			}()
			select {
			case <-done:
			case <-time.After(5 * time.Second):
				t.Fatal("the link is blocked")
			}
			cancelled := false
			for _, m := range sent.sent {
				cancelled = cancelled || m.End != nil && m.End.Outcome == grant.Cancelled
			}
			assert.Equal(t, cancelled, c.cancelled)
			assert.Assert(t, req.place == nil)
			assert.Equal(t, (<-req.reply).Cause, grant.TooLate)
		})
	}
}

// Without a leader, a request ran at an engine of another service that holds the same model, as the engine that last served an adapter was looked up
// without the service.
func TestFallbackStaysInTheService(t *testing.T) {
	ref := book.AdapterRef{Model: "base", Adapter: "a1"}
	cases := map[string]struct {
		served ident.Service // of the request that was served before
		left   bool          // the engine has left since, and the host has forgotten it
		found  bool
	}{
		"the same service":                {served: "llm", found: true},
		"another service":                 {served: "staff"},
		"the same service, long departed": {served: "llm", left: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f, _ := newFront(t)
			f.leader = "c1"
			engine := ident.Instance{ID: "g1", Born: 7}
			first := f.openGrantRequest(grant.Ask{Request: "r1", Service: c.served, Ref: ref, Left: 5 * time.Second})
			f.handleGrantReply("c1", grant.Reply{ID: first.msg.ID, Place: &grant.Place{Instance: engine}})
			f.release(first, grant.Served, time.Second, 0)
			if c.left {
				f.handleCensus([]census.Entry{{Instance: engine, Seq: 9, Service: c.served, Address: "x", State: census.Gone}})
				f.census.Expire(clock.Boot().Add(time.Hour))
			}
			f.leader = ""
			f.Follow("c1", clock.Boot())
			f.Follow("", clock.Boot().Add(-time.Minute))
			second := f.openGrantRequest(grant.Ask{Request: "r2", Service: "llm", Ref: ref, Left: 5 * time.Second})
			_, found := f.fallbackGrant(second)
			assert.Equal(t, found, c.found)
		})
	}
}
