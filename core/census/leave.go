package census

import (
	"errors"
	"maps"
	"time"

	"shallotgap/core/ident"
)

// ErrUnclear is the error for a call that names an endpoint by its id alone, while it is not clear which of its incarnations made the call.
var ErrUnclear = errors.New("it is not clear which incarnation of the endpoint leaves")

// pendingLeave is a deregistration that may be a late call of an earlier incarnation.
type pendingLeave struct {
	instance ident.Instance // the known incarnation
	since    ident.Time
}

// LeaveCall is a deregistration of an endpoint, which may name no incarnation.
type LeaveCall struct {
	ident.Instance
	// OpenedAt is when the connection of the call was opened; 0 if that is not known.
	OpenedAt ident.Time
	// Announced is the incarnation whose heartbeat came last over the connection of the call; 0 for none.
	Announced ident.Incarnation
	// Chosen is true if the call named no incarnation, and another host has chosen the one that it knew.
	Chosen bool
}

// openMargin is by how much a host may take a connection later than it was opened: hosts may be suspended for seconds.
const openMargin = 5 * time.Second

// Leaver returns the incarnation that a deregistration concerns. If the call names none, that is the known one, if there is any.
//
// Calls arrive late after a cut, so that an earlier incarnation may have made the call, if one was heard within Retention. The call is that of
// the known one if its connection has carried a heartbeat of that one, or was opened after that one was first heard. Otherwise it fails with
// ErrUnclear until the known incarnation has sent no heartbeat for LeaveSilence: endpoints that leave repeat the call and send no more heartbeats.
func (c *Census) Leaver(call LeaveCall, now ident.Time) (ident.Instance, error) {
	e, known := c.entries[call.ID]
	switch {
	case call.Chosen && known && e.State == Ready && e.Instance.Born > call.Born:
		return call.Instance, ErrUnclear // the other host does not know the later incarnation
	case call.Born != 0 || !known:
		return call.Instance, nil
	case e.State != Ready || !c.mayHaveFormer(e, now):
		return e.Instance, nil
	case call.Announced == e.Instance.Born || call.OpenedAt > e.KnownSince.Add(openMargin):
		return e.Instance, nil
	}
	p, pending := c.leaves[call.ID]
	if !pending || p.instance != e.Instance {
		p = pendingLeave{instance: e.Instance, since: now}
		c.leaves[call.ID] = p
	}
	if now.Sub(p.since) < c.LeaveSilence {
		return call.Instance, ErrUnclear
	}
	return e.Instance, nil
}

// mayHaveFormer reports whether calls of an earlier incarnation of an endpoint may still arrive.
func (c *Census) mayHaveFormer(e Entry, now ident.Time) bool {
	return e.Restarted && now.Sub(e.KnownSince) < c.Retention
}

// inherit sets what is known of an incarnation beyond its latest heartbeat.
func (c *Census) inherit(e, old Entry, known bool) Entry {
	now := e.LastHeartbeat
	switch {
	case !known:
		e.KnownSince = now
		e.Restarted = e.Restarted || c.isRestarted(e, now)
	case old.Instance != e.Instance:
		e.KnownSince, e.Restarted = now, true
	default:
		e.KnownSince, e.Restarted = old.KnownSince, e.Restarted || old.Restarted
		e.Restarted = c.mayHaveFormer(e, now)
	}
	return e
}

// former is an endpoint that was dropped from the table.
type former struct {
	instance ident.Instance
	at       ident.Time
}

// isRestarted reports whether an endpoint that is not in the table has an earlier incarnation that was dropped within Retention.
func (c *Census) isRestarted(e Entry, now ident.Time) bool {
	d, found := c.formers[e.Instance.ID]
	return found && d.instance != e.Instance && now.Sub(d.at) < c.Retention
}

// noteFormer remembers an endpoint that is dropped.
func (c *Census) noteFormer(e Entry) {
	if len(c.formers) < maxEntries {
		c.formers[e.Instance.ID] = former{instance: e.Instance, at: c.heardAt}
	}
}

// forgetFormers forgets the endpoints that were dropped longer than Retention ago.
func (c *Census) forgetFormers(now ident.Time) {
	maps.DeleteFunc(c.formers, func(_ ident.EndpointID, d former) bool { return now.Sub(d.at) >= c.Retention })
}

// staysOn records a heartbeat of an endpoint: an earlier deregistration was not that of its incarnation.
func (c *Census) staysOn(e Entry) {
	if p, pending := c.leaves[e.Instance.ID]; pending && (p.instance != e.Instance || e.State == Ready) {
		delete(c.leaves, e.Instance.ID)
	}
}

// Leave marks an endpoint as gone. It returns the entry, and false when the endpoint is unknown, has already left, or is of another
// incarnation.
func (c *Census) Leave(i ident.Instance, now ident.Time) (Entry, bool) {
	e, known := c.entries[i.ID]
	if !known || e.Instance != i || e.State == Gone {
		return e, false
	}
	e.State, e.LastHeartbeat = Gone, now
	c.entries[i.ID] = e
	delete(c.leaves, i.ID)
	return e, true
}
