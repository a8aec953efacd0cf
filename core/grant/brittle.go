package grant

import (
	"fmt"
	"time"

	"shallotgap/core/heed"
	"shallotgap/core/ident"
)

// roomTurn is the time in which a place at a brittle endpoint of a plain service becomes free: that of a few short requests.
const roomTurn = 20 * time.Millisecond

// ObserveReport applies what a host learned from an endpoint's answers.
func (t *Authority) ObserveReport(r heed.Report, host ident.HostID, now ident.Time) {
	if r.Rest > 0 {
		t.recordRest(r, host, now)
		return
	}
	room := t.rooms[r.Instance]
	switch {
	case r.NotBrittle:
		delete(t.rooms, r.Instance)
	case r.Brittle != nil && room == nil:
		t.rooms[r.Instance] = heed.NewRoom(*r.Brittle, r.Slots, now)
	case r.Brittle != nil:
		room.Seen(*r.Brittle, r.Slots, now)
		return
	}
	t.effects.Notes = append(t.effects.Notes, Note{Step: "brittle", Endpoint: r.Instance.ID, Outcome: map[bool]string{true: "ended", false: "named"}[r.NotBrittle], Inputs: fmt.Sprintf("slots=%d service=%s", r.Slots, r.Service)})
}

// hasRoom reports whether one more request may be sent to an endpoint while some run; always for one that is not brittle.
func (t *Authority) hasRoom(i ident.Instance, running int, now ident.Time) bool {
	room := t.rooms[i]
	return room == nil || room.Takes(running, now)
}

// recordRejection records that an endpoint rejected a request while others run.
func (t *Authority) recordRejection(i ident.Instance, running int, now ident.Time) {
	if room := t.rooms[i]; room != nil {
		room.Rejected(running, now)
	}
}

// permitted counts the permits of requests that may run at an endpoint.
func (t *Authority) permitted(i ident.Instance) int {
	n := 0
	for _, p := range t.permits {
		if p.instance == i {
			n++
		}
	}
	return n
}

// forgetRooms forgets endpoints that do not say any more that they are brittle.
func (t *Authority) forgetRooms(now ident.Time) {
	for i, r := range t.rooms {
		if r.Expired(now) {
			delete(t.rooms, i)
		}
	}
}

// recordRest records that an engine wants nothing from a host for a time. That is a delay of the engine for requests of this host.
func (t *Authority) recordRest(r heed.Report, host ident.HostID, now ident.Time) {
	e := t.engines[r.Instance.ID]
	if e == nil || e.entry.Instance != r.Instance {
		return
	}
	if e.rests == nil {
		e.rests = map[ident.HostID]ident.Time{}
	}
	for h, end := range e.rests {
		if now >= end {
			delete(e.rests, h)
		}
	}
	e.rests[host] = max(e.rests[host], now.Add(min(r.Rest, heed.MaxRest)))
	t.effects.Notes = append(t.effects.Notes, Note{Step: "rest", Peer: host, Endpoint: r.Instance.ID, Outcome: "asked", Inputs: fmt.Sprintf("rest=%dms", r.Rest.Milliseconds())})
}

// addRest adds the rest of an engine to the delay of an option.
func (o option) addRest(host ident.HostID, now ident.Time) option {
	rest := o.engine.rests[host].Sub(now)
	if rest <= o.startDelay {
		return o
	}
	extra := rest - o.startDelay
	o.startDelay = rest
	o.firstEvent += extra
	o.cost += extra
	return o
}
