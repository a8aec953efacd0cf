// Package heed holds what endpoints say of themselves in their answers, beside their limits: that they are brittle, that they leave and that
// they want a rest.
package heed

import (
	"math"
	"strconv"
	"strings"
	"time"

	"shallotgap/core/ident"
)

// Brittle is the number of requests that an endpoint can reject in a second for want of room; with more it falls over.
type Brittle float64

// maxBrittle is a number of rejections that no endpoint gets; with a higher one it does not count as brittle.
const maxBrittle Brittle = 1e5

// maxQuoted bounds the text of a bad value in logs.
const maxQuoted = 64 // bytes

// ReadBrittle parses the values of an answer's header, as decimal numbers. The lowest of several values counts. named is false if the answer
// does not say that its endpoint is brittle; bad quotes values that were not understood.
func ReadBrittle(values []string) (number Brittle, named bool, bad string) {
	for _, text := range values {
		n, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
		if (err != nil && !math.IsInf(n, 1)) || math.IsNaN(n) || n < 0 {
			bad = quote(values)
			continue
		}
		if b := Brittle(n); b < maxBrittle && (!named || b < number) {
			number, named = b, true
		}
	}
	return number, named, bad
}

func quote(values []string) string {
	text := strings.Join(values, ", ")
	return strconv.Quote(text[:min(len(text), maxQuoted)])
}

// Report is what a host tells the authority of an endpoint's answers.
type Report struct {
	Instance ident.Instance `json:"instance"`
	Service  ident.Service  `json:"service"`
	// Brittle is set for an endpoint that says so, and NotBrittle for one that does not any more.
	Brittle    *Brittle `json:"brittle,omitempty"`
	NotBrittle bool     `json:"not-brittle,omitempty"`
	// Leaving is true for an endpoint that announces its shutdown, Rest is how long it asks the reporting host to send nothing.
	Leaving bool          `json:"leaving,omitempty"`
	Rest    time.Duration `json:"rest,omitempty"`
	// Slots is the number of requests that the endpoint processes at a time.
	Slots int `json:"slots,omitempty"`
}

// Times of brittle endpoints.
const (
	// reportInterval is the time between two reports of the same, which a new authority needs.
	reportInterval = time.Second
	// BrittleLife is how long an endpoint counts as brittle after the last report.
	BrittleLife = 10 * time.Second
	// growInterval is the time after which one more request is tried at an endpoint that has rejected some: each try may be rejected.
	growInterval = 2 * time.Second
	// rejectionWindow is the time in which an endpoint counts its rejections, usedShare the part of its number up to which it is sent more.
	rejectionWindow = time.Second
	usedShare       = 0.5
)

// Room is the number of requests that may run at a brittle endpoint, so that it rejects none. It falls with each rejection and grows again.
type Room struct {
	number   Brittle
	slots    int
	room     int
	seenAt   ident.Time
	grewAt   ident.Time
	rejected []ident.Time // rejections within rejectionWindow
}

// NewRoom returns the room of an endpoint that takes as many requests as it has slots.
func NewRoom(number Brittle, slots int, now ident.Time) *Room {
	slots = max(1, slots)
	return &Room{number: number, slots: slots, room: slots, seenAt: now, grewAt: now}
}

// Seen records that the endpoint said again that it is brittle.
func (r *Room) Seen(number Brittle, slots int, now ident.Time) {
	r.number, r.seenAt = number, now
	if slots > 0 {
		r.slots = slots
	}
}

// Expired reports whether nothing has said for long that the endpoint is brittle.
func (r *Room) Expired(now ident.Time) bool { return now.Sub(r.seenAt) > BrittleLife }

// Takes reports whether one more request may be sent while some run.
func (r *Room) Takes(running int, now ident.Time) bool {
	for len(r.rejected) > 0 && now.Sub(r.rejected[0]) >= rejectionWindow {
		r.rejected = r.rejected[1:]
	}
	if n := len(r.rejected); n > 0 && float64(n) >= float64(r.number)*usedShare {
		return false // those that run may be rejected, too
	}
	if r.room < r.slots && now.Sub(r.grewAt) >= growInterval {
		r.room++
		r.grewAt = now
	}
	return running < min(r.room, r.slots)
}

// Rejected records a rejection while others run: the endpoint has no room beyond these.
func (r *Room) Rejected(running int, now ident.Time) {
	r.room = max(1, min(r.room-1, running))
	r.grewAt = now
	r.rejected = append(r.rejected, now)
}

// seenBrittle is what an endpoint last said to a host.
type seenBrittle struct {
	number     Brittle
	at         ident.Time
	reportedAt ident.Time
	restedTo   ident.Time
}

// Table holds what endpoints said to one host.
type Table struct {
	brittle map[ident.Instance]*seenBrittle
	bad     map[ident.Instance]struct{} // endpoints whose values were not understood
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{brittle: map[ident.Instance]*seenBrittle{}, bad: map[ident.Instance]struct{}{}}
}

// Note records what an answer says. It returns whether that is news, and whether the authority should be told.
func (t *Table) Note(i ident.Instance, number Brittle, named bool, now ident.Time) (changed, report bool) {
	s := t.brittle[i]
	if !named {
		delete(t.brittle, i)
		return s != nil, s != nil
	}
	if s == nil {
		s = &seenBrittle{number: number - 1}
		t.brittle[i] = s
	}
	changed = s.number != number
	report = changed || now.Sub(s.reportedAt) >= reportInterval
	s.number, s.at = number, now
	if report {
		s.reportedAt = now
	}
	return changed, report
}

// FirstBad reports whether a value of an endpoint that was not understood is the first one, which is logged.
func (t *Table) FirstBad(i ident.Instance) bool {
	_, known := t.bad[i]
	if len(t.bad) >= maxBad {
		clear(t.bad)
	}
	t.bad[i] = struct{}{}
	return !known
}

// maxBad is the number of endpoints that are remembered for values that were not understood.
const maxBad = 1000

// Brittle reports whether an endpoint said to this host that it is brittle.
func (t *Table) Brittle(i ident.Instance) bool { return t.brittle[i] != nil }

// Rejected records a rejection by a brittle endpoint. Without a leader, each of the hosts leaves it alone for its part of the time in which all
// of them may be rejected once.
func (t *Table) Rejected(i ident.Instance, hosts int, now ident.Time) {
	if s := t.brittle[i]; s != nil {
		s.restedTo = now.Add(time.Duration(float64(hosts) / math.Max(1, float64(s.number)) * float64(time.Second)))
	}
}

// Share reports whether a host may send to a brittle endpoint without a leader, while some of its requests run there. order spreads the hosts
// over the slots if there are fewer slots than hosts.
func (t *Table) Share(i ident.Instance, slots, hosts, running int, order uint64, now ident.Time) bool {
	s := t.brittle[i]
	if s == nil {
		return true
	}
	share := slots / max(1, hosts)
	if share == 0 && order%uint64(max(1, hosts)) < uint64(max(1, slots)) {
		share = 1
	}
	return now >= s.restedTo && running < share
}

// Forget drops endpoints that have said nothing for long.
func (t *Table) Forget(now ident.Time) {
	for i, s := range t.brittle {
		if now.Sub(s.at) > time.Minute {
			delete(t.brittle, i)
		}
	}
}
