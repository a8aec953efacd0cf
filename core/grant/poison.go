package grant

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"shallotgap/core/ident"
	"shallotgap/core/poison"
)

// WrittenAfter is how long an engine must have sent events of a stream until the parts of its prompt count as sound. A poison
// request crashes its engine as soon as that begins to write.
const WrittenAfter = 200 * time.Millisecond

// Times of the inquiry into broken streams.
const (
	// collectTime is the time from the first broken stream in which the entry hosts report the others of the engine.
	collectTime = 60 * time.Millisecond
	// inquiryRetry is the pause after a probe without a clear answer, maxProbes the number of probes.
	inquiryRetry = 250 * time.Millisecond
	maxProbes    = 3
	// inquiryTime is how long an engine whose streams broke is remembered, so that it is not probed for each of them.
	inquiryTime = 2 * time.Second
	// localSuspicion is how long a suspicion counts before the replicated table must confirm it.
	localSuspicion = 3 * time.Second
	// suspectShare is the largest share of a service's engines that run suspects, one each.
	suspectShare = 0.25
)

// ProbeResult is what a probe of an engine found.
type ProbeResult uint8

// Results of a probe.
const (
	Unclear ProbeResult = iota // no answer, as from a host that is frozen or cut off
	Alive                      // the engine answered
	Refused                    // nothing listens at the engine's address: its process has ended
)

// inquiry collects the requests whose streams from one engine broke, until it is known whether the engine crashed.
type inquiry struct {
	since     ident.Time
	requests  []brokenRequest
	probes    int
	nextProbe ident.Time
	probing   bool
	unclear   bool // a probe had no clear answer
	crashed   bool
	closed    bool // judged, or found to be no crash
}

// brokenRequest is a request whose stream broke before WrittenAfter.
type brokenRequest struct {
	ask   Ask
	begun bool // the engine had begun to answer
	whole []poison.Part
	label string
}

// poisonWatch is the part of an Authority that finds poison requests and keeps them from engines.
type poisonWatch struct {
	table     *poison.Table
	written   *poison.Written
	inquiries map[ident.Instance]*inquiry
	// localSuspects holds suspicions that the replicated table may not have yet, with the time of their crash.
	localSuspects map[poison.Part]ident.Time
	// suspectRuns holds the granted request of each suspect, so that each runs one request at a time.
	suspectRuns map[poison.Part]ID
	// evidence counts the crashes under whole requests; the table holds those with several.
	evidence *poison.Evidence
	timers   poison.Timers
	// crashedAt holds when endpoints were found to have crashed.
	crashedAt map[ident.Instance]ident.Time
}

func newPoisonWatch() poisonWatch {
	return poisonWatch{
		table: poison.NewTable(), written: poison.NewWritten(), inquiries: map[ident.Instance]*inquiry{}, localSuspects: map[poison.Part]ident.Time{},
		suspectRuns: map[poison.Part]ID{}, evidence: poison.NewEvidence(), crashedAt: map[ident.Instance]ident.Time{},
	}
}

// SharedParts returns the parts of a prompt without the last one, which belongs to the request itself or its session.
func SharedParts(parts []Part) []poison.Part {
	var list []poison.Part
	for _, p := range parts[:max(0, len(parts)-1)] {
		list = append(list, poison.Part(p.ID))
	}
	return list
}

// SetPoison sets the replicated table, after each change of it.
func (t *Authority) SetPoison(table *poison.Table) { t.table = table }

// AddWritten records parts that engines wrote on for an entry host, under an earlier authority.
func (t *Authority) AddWritten(parts []poison.Part, now ident.Time) {
	for _, p := range parts {
		t.written.Add(p, now)
	}
}

// Written records that an engine has written on a request for WrittenAfter.
func (t *Authority) Written(id ID, now ident.Time) {
	if e := t.engines[t.placements[id]]; e != nil && e.running[id] != nil {
		t.markWritten(e.running[id].ask, now)
	}
}

// markWritten records that the parts of a request are sound.
func (t *Authority) markWritten(a Ask, now ident.Time) {
	var cleared []poison.Part
	t.evidence.Clear(a.Whole...)
	for _, p := range SharedParts(a.Parts) {
		t.written.Add(p, now)
		delete(t.localSuspects, p)
	}
	for _, p := range append(SharedParts(a.Parts), a.Whole...) {
		if r, known := t.table.Get(p); known && r.State != poison.Blocked {
			cleared = append(cleared, p)
		}
	}
	if len(cleared) > 0 {
		t.effects.Poison = append(t.effects.Poison, poison.Command{Clear: cleared})
		t.addNote("poison", a, t.placements[a.ID], "cleared", fmt.Sprintf("parts=%v", cleared))
	}
}

// endWatched learns from the end of a request at an engine.
func (t *Authority) endWatched(e *engine, r *run, end End, now ident.Time) {
	written := end.Outcome == Served || end.Wrote >= WrittenAfter
	if written {
		t.markWritten(r.ask, now)
	}
	switch {
	case !end.Broken:
	case written:
		t.inquire(e, now)
	default:
		t.inquire(e, now, brokenRequest{ask: r.ask, begun: end.Begun, whole: end.Whole, label: end.Label})
	}
}

// inquire begins to find out whether an engine crashed, or adds requests to the inquiry. An engine that is stopping as planned ends
// its streams without a crash.
func (t *Authority) inquire(e *engine, now ident.Time, requests ...brokenRequest) {
	i := e.entry.Instance
	q := t.inquiries[i]
	if q != nil && q.closed && q.crashed { // judged already; a busy entry host reports late what broke
		for _, b := range requests {
			t.countCrash(i, b, now)
		}
		return
	}
	if !e.isReady() {
		return
	}
	if q == nil {
		q = &inquiry{since: now, nextProbe: now}
		t.inquiries[i] = q
	}
	q.requests = append(q.requests, requests...)
}

// ApplyProbe applies the result of a probe.
func (t *Authority) ApplyProbe(i ident.Instance, r ProbeResult, now ident.Time) {
	q := t.inquiries[i]
	if q == nil || q.closed {
		return
	}
	q.probing = false
	switch r {
	case Alive:
		q.closed = true
	case Refused:
		q.crashed = true
		t.crashedAt[i] = now
		if e := t.engines[i.ID]; e != nil && e.entry.Instance == i {
			e.failures.recordUnreachable(now)
		}
	case Unclear:
		q.unclear = true
		q.nextProbe = now.Add(inquiryRetry)
		q.closed = q.probes >= maxProbes
	}
}

// stepInquiries sends probes and judges the engines that crashed.
func (t *Authority) stepInquiries(now ident.Time) {
	for _, i := range slices.SortedFunc(maps.Keys(t.inquiries), ident.Instance.Compare) {
		q, e := t.inquiries[i], t.engines[i.ID]
		switch {
		case now.Sub(q.since) > inquiryTime:
			delete(t.inquiries, i)
		case q.closed:
		case q.crashed && now.Sub(q.since) >= collectTime:
			t.judge(i, q, now)
		case e == nil || e.entry.Instance != i || !e.isReady():
			q.closed = !q.crashed // left as planned, or no longer known
		case !q.crashed && !q.probing && now >= q.nextProbe:
			q.probing = true
			q.probes++
			t.takeSend(i, ProbeSend, now)
			t.effects.Probes = append(t.effects.Probes, Target{Instance: i, Service: e.entry.Service, Address: e.entry.Address})
		}
	}
}

// judge reports the suspects of a crash: the requests that had just begun to be answered, or all whose answers had not, if none had.
// Requests whose parts were all written on lately are none.
func (t *Authority) judge(i ident.Instance, q *inquiry, now ident.Time) {
	q.closed = true
	begun := false
	for _, b := range q.requests {
		begun = begun || b.begun
	}
	crash := poison.Crash{Instance: i}
	for _, b := range q.requests {
		t.countCrash(i, b, now)
		if b.begun != begun || len(b.ask.Parts) == 0 {
			continue
		}
		s := poison.Request{Own: poison.Part(b.ask.Parts[len(b.ask.Parts)-1].ID)}
		for _, p := range SharedParts(b.ask.Parts) {
			if !t.written.Has(p, now) {
				s.Parts = append(s.Parts, p)
				t.localSuspects[p] = now
			}
		}
		if len(s.Parts) > 0 {
			crash.Suspects = append(crash.Suspects, s)
			t.addNote("poison", b.ask, i.ID, "suspected", fmt.Sprintf("begun=%t parts=%v", b.begun, s.Parts))
		}
	}
	t.effects.Notes = append(t.effects.Notes, Note{
		Step: "poison", Endpoint: i.ID, Outcome: "engine-crashed", Inputs: fmt.Sprintf("broken=%d begun=%t suspects=%d", len(q.requests), begun, len(crash.Suspects)),
	})
	if len(crash.Suspects) > 0 {
		t.effects.Poison = append(t.effects.Poison, poison.Command{Crash: &crash})
	}
}

// suspectsOf returns the suspected parts of a request, and whether one of its parts is blocked.
func (t *Authority) suspectsOf(a Ask, now ident.Time) (suspects []poison.Part, blocked bool) {
	if t.table.Len() == 0 && len(t.localSuspects) == 0 && t.evidence.Len() == 0 {
		return nil, false
	}
	for _, p := range a.Whole {
		switch t.crashesUnder(p, now) {
		case 0, 1: // as many as each request that runs on an endpoint that crashes
		case 2:
			suspects = append(suspects, p)
		default:
			return nil, true
		}
	}
	for _, p := range SharedParts(a.Parts) {
		r, known := t.table.Get(p)
		at, local := t.localSuspects[p]
		switch {
		case known && r.State == poison.Blocked:
			return nil, true
		case known || (local && now.Sub(at) < localSuspicion):
			suspects = append(suspects, p)
		}
	}
	return suspects, false
}

// holdBack keeps a waiting request from the engines if its parts are blocked or suspected, and reports whether it did. A suspect runs
// one request at a time, at an engine without another suspect, so that the next crash tells them apart.
func (t *Authority) holdBack(w *waiter, now ident.Time) bool {
	if t.awaitsVerdict(w.ask, now) {
		return true
	}
	suspects, blocked := t.suspectsOf(w.ask, now)
	w.suspects = suspects
	switch {
	case blocked:
		t.rejectWaiter(w, Poison, poison.RetryAfter)
	case len(suspects) == 0:
		return false
	case w.ask.Sends > 0:
		t.rejectWaiter(w, Suspected, 0)
	case t.suspectsBusy(w, now):
		t.waitForEngine(w, now)
	default:
		return false
	}
	return true
}

// hasUnwritten reports whether no engine has written lately on a shared part of a request.
func (t *Authority) hasUnwritten(a Ask, now ident.Time) bool {
	for _, p := range SharedParts(a.Parts) {
		if !t.written.Has(p, now) {
			return true
		}
	}
	return false
}

// awaitsVerdict reports whether it is not known yet whether an engine has crashed under the request, or under an equal one or one with a shared
// part that no engine has written on. After a probe without a clear answer the request that failed itself waits no longer.
func (t *Authority) awaitsVerdict(a Ask, now ident.Time) bool {
	for i, q := range t.inquiries {
		if q.closed {
			continue
		}
		if a.Sends > 0 && slices.Contains(a.Avoid, i.ID) {
			if (q.crashed || !q.unclear) && t.hasUnwritten(a, now) {
				return true
			}
			continue
		}
		for _, b := range q.requests {
			if sharesAny(a.Whole, b.whole) || t.sharesUnwritten(a, b.ask, now) {
				return true
			}
		}
	}
	return false
}

func sharesAny(a, b []poison.Part) bool {
	return slices.ContainsFunc(a, func(p poison.Part) bool { return slices.Contains(b, p) })
}

// sharesUnwritten reports whether two requests share a part of their prompts that no engine has written on lately.
func (t *Authority) sharesUnwritten(a, b Ask, now ident.Time) bool {
	others := SharedParts(b.Parts)
	return slices.ContainsFunc(SharedParts(a.Parts), func(p poison.Part) bool { return slices.Contains(others, p) && !t.written.Has(p, now) })
}

// suspectsBusy reports whether a request must wait for another one with a suspected part to end.
func (t *Authority) suspectsBusy(w *waiter, now ident.Time) bool {
	for _, p := range w.suspects {
		if t.isRunning(t.suspectRuns[p], now) {
			return true
		}
	}
	engines, watched := 0, 0
	for _, e := range t.engines {
		if e.entry.Service == w.ask.Service && e.isReady() {
			engines++
			if e.runsSuspect() {
				watched++
			}
		}
	}
	return watched > 0 && float64(watched+1) > float64(engines)*suspectShare
}

// watch records that a request with suspected parts runs.
func (t *Authority) watch(id ID, suspects []poison.Part) {
	for _, p := range suspects {
		t.suspectRuns[p] = id
	}
}

// runsSuspect reports whether a request with suspected parts runs on the engine.
func (e *engine) runsSuspect() bool {
	for _, r := range e.running {
		if len(r.suspects) > 0 {
			return true
		}
	}
	return false
}

// stepRecords lets blocked parts be tried again and forgets old suspicions.
func (t *Authority) stepRecords(now ident.Time) {
	t.evidence.Forget(now)
	t.forgetCrashes(now)
	for p, id := range t.suspectRuns {
		if !t.isRunning(id, now) {
			delete(t.suspectRuns, p)
		}
	}
	for p, at := range t.localSuspects {
		if now.Sub(at) >= localSuspicion {
			delete(t.localSuspects, p)
		}
	}
	t.effects.Poison = append(t.effects.Poison, t.timers.Due(t.table, now)...)
}
