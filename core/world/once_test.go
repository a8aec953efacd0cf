package world_test

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"shallotgap/core/claim"
	"shallotgap/core/feed"
	"shallotgap/core/ident"
	"shallotgap/core/lease"
	"shallotgap/core/state"
	"shallotgap/core/work"
	"shallotgap/core/world"
)

// owning is a host without a log that owns one plain endpoint, with what it was told to do.
type owning struct {
	*world.World
	now     ident.Time
	effects []world.Effect
}

func newOwning(t *testing.T) *owning {
	t.Helper()
	w, err := world.New(world.Config{
		Self: "e1", Incarnation: 1, Params: world.Defaults(),
		Peers: []world.Peer{{Host: "e1"}, {Host: "v1", Disk: true}},
	})
	assert.NilError(t, err)
	o := &owning{World: w}
	o.own(1, "e1")
	o.message(world.Message{Renewed: &lease.RenewReply{Sent: 0, Term: 1, Incarnation: 1}})
	return o
}

// own tells the host who owns the endpoint.
func (o *owning) own(at ident.Index, host ident.HostID) {
	e := lease.Owned{Endpoint: lease.Endpoint{ID: "p1", Kind: lease.Plain, Service: "payments", MaxRunning: 4, Instance: 1}, Owner: host, Fence: ident.Fence(at)}
	o.message(world.Message{Update: &feed.Update{To: at, Snapshot: &state.Snapshot{Applied: at, Owners: []lease.Owned{e}}}})
}

func (o *owning) message(m world.Message) {
	o.handle(world.Event{Message: &world.Inbound{From: "v1", Message: m}})
}

func (o *owning) handle(e world.Event) {
	o.effects = append(o.effects, o.Handle(world.Input{Now: o.now, Wall: int64(o.now / ident.Time(time.Second)), Event: e})...)
}

// answerClaim lets the leader answer the latest proposal of the claim.
func (o *owning) answerClaim(res claim.Result) {
	for _, e := range slices.Backward(o.effects) {
		if e.Send != nil && e.Send.Message.Propose != nil && e.Send.Message.Propose.Command.Open != nil {
			o.message(world.Message{Proposed: &world.Proposed{Ticket: e.Send.Message.Propose.Ticket, Result: state.Result{Claim: &res}}})
			return
		}
	}
}

// answerRelease lets the leader answer the proposal that releases the claim.
func (o *owning) answerRelease() {
	for _, e := range o.effects {
		if e.Send != nil && e.Send.Message.Propose != nil && e.Send.Message.Propose.Command.Close != nil {
			o.message(world.Message{Proposed: &world.Proposed{Ticket: e.Send.Message.Propose.Ticket}})
			return
		}
	}
}

// pass lets time go by.
func (o *owning) pass(d time.Duration) {
	o.now = o.now.Add(d)
	o.handle(world.Event{})
}

// outcome sums up what the host did.
type outcome struct {
	Refused   work.Reason
	Outcome   work.Outcome
	Sent      int
	Released  int
	Forwarded int
}

func (o *owning) outcome() outcome {
	var out outcome
	for _, e := range o.effects {
		switch {
		case e.Refuse != nil:
			out.Refused, out.Outcome = e.Refuse.Refusal.Reason, e.Refuse.Refusal.Outcome
		case e.Dispatch != nil:
			out.Sent++
		case e.Forward != nil:
			out.Forwarded++
		case e.Send != nil && e.Send.Message.Propose != nil:
			if c := e.Send.Message.Propose.Command.Close; c != nil && c.State == claim.Released {
				out.Released++
			}
		}
	}
	return out
}

// A claim that is granted after its request was given up is released, and nothing is sent for it.
func TestRequestGivenUpWhileItsClaimIsUnderWay(t *testing.T) {
	id := ident.RequestID{Host: "e1", Incarnation: 1, Seq: 1}
	cases := map[string]struct {
		happens func(o *owning)
		// then follows once the claim was granted.
		then func(o *owning)
		want outcome
	}{
		"granted in time": {
			happens: func(*owning) {},
			want:    outcome{Sent: 1},
		},
		"the deadline passes without a majority": {
			happens: func(o *owning) { o.now = o.now.Add(1500 * time.Millisecond); o.handle(world.Event{}) },
			want:    outcome{Refused: work.NoQuorum, Outcome: work.NotRun, Released: 1},
		},
		"the endpoint moves to another host": {
			happens: func(o *owning) { o.own(2, "v1") },
			want:    outcome{Released: 1},
		},
		"the endpoint moves and no majority releases the claim": {
			happens: func(o *owning) { o.own(2, "v1") },
			then:    func(o *owning) { o.pass(1500 * time.Millisecond) },
			want:    outcome{Refused: work.NoQuorum, Outcome: work.NotRun, Released: 2},
		},
		"the endpoint moves and the claim is released": {
			happens: func(o *owning) { o.own(2, "v1") },
			then:    func(o *owning) { o.answerRelease(); o.pass(20 * time.Millisecond) },
			want:    outcome{Released: 1, Forwarded: 1},
		},
		"the endpoint moves away and back": {
			happens: func(o *owning) { o.own(2, "v1"); o.own(3, "e1") },
			want:    outcome{Released: 1},
		},
		"the endpoint moves away and back, and the claim is released": {
			happens: func(o *owning) { o.own(2, "v1"); o.own(3, "e1") },
			then: func(o *owning) {
				o.answerRelease()
				o.pass(20 * time.Millisecond)
				o.answerClaim(claim.Result{Granted: true})
			},
			want: outcome{Released: 1, Sent: 1},
		},
		"the endpoint moves and the caller goes": {
			happens: func(o *owning) { o.own(2, "v1"); o.handle(world.Event{Cancel: &world.Cancel{ID: id}}) },
			then:    func(o *owning) { o.answerRelease(); o.pass(20 * time.Millisecond) },
			want:    outcome{Released: 1},
		},
		"the caller goes": {
			happens: func(o *owning) { o.handle(world.Event{Cancel: &world.Cancel{ID: id}}) },
			want:    outcome{Refused: work.Canceled, Outcome: work.NotRun, Released: 1},
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			o := newOwning(t)
			r := work.Request{ID: id, Workspace: "w", Service: "payments", Key: "k", TimeLeft: time.Second}
			o.handle(world.Event{Arrive: &world.Arrive{Request: r, From: "e1"}})
			c.happens(o)
			o.answerClaim(claim.Result{Granted: true})
			if c.then != nil {
				c.then(o)
			}
			assert.DeepEqual(t, o.outcome(), c.want)
		})
	}
}

// A forwarded request that waited on a link that stood still is refused once its time is over.
func TestForwardThatComesTooLateIsNotRun(t *testing.T) {
	cases := map[string]struct {
		ends int64
		want outcome
	}{
		"in time": {ends: 2, want: outcome{Sent: 1}},
		"late":    {ends: 1, want: outcome{Refused: work.Late, Outcome: work.NotRun}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			o := newOwning(t)
			o.now = ident.Time(1500 * time.Millisecond)
			r := work.Request{ID: ident.RequestID{Host: "v1", Seq: 1}, Service: "payments", TimeLeft: time.Second, StartBefore: c.ends}
			o.handle(world.Event{Arrive: &world.Arrive{Request: r, From: "v1", Endpoint: "p1"}})
			assert.DeepEqual(t, o.outcome(), c.want)
			for _, e := range o.effects {
				assert.Assert(t, e.Refuse == nil || e.Refuse.Refusal.RetryAfter > 0, "the caller is not told when to come back")
			}
		})
	}
}
