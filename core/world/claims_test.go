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

// ownerHost is a host without a log that owns one plain endpoint, with all effects that it has returned.
type ownerHost struct {
	*world.World
	now     ident.Time
	effects []world.Effect
}

func newOwnerHost(t *testing.T) *ownerHost {
	t.Helper()
	w, err := world.New(world.Config{
		Self: "e1", Incarnation: 1, Params: world.Defaults(),
		Peers: []world.Peer{{Host: "e1"}, {Host: "v1", Disk: true}},
	})
	assert.NilError(t, err)
	o := &ownerHost{World: w}
	o.setOwner(1, "e1")
	o.receive(world.Message{Renewed: &lease.RenewReply{Sent: 0, Term: 1, Incarnation: 1}})
	return o
}

// setOwner sends the host an update from the leader: at the given log index, the endpoint's owner is host.
func (o *ownerHost) setOwner(index ident.Index, host ident.HostID) {
	e := lease.Owned{
		Endpoint: lease.Endpoint{ID: "p1", Kind: lease.Plain, Service: "payments", MaxRunning: 4, Instance: 1},
		Owner:    host,
		Fence:    ident.Fence(index),
	}
	o.receive(world.Message{Update: &feed.Update{To: index, Snapshot: &state.Snapshot{Applied: index, Owners: []lease.Owned{e}}}})
}

func (o *ownerHost) receive(m world.Message) {
	o.handle(world.Event{Message: &world.Inbound{From: "v1", Message: m}})
}

func (o *ownerHost) handle(event world.Event) {
	o.effects = append(o.effects, o.Handle(world.Input{Now: o.now, Wall: int64(o.now / ident.Time(time.Second)), Event: event})...)
}

// answerClaim sends the leader's reply to the latest proposal that opens a claim.
func (o *ownerHost) answerClaim(res claim.Result) {
	for _, e := range slices.Backward(o.effects) {
		if e.Send != nil && e.Send.Message.Propose != nil && e.Send.Message.Propose.Command.Open != nil {
			o.receive(world.Message{Proposed: &world.Proposed{Ticket: e.Send.Message.Propose.Ticket, Result: state.Result{Claim: &res}}})
			return
		}
	}
}

// answerRelease sends the leader's reply to the first proposal that closes a claim.
func (o *ownerHost) answerRelease() {
	for _, e := range o.effects {
		if e.Send != nil && e.Send.Message.Propose != nil && e.Send.Message.Propose.Command.Close != nil {
			o.receive(world.Message{Proposed: &world.Proposed{Ticket: e.Send.Message.Propose.Ticket}})
			return
		}
	}
}

// advance moves the host's clock forward and sends a tick.
func (o *ownerHost) advance(d time.Duration) {
	o.now = o.now.Add(d)
	o.handle(world.Event{})
}

// outcome summarizes the effects that the host has returned.
type outcome struct {
	RejectReason work.Reason
	Outcome      work.Outcome
	Dispatched   int
	Released     int
	Forwarded    int
}

func (o *ownerHost) outcome() outcome {
	var out outcome
	for _, e := range o.effects {
		switch {
		case e.Refuse != nil:
			out.RejectReason, out.Outcome = e.Refuse.Refusal.Reason, e.Refuse.Refusal.Outcome
		case e.Dispatch != nil:
			out.Dispatched++
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

// A claim that is granted after its request was rejected, canceled or returned is released, and the request is not
// dispatched under that claim.
func TestRequestEndsWhileClaimIsPending(t *testing.T) {
	id := ident.RequestID{Host: "e1", Incarnation: 1, Seq: 1}
	cases := map[string]struct {
		// whilePending runs after the claim is proposed and before it is granted.
		whilePending func(o *ownerHost)
		// afterClaim runs after the claim is granted.
		afterClaim func(o *ownerHost)
		want       outcome
	}{
		"granted in time": {
			whilePending: func(*ownerHost) {},
			want:         outcome{Dispatched: 1},
		},
		"deadline passes without a majority": {
			whilePending: func(o *ownerHost) { o.now = o.now.Add(1500 * time.Millisecond); o.handle(world.Event{}) },
			want:         outcome{RejectReason: work.NoQuorum, Outcome: work.NotRun, Released: 1},
		},
		"endpoint moves to another host": {
			whilePending: func(o *ownerHost) { o.setOwner(2, "v1") },
			want:         outcome{Released: 1},
		},
		"endpoint moves and no majority releases the claim": {
			whilePending: func(o *ownerHost) { o.setOwner(2, "v1") },
			afterClaim:   func(o *ownerHost) { o.advance(1500 * time.Millisecond) },
			want:         outcome{RejectReason: work.NoQuorum, Outcome: work.NotRun, Released: 2},
		},
		"endpoint moves and the claim is released": {
			whilePending: func(o *ownerHost) { o.setOwner(2, "v1") },
			afterClaim:   func(o *ownerHost) { o.answerRelease(); o.advance(20 * time.Millisecond) },
			want:         outcome{Released: 1, Forwarded: 1},
		},
		"endpoint moves away and back": {
			whilePending: func(o *ownerHost) { o.setOwner(2, "v1"); o.setOwner(3, "e1") },
			want:         outcome{Released: 1},
		},
		"endpoint moves away and back, and the claim is released": {
			whilePending: func(o *ownerHost) { o.setOwner(2, "v1"); o.setOwner(3, "e1") },
			afterClaim: func(o *ownerHost) {
				o.answerRelease()
				o.advance(20 * time.Millisecond)
				o.answerClaim(claim.Result{Granted: true})
			},
			want: outcome{Released: 1, Dispatched: 1},
		},
		"endpoint moves and the caller disconnects": {
			whilePending: func(o *ownerHost) { o.setOwner(2, "v1"); o.handle(world.Event{Cancel: &world.Cancel{ID: id}}) },
			afterClaim:   func(o *ownerHost) { o.answerRelease(); o.advance(20 * time.Millisecond) },
			want:         outcome{Released: 1},
		},
		"caller disconnects": {
			whilePending: func(o *ownerHost) { o.handle(world.Event{Cancel: &world.Cancel{ID: id}}) },
			want:         outcome{RejectReason: work.Canceled, Outcome: work.NotRun, Released: 1},
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			o := newOwnerHost(t)
			r := work.Request{ID: id, Workspace: "w", Service: "payments", Key: "k", TimeLeft: time.Second}
			o.handle(world.Event{Arrive: &world.Arrive{Request: r, From: "e1"}})
			c.whilePending(o)
			o.answerClaim(claim.Result{Granted: true})
			if c.afterClaim != nil {
				c.afterClaim(o)
			}
			assert.DeepEqual(t, o.outcome(), c.want)
		})
	}
}

// A forwarded request that arrives after its latest start time, for example over a stalled connection, is rejected.
func TestLateForwardedRequestIsRejected(t *testing.T) {
	cases := map[string]struct {
		ends int64 // wall-clock second (Unix) by which the request must start
		want outcome
	}{
		"in time": {ends: 2, want: outcome{Dispatched: 1}},
		"late":    {ends: 1, want: outcome{RejectReason: work.Late, Outcome: work.NotRun}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			o := newOwnerHost(t)
			o.now = ident.Time(1500 * time.Millisecond)
			r := work.Request{ID: ident.RequestID{Host: "v1", Seq: 1}, Service: "payments", TimeLeft: time.Second, StartBefore: c.ends}
			o.handle(world.Event{Arrive: &world.Arrive{Request: r, From: "v1", Endpoint: "p1"}})
			assert.DeepEqual(t, o.outcome(), c.want)
			for _, e := range o.effects {
				assert.Assert(t, e.Refuse == nil || e.Refuse.Refusal.RetryAfter > 0, "the rejection has no Retry-After delay")
			}
		})
	}
}
