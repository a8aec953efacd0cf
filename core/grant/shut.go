package grant

import (
	"fmt"
	"maps"
	"time"

	"shallotgap/core/book"
	"shallotgap/core/census"
	"shallotgap/core/ident"
)

// Limits of the watch over lasting states.
const (
	shutInterval = time.Second
	// shutAfter is how long a state must last to be logged: the time in which another path should have been found.
	shutAfter = 3 * time.Second
	// demandMemory is how long the rejections of an adapter are remembered after its latest request.
	demandMemory = 15 * time.Second
	maxDemands   = 4096
)

// demand is an adapter that was rejected and not granted since.
type demand struct {
	since, askedAt ident.Time // first and latest rejection
	rejections     int
	cause          Cause // of the latest rejection
}

// shutWatch tracks engines and adapters that can't be used, and logs those that can't for longer than shutAfter.
type shutWatch struct {
	unserved map[book.AdapterRef]demand
	checked  ident.Time
	// lastOrder is when an order was last sent to any engine.
	lastOrder ident.Time
	health    Health
}

// Health counts the engines and adapters that have been unavailable for longer than shutAfter.
type Health struct {
	InDoubt      int // engines whose state is unknown
	Silent       int // engines without a sign of life that have not left
	FenceRefused int // engines that refuse the fencing token of orders
	Unserved     int // adapters that were rejected and not granted since
}

// refused records a rejection for want of an engine.
func (w *shutWatch) refused(a Ask, c Cause, now ident.Time) {
	if a.Ref.Adapter == "" || (c != TooLate && c != NoEndpoint && c != Limited) {
		return
	}
	d, known := w.unserved[a.Ref]
	switch {
	case known:
	case len(w.unserved) >= maxDemands:
		return
	case w.unserved == nil:
		w.unserved = map[book.AdapterRef]demand{}
	}
	if !known {
		d.since = now
	}
	d.askedAt, d.cause = now, c
	d.rejections++
	w.unserved[a.Ref] = d
}

// served records a grant for an adapter.
func (w *shutWatch) served(ref book.AdapterRef) { delete(w.unserved, ref) }

// unservedFor returns the time since the first rejection of an adapter that was not granted since, 0 for any other.
func (w *shutWatch) unservedFor(ref book.AdapterRef, now ident.Time) time.Duration {
	d, known := w.unserved[ref]
	if !known {
		return 0
	}
	return now.Sub(d.since)
}

// Health returns the result of the latest check.
func (t *Authority) Health() Health { return t.shut.health }

// stepShut checks once in shutInterval for states that last, and logs them in one line.
func (t *Authority) stepShut(now ident.Time) {
	if now.Sub(t.shut.checked) < shutInterval {
		return
	}
	t.shut.checked = now
	maps.DeleteFunc(t.shut.unserved, func(_ book.AdapterRef, d demand) bool { return now.Sub(d.askedAt) > demandMemory })
	h := Health{}
	doubt, silent, fence, worst := worstCase{}, worstCase{}, worstCase{}, worstCase{}
	for _, e := range t.enginesByID() {
		id := string(e.entry.Instance.ID)
		if e.entry.State != census.Ready {
			continue
		}
		since := max(e.firstSeenAt, e.doubtSince)
		h.InDoubt += doubt.add(!e.stateKnown, id, e.doubtCause, now.Sub(since))
		h.Silent += silent.add(true, id, "", now.Sub(e.entry.LastHeartbeat))
		h.FenceRefused += fence.add(e.fenceRefusals > 0, id, fmt.Sprint(e.fenceRefusals, " refusals"), now.Sub(e.fenceRefusedSince))
	}
	for ref, d := range t.shut.unserved {
		h.Unserved += worst.add(d.rejections > 1, string(ref.Adapter), fmt.Sprint(d.rejections, " rejections, last ", d.cause), now.Sub(d.since))
	}
	t.shut.health = h
	if h == (Health{}) {
		return
	}
	t.effects.Notes = append(t.effects.Notes, Note{Step: "shut", Outcome: "lasting", Inputs: fmt.Sprintf("engines=%d in-doubt=%d %s silent=%d %s fence-refused=%d %s unserved=%d %s since-order=%s waiting=%d",
		len(t.engines), h.InDoubt, doubt.text("doubt"), h.Silent, silent.text("silent"), h.FenceRefused, fence.text("fence"), h.Unserved, worst.text("unserved"), now.Sub(max(t.shut.lastOrder, t.startedAt)).Round(time.Millisecond), len(t.waiting))})
}

// worstCase is the case of a state that has lasted longest.
type worstCase struct {
	name, cause string
	lasted      time.Duration
}

// add returns 1 for a case that has lasted for longer than shutAfter, else 0.
func (w *worstCase) add(holds bool, name, cause string, lasted time.Duration) int {
	if !holds || lasted <= shutAfter {
		return 0
	}
	if lasted > w.lasted || (lasted == w.lasted && name < w.name) {
		*w = worstCase{name: name, cause: cause, lasted: lasted}
	}
	return 1
}

// text returns the case as key=value pairs.
func (w worstCase) text(key string) string {
	if w.name == "" {
		return key + "=none"
	}
	return fmt.Sprintf("%s=%s %s-for=%s %s-cause=%q", key, w.name, key, w.lasted.Round(time.Millisecond), key, w.cause)
}
