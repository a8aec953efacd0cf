package grant

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"shallotgap/core/ident"
	"shallotgap/core/poison"
)

// maxSuspectCrashes is the number of crashes under one request after which no host sends it any more.
const maxSuspectCrashes = 3

// suspectRetryAfter is the Retry-After of a suspected request that may not run now: endpoints that crashed are back some seconds later.
const suspectRetryAfter = 2 * time.Second

// ReportCrash records that an endpoint of a plain service crashed, as an entry host found out, and under which requests.
func (t *Authority) ReportCrash(c poison.Crash, host ident.HostID, now ident.Time) {
	q := t.inquiries[c.Instance]
	if q == nil {
		q = &inquiry{since: now}
		t.inquiries[c.Instance] = q
	}
	q.crashed = true
	t.crashedAt[c.Instance] = now
	for _, s := range c.Suspects {
		b := brokenRequest{ask: Ask{Host: host}, whole: s.Whole, label: s.Label}
		if q.closed { // judged already; entry hosts report what broke within some round trips
			t.countCrash(c.Instance, b, now)
			continue
		}
		q.requests = append(q.requests, b)
	}
}

// countCrash counts a crash for a whole request.
func (t *Authority) countCrash(i ident.Instance, b brokenRequest, now ident.Time) {
	for _, p := range b.whole {
		r, known := t.table.Get(p)
		crashed := t.evidence.Add(p, b.label, now, append(slices.Clone(r.Instances), i)...)
		t.addNote("poison", b.ask, i.ID, "suspected", fmt.Sprintf("part=%s crashes=%d label=%q", p, len(crashed), b.label))
		if known || len(crashed) >= poison.ReplicateCrashes {
			t.effects.Poison = append(t.effects.Poison, poison.Command{Repeated: &poison.Repeated{Part: p, Label: b.label, Instances: crashed, With: SharedParts(b.ask.Parts)}})
		}
	}
}

// crashesUnder returns the number of crashes that count against a whole request: none on trial, so that it runs once, and enough to
// reject it while it is blocked.
func (t *Authority) crashesUnder(p poison.Part, now ident.Time) int {
	r, known := t.table.Get(p)
	n, at := t.evidence.Count(p, now)
	switch {
	case known && r.State == poison.Blocked:
		return maxSuspectCrashes
	case known && r.State == poison.OnTrial && now.Sub(at) > localSuspicion:
		return maxSuspectCrashes - 1
	case known && r.State == poison.OnTrial: // crashed just now; the table will say so
		return maxSuspectCrashes
	case known && now.Sub(at) > localSuspicion:
		return r.Crashes
	case !known && n >= poison.ReplicateCrashes && now.Sub(at) > localSuspicion:
		t.evidence.Clear(p) // an operator lifted it
		return 0
	}
	return max(n, r.Crashes)
}

// isRunning reports whether a granted or permitted request has not ended.
func (t *Authority) isRunning(id ID, now ident.Time) bool {
	if _, placed := t.placements[id]; placed {
		return true
	}
	p, permitted := t.permits[id]
	return permitted && now <= p.until
}

// Times of endpoints that crashed.
const (
	// lateHeartbeat is how long after a crash a heartbeat from before it may arrive.
	lateHeartbeat = 5 * time.Second
	// crashMemory is how long a crashed endpoint may still be listed as ready: its end is not reported.
	crashMemory = time.Minute
)

// hasCrashed reports whether an endpoint was found to have crashed.
func (t *Authority) hasCrashed(i ident.Instance) bool {
	_, crashed := t.crashedAt[i]
	return crashed
}

// heardOf records a heartbeat, which shows that an endpoint has not crashed after all.
func (t *Authority) heardOf(i ident.Instance, now ident.Time) {
	if at, crashed := t.crashedAt[i]; crashed && now.Sub(at) > lateHeartbeat {
		delete(t.crashedAt, i)
	}
}

// forgetCrashes forgets endpoints that crashed long ago.
func (t *Authority) forgetCrashes(now ident.Time) {
	maps.DeleteFunc(t.crashedAt, func(_ ident.Instance, at ident.Time) bool { return now.Sub(at) > crashMemory })
}

// holdSuspect keeps a request for a plain service back that is suspected to crash endpoints, and reports whether it did. It runs once at a
// time, only after the crashes so far were counted, and never at the last endpoint of several.
func (t *Authority) holdSuspect(w *permitWaiter, now ident.Time) bool {
	if len(w.ask.Whole) == 0 {
		return false
	}
	crashes := 0
	busy := false
	for _, p := range w.ask.Whole {
		crashes = max(crashes, t.crashesUnder(p, now))
		busy = busy || t.isRunning(t.suspectRuns[p], now) || t.counting(p)
	}
	alive := 0
	for _, i := range w.ask.Permit {
		if !t.hasCrashed(i) {
			alive++
		}
	}
	switch {
	case crashes >= maxSuspectCrashes:
		t.rejectPermit(w, Poison, poison.RetryAfter)
	case crashes > 0 && alive < 2 && len(w.ask.Permit) > 1:
		t.rejectPermit(w, Suspected, suspectRetryAfter)
	case !busy:
		return false
	case now > w.deadline:
		t.rejectPermit(w, Suspected, suspectRetryAfter)
	}
	return true
}

// counting reports whether a crash under a request is not counted yet.
func (t *Authority) counting(p poison.Part) bool {
	for _, q := range t.inquiries {
		if q.closed {
			continue
		}
		for _, b := range q.requests {
			if slices.Contains(b.whole, p) {
				return true
			}
		}
	}
	return false
}

func (t *Authority) rejectPermit(w *permitWaiter, c Cause, retryAfter time.Duration) {
	delete(t.permitWaiters, w.ask.ID)
	t.reject(w.ask, c, retryAfter, "")
}
