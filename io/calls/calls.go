// Package calls forwards the calls of operators and endpoints from the host that received them to the leader.
package calls

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"shallotgap/core/book"
	"shallotgap/core/census"
	"shallotgap/core/ident"
	"shallotgap/core/layout"
	"shallotgap/core/poison"
	"shallotgap/core/resume"
	"shallotgap/io/clock"
	"shallotgap/io/link"
)

// Limits of calls.
const (
	// Timeout limits a call. It is shorter than the 1 s after which operators and endpoints try another host.
	Timeout = 850 * time.Millisecond
	// LeaderlessLimit is how long a host may know no leader before it rejects calls. It is four times the shortest election
	// timeout, since more than two failed elections in a row are rare.
	LeaderlessLimit = 1200 * time.Millisecond
	// maxPending limits the pending calls: as many as a large deployment sends to one host in some seconds.
	maxPending = 4096
)

// Errors of calls. After errNoReply, the call may still take effect.
var (
	errNoLeader = errors.New("this host knows no leader")
	errNoReply  = errors.New("no leader confirmed it in time")
	errBusy     = errors.New("too many calls are pending")
)

// Config holds the dependencies of a Forwarder.
type Config struct {
	// Send queues a message for a host and reports whether it was queued. It must not block.
	Send func(to ident.HostID, m link.Message) bool
}

// Forwarder sends calls to the leader and waits for the answers. It sends a call again when the leader changes and when the link
// to the leader was lost. While no leader is known, heartbeats and deregistrations go to another control host, since control
// hosts share them and a new leader needs them at once.
type Forwarder struct {
	Config

	mu       sync.Mutex
	lastID   uint64
	pending  map[uint64]*pendingCall
	leader   ident.HostID // empty while no leader is known
	fallback ident.HostID // the control host that receives the calls of endpoints while no leader is known; empty for none
	// leaderlessSince is the time since which no leader is known; 0 while one is known.
	leaderlessSince ident.Time
}

// pendingCall is a call without an answer.
type pendingCall struct {
	message link.Message
	done    chan link.Answer
	sentTo  ident.HostID // the host that last received the call; empty if none has
}

// New returns a forwarder that knows no leader yet.
func New(c Config) *Forwarder {
	now := clock.Boot()
	// IDs start at the time of the start, so that an answer to an earlier process of this host matches no call.
	return &Forwarder{Config: c, lastID: uint64(now), pending: map[uint64]*pendingCall{}, leaderlessSince: now}
}

// Follow records the leader, or that none is known if leader is empty, and sends the leader the calls that it has not received.
func (f *Forwarder) Follow(leader ident.HostID, now ident.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case leader != "":
		f.leaderlessSince = 0
	case f.leaderlessSince == 0:
		f.leaderlessSince = now
	}
	f.leader = leader
	f.sendPending()
}

// SetFallback sets the control host that receives the calls of endpoints while no leader is known; empty for none.
func (f *Forwarder) SetFallback(h ident.HostID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.fallback = h
	f.sendPending()
}

// sendPending sends the calls that their target has not received. The caller must hold f.mu.
func (f *Forwarder) sendPending() {
	for _, p := range f.pending {
		f.send(p)
	}
}

// send sends a call to its target unless the target has received it. The caller must hold f.mu.
func (f *Forwarder) send(p *pendingCall) {
	target := f.leader
	if target == "" && p.message.EndpointCall != nil {
		target = f.fallback
	}
	if target != "" && p.sentTo != target && f.Send(target, p.message) {
		p.sentTo = target
	}
}

// LinkLost marks the calls that were sent to a host as not received, because the link to it was lost.
func (f *Forwarder) LinkLost(h ident.HostID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, p := range f.pending {
		if p.sentTo == h {
			p.sentTo = ""
		}
	}
}

// WithoutLeader reports whether no leader has been known for longer than LeaderlessLimit.
func (f *Forwarder) WithoutLeader(now ident.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.withoutLeader(now)
}

func (f *Forwarder) withoutLeader(now ident.Time) bool { return f.leaderlessFor(now) > LeaderlessLimit }

// LeaderlessFor returns how long no leader has been known; 0 while one is known.
func (f *Forwarder) LeaderlessFor(now ident.Time) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.leaderlessFor(now)
}

func (f *Forwarder) leaderlessFor(now ident.Time) time.Duration {
	if f.leaderlessSince == 0 {
		return 0
	}
	return now.Sub(f.leaderlessSince)
}

// Resolve ends the call to which the answer belongs.
func (f *Forwarder) Resolve(a link.Answer) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if p := f.pending[a.ID]; p != nil {
		delete(f.pending, a.ID)
		p.done <- a
	}
}

// add registers a call and sends it if its target is known. The call must be removed at its end.
func (f *Forwarder) add(message func(id uint64) link.Message) (uint64, chan link.Answer, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.withoutLeader(clock.Boot()) {
		return 0, nil, errNoLeader
	}
	if len(f.pending) >= maxPending {
		return 0, nil, errBusy
	}
	f.lastID++
	p := &pendingCall{message: message(f.lastID), done: make(chan link.Answer, 1)}
	f.pending[f.lastID] = p
	f.send(p)
	return f.lastID, p.done, nil
}

func (f *Forwarder) remove(id uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.pending, id)
}

// call sends a call to the leader and returns the answer.
func (f *Forwarder) call(ctx context.Context, message func(id uint64) link.Message) (link.Answer, error) {
	ctx, cancel := context.WithTimeoutCause(ctx, Timeout, errNoReply)
	defer cancel()
	id, done, err := f.add(message)
	if err != nil {
		return link.Answer{}, fmt.Errorf("call the leader: %w", err)
	}
	defer f.remove(id)
	select {
	case a := <-done:
		if !a.Done {
			return a, fmt.Errorf("call the leader: %s", a.Cause)
		}
		return a, nil
	case <-ctx.Done():
		return link.Answer{}, fmt.Errorf("call the leader: %w", context.Cause(ctx))
	}
}

// SetLayout replicates a validated layout; it changes nothing if the current layout has this version or a higher one.
func (f *Forwarder) SetLayout(ctx context.Context, l *layout.Layout) error {
	return f.command(ctx, book.Command{Layout: l})
}

// SetNewest replicates the newest version of an adapter.
func (f *Forwarder) SetNewest(ctx context.Context, n book.Newest) error {
	return f.command(ctx, book.Command{Newest: &n})
}

// LiftPart removes a suspected or blocked part.
func (f *Forwarder) LiftPart(ctx context.Context, p poison.Part) error {
	return f.command(ctx, book.Command{Poison: &poison.Command{Lift: p}})
}

func (f *Forwarder) command(ctx context.Context, c book.Command) error {
	_, err := f.call(ctx, func(id uint64) link.Message { return link.Message{Call: &link.Call{ID: id, Command: c}} })
	return err
}

// Layout returns the operator's source text of the current layout, as confirmed by the leader.
func (f *Forwarder) Layout(ctx context.Context) ([]byte, error) {
	a, err := f.call(ctx, func(id uint64) link.Message { return link.Message{Call: &link.Call{ID: id, Read: true}} })
	return a.Source, err
}

// StreamBuild returns at which build a stream may go on, as the leader knows it.
func (f *Forwarder) StreamBuild(ctx context.Context, q resume.Query) (resume.Verdict, error) {
	a, err := f.call(ctx, func(id uint64) link.Message { return link.Message{Call: &link.Call{ID: id, Stream: &q}} })
	if err != nil || a.Stream == nil { // a leader of an earlier version does not know
		return resume.Verdict{Source: resume.FromNothing}, err
	}
	return *a.Stream, nil
}

// Announce passes an endpoint's heartbeat to the leader. After an error, the endpoint should send it to another host.
func (f *Forwarder) Announce(ctx context.Context, e census.Entry) error {
	_, err := f.call(ctx, func(id uint64) link.Message {
		return link.Message{EndpointCall: &link.EndpointCall{ID: id, Heartbeat: &e}}
	})
	return err
}

// Leave deregisters an endpoint at the leader. An error means that the leader may not learn of it, as for Announce.
func (f *Forwarder) Leave(ctx context.Context, call census.LeaveCall) error {
	_, err := f.call(ctx, func(id uint64) link.Message {
		c := &link.EndpointCall{ID: id, Left: &call.Instance, Chosen: call.Chosen, Announced: call.Announced}
		if call.OpenedAt != 0 {
			c.Age = max(1, clock.Boot().Sub(call.OpenedAt))
		}
		return link.Message{EndpointCall: c}
	})
	return err
}
