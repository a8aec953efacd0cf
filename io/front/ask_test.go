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
	f := New(common, metric.New(burn.Targets{}), Config{Self: "f1", Domain: "north"})
	sent := &sentLinks{}
	f.mesh = sent
	return f, sent
}

// Load: the leader is lost. An entry host goes on at the engines that held the adapters when the leader last told, within
// its part of each engine, once a link that broke for a moment would be there again.
func TestGoingOnWithoutAnAuthority(t *testing.T) {
	g1, g2 := ident.Instance{ID: "g1", Born: 7}, ident.Instance{ID: "g2", Born: 8}
	ref := book.AdapterRef{Model: "base", Adapter: "a"}
	held := map[string][]ident.Adapter{"base": {"a"}}
	both := []grant.Residence{{Instance: g1, Held: held}, {Instance: g2, Held: held}}
	cases := map[string]struct {
		told   []grant.Residence
		term   ident.Term // of the message; the authority's is 4
		lost   time.Duration
		left   ident.EndpointID // drains
		led    bool
		sends  int
		hosts  int // entry hosts that share each engine of 4 slots
		asked  int // requests at once
		placed int
	}{
		"held by two engines":       {told: both, term: 4, lost: time.Second, hosts: 2, asked: 3, placed: 3},
		"beyond its part":           {told: both, term: 4, lost: time.Second, hosts: 4, asked: 3, placed: 2},
		"one engine left":           {told: both, term: 4, lost: time.Second, left: "g1", hosts: 4, asked: 2, placed: 1},
		"lost a moment ago":         {told: both, term: 4, lost: 50 * time.Millisecond, hosts: 1, asked: 1},
		"a leader is known":         {told: both, term: 4, lost: time.Second, led: true, hosts: 1, asked: 1},
		"told by an earlier leader": {told: both, term: 3, lost: time.Second, hosts: 1, asked: 1},
		"sent once already":         {told: both, term: 4, lost: time.Second, sends: 1, hosts: 1, asked: 1},
		"nobody holds it":           {lost: time.Second, term: 4, hosts: 1, asked: 1},
		"engine started anew since": {told: []grant.Residence{{Instance: ident.Instance{ID: "g1", Born: 6}, Held: held}}, term: 4, lost: time.Second, hosts: 1, asked: 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f, _ := newFront(t)
			now := clock.Boot()
			for _, i := range []ident.Instance{g1, g2} {
				state := census.Ready
				if i.ID == c.left {
					state = census.Draining
				}
				f.census.Observe(census.Entry{Instance: i, Service: "llm", State: state, Slots: 4, Address: "at-" + string(i.ID), Seq: 1, Heard: now}, now)
			}
			f.term, f.entries = 4, c.hosts
			f.Receive(link.Hello{Host: "c1", Control: true}, link.Message{Resident: &link.Resident{Term: c.term, List: c.told}})
			f.lostAt = now.Add(-c.lost)
			if c.led {
				f.leader = "c1"
			}
			placed := 0
			for range c.asked {
				q := f.open(grant.Ask{Ref: ref, Service: "llm", Left: 5 * time.Second, Sends: c.sends})
				r, ok := f.alone(q)
				if !ok {
					continue
				}
				placed++
				assert.Equal(t, r.Place.Address, "at-"+string(r.Place.Instance.ID))
				assert.Assert(t, r.Place.Instance.ID != c.left)
			}
			assert.Equal(t, placed, c.placed)
		})
	}
}

// A place at an endpoint that has left, of which the authority does not know since it is cut off from the control host
// that does: the entry host tells it, and asks for a place elsewhere instead of being granted the same one over and over.
func TestPlaceAtAnEndpointThatLeft(t *testing.T) {
	f, sent := newFront(t)
	f.leader = "c1"
	now := clock.Boot()
	gone := ident.Instance{ID: "g1", Born: 7}
	f.census.Observe(census.Entry{Instance: gone, Service: "llm", State: census.Draining, Seq: 9, Heard: now}, now)
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
