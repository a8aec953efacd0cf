package front

import (
	"context"
	"io"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"shallotgap/core/burn"
	"shallotgap/core/census"
	"shallotgap/core/grant"
	"shallotgap/core/ident"
	"shallotgap/io/clock"
	"shallotgap/io/link"
	"shallotgap/io/logs"
	"shallotgap/io/metric"
)

// sentLinks keeps what an entry host sends.
type sentLinks struct{ sent []link.Message }

func (s *sentLinks) Run(context.Context) error { return nil }
func (s *sentLinks) Target(ident.HostID)       {}
func (s *sentLinks) Send(_ ident.HostID, m link.Message) bool {
	s.sent = append(s.sent, m)
	return true
}
func (s *sentLinks) SendAll(m link.Message, _ func(link.Hello) bool) { s.sent = append(s.sent, m) }

// newFront returns an entry host whose messages are kept.
func newFront(t *testing.T) (*Front, *sentLinks) {
	t.Helper()
	common, err := logs.New(io.Discard, "f1", "error")
	assert.NilError(t, err)
	f := New(common, metric.New(burn.Targets{}), Config{Self: "f1", Domain: "north", RetryRatio: 0.2, RetryExtra: 10, RetryWindow: 10 * time.Second})
	sent := &sentLinks{}
	f.mesh = sent
	return f, sent
}

// A place that this host chose while no authority answered, and of which it told the next one, is given back to that.
func TestPlaceChosenAloneIsGivenBack(t *testing.T) {
	f, sent := newFront(t)
	q := f.open(grant.Ask{Request: "r1", Service: "llm", Left: 5 * time.Second})
	q.place = &grant.Place{Instance: ident.Instance{ID: "g1", Born: 7}}
	f.Receive(link.Hello{Host: "c1", Control: true}, link.Message{Status: &link.Status{Leads: true, Term: 5}})
	f.release(q, grant.Served, time.Second, 0)
	var told, ended bool
	for _, m := range sent.sent {
		told = told || m.Live != nil && len(m.Live.Places) == 1 && m.Live.Places[0].Ask.ID == q.ask.ID
		ended = ended || m.End != nil && m.End.ID == q.ask.ID
	}
	assert.Assert(t, told && ended, "told %t, ended %t", told, ended)
}

// A place at an endpoint that has left, of which the authority does not know since it is cut off from the control host
// that does: the entry host tells it, and asks for a place elsewhere instead of being granted the same one over and over.
func TestPlaceAtAnEndpointThatLeft(t *testing.T) {
	f, sent := newFront(t)
	f.leader = "c1"
	now := clock.Boot()
	gone := ident.Instance{ID: "g1", Born: 7}
	f.census.Observe(census.Entry{Instance: gone, Service: "llm", State: census.Draining, Seq: 9, LastHeartbeat: now}, now)
	q := f.open(grant.Ask{Request: "r1", Host: "f1", Service: "llm", Left: time.Second})
	sent.sent = nil

	f.takeReply("c1", grant.Reply{ID: q.ask.ID, Place: &grant.Place{Instance: gone}})
	assert.Assert(t, q.place == nil)
	var told, ended bool
	var asked *grant.Ask
	for _, m := range sent.sent {
		told = told || len(m.Census) == 1 && m.Census[0].Instance == gone && m.Census[0].State == census.Draining
		ended = ended || m.End != nil && m.End.ID == q.ask.ID && m.End.Outcome == grant.Cancelled
		if m.Ask != nil {
			asked = m.Ask
		}
	}
	assert.Assert(t, ended, "the place is not given back")
	assert.Assert(t, told, "the authority is not told that the endpoint left")
	assert.Assert(t, asked != nil, "no other place is asked for")
	assert.DeepEqual(t, asked.Avoid, []ident.EndpointID{"g1"})

	f.takeReply("c1", grant.Reply{ID: q.ask.ID, Place: &grant.Place{Instance: ident.Instance{ID: "g2", Born: 1}}})
	assert.Equal(t, q.place.Instance.ID, ident.EndpointID("g2"))
}
