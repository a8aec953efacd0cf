package grant_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"shallotgap/core/grant"
	"shallotgap/core/ident"
	"shallotgap/core/poison"
)

// crashPlay plays entry hosts that send one request to the endpoints of a plain service, which it crashes.
type crashPlay struct {
	t         *testing.T
	now       ident.Time
	auth      *grant.Authority
	table     *poison.Table
	endpoints []ident.Instance
	replies   map[grant.ID]grant.Reply
	crashes   int
	// saw is what the entry hosts have seen, which they tell a new leader.
	saw *poison.Evidence
}

var crashParts = []poison.Part{"request-a", "request-b"}

func newCrashPlay(t *testing.T, endpoints int) *crashPlay {
	p := &crashPlay{t: t, now: ident.Time(time.Hour), table: poison.NewTable(), replies: map[grant.ID]grant.Reply{}, saw: poison.NewEvidence()}
	for n := range endpoints {
		p.endpoints = append(p.endpoints, ident.Instance{ID: ident.EndpointID(fmt.Sprint("p", n)), Born: 1})
	}
	p.lead()
	return p
}

// lead starts a new authority, which entry hosts tell what they saw.
func (p *crashPlay) lead() {
	p.auth = newSim(p.t, 1).auth
	p.auth.SetPoison(p.table)
	for _, c := range p.saw.Crashes(p.now) {
		p.auth.ReportCrash(c, "f1", p.now)
	}
}

func (p *crashPlay) advance(span time.Duration) {
	step := max(5*time.Millisecond, span/100)
	for end := p.now.Add(span); p.now < end; p.now = p.now.Add(step) {
		e := p.auth.Step(p.now)
		for _, r := range e.Replies {
			p.replies[r.Reply.ID] = r.Reply
		}
		for _, c := range e.Poison {
			p.table.Apply(c)
		}
	}
}

// ask asks for a permit for the request and returns the reply, if one came within a time.
func (p *crashPlay) ask(id string, wait time.Duration) (grant.Reply, bool) {
	p.auth.Ask(grant.Ask{ID: grant.ID(id), Service: "pay", Permit: p.endpoints, Left: 300 * time.Millisecond, Whole: crashParts}, p.now)
	p.advance(wait)
	r, ok := p.replies[grant.ID(id)]
	return r, ok
}

// crash reports that an endpoint crashed under the request.
func (p *crashPlay) crash(i ident.Instance) {
	p.crashes++
	c := poison.Crash{Instance: i, Suspects: []poison.Request{{Whole: crashParts, Label: "GET /x from c"}}}
	for _, part := range crashParts {
		p.saw.Add(part, "GET /x from c", p.now, i)
	}
	p.auth.ReportCrash(c, "f1", p.now)
}

// The first crash comes unwarned; then the request runs by permits only. The third crash is the last, also when the leader changes after
// each.
func TestThirdCrashIsTheLast(t *testing.T) {
	for name, failover := range map[string]bool{"one leader": false, "a new leader after each crash": true} {
		t.Run(name, func(t *testing.T) {
			p := newCrashPlay(t, 8)
			p.crash(p.endpoints[0])
			for n := range 12 {
				if failover {
					p.advance(100 * time.Millisecond)
					p.lead()
				}
				r, answered := p.ask(fmt.Sprint("ask", n), 400*time.Millisecond)
				assert.Assert(t, answered)
				if r.Place != nil {
					assert.Assert(t, r.Place.Watch)
					p.crash(r.Place.Instance)
					p.auth.End(grant.End{ID: r.ID, Outcome: grant.Failed}, p.now)
					continue
				}
				assert.Equal(t, r.Cause, grant.Poison, "ask %d", n)
			}
			assert.Equal(t, p.crashes, 3)
			record, known := p.table.Get("request-a")
			assert.Assert(t, known && record.State == poison.Blocked && record.Label == "GET /x from c")
		})
	}
}

func TestSuspectedRequestsRunOneAtATime(t *testing.T) {
	p := newCrashPlay(t, 8)
	p.crash(p.endpoints[0])
	first, _ := p.ask("first", 200*time.Millisecond)
	assert.Assert(t, first.Place != nil)
	_, answered := p.ask("second", 100*time.Millisecond)
	assert.Assert(t, !answered, "a second one runs beside the first")
	p.auth.End(grant.End{ID: "first", Outcome: grant.Served}, p.now)
	p.advance(20 * time.Millisecond)
	assert.Assert(t, p.replies["second"].Place != nil, "the first was answered, so the request is sound")
}

// With one endpoint of several left, a suspected request is rejected, not run; a sound one goes to that endpoint without a permit.
func TestLastEndpointIsKeptForSoundRequests(t *testing.T) {
	p := newCrashPlay(t, 2)
	p.crash(p.endpoints[0])
	r, answered := p.ask("x", 200*time.Millisecond)
	assert.Assert(t, answered && r.Place == nil)
	assert.Equal(t, r.Cause, grant.Suspected)
	assert.Assert(t, r.After > 0)
}

// A service whose only endpoint crashed and is back gets the request again; there is nothing to save.
func TestOnlyEndpoint(t *testing.T) {
	p := newCrashPlay(t, 1)
	p.crash(ident.Instance{ID: "earlier", Born: 1})
	r, _ := p.ask("x", 200*time.Millisecond)
	assert.Assert(t, r.Place != nil)
}

// A crashed endpoint says nothing any more and stays listed as ready; both sides of the times after which it counts as alive again.
func TestCrashedEndpointIsForgotten(t *testing.T) {
	cases := map[string]struct {
		wait      time.Duration
		heartbeat time.Duration // after the crash; 0 for none
		alive     bool
	}{
		"soon after":                     {wait: 55 * time.Second},
		"long after":                     {wait: 61 * time.Second, alive: true},
		"a heartbeat from before, late":  {wait: 10 * time.Second, heartbeat: 4 * time.Second},
		"a heartbeat: it did not crash":  {wait: 10 * time.Second, heartbeat: 6 * time.Second, alive: true},
		"a heartbeat at the very moment": {wait: 10 * time.Second, heartbeat: 5 * time.Second},
		"a heartbeat a moment later":     {wait: 10 * time.Second, heartbeat: 5*time.Second + time.Millisecond, alive: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			p := newCrashPlay(t, 2)
			crashedAt := p.now
			p.crash(p.endpoints[0])
			if c.heartbeat > 0 {
				p.advance(c.heartbeat)
				p.auth.ObserveHeartbeat(p.endpoints[0], crashedAt.Add(c.heartbeat))
			}
			p.advance(c.wait - c.heartbeat)
			r, answered := p.ask("x", 200*time.Millisecond)
			assert.Assert(t, answered)
			assert.Equal(t, r.Place != nil, c.alive)
		})
	}
}

// Between the break of a stream and the verdict on its engine, the same request went on to the next engines and crashed them too.
func TestRequestWaitsForVerdictOnItsEngine(t *testing.T) {
	cases := map[string]struct {
		probe grant.ProbeResult
		parts []poison.Part
		waits bool
	}{
		"the engine has crashed": {probe: grant.Refused, parts: crashParts, waits: true},
		"it goes on":             {probe: grant.Alive, parts: crashParts, waits: true},
		"it is not clear":        {probe: grant.Unclear, parts: crashParts, waits: true},
		"another request":        {probe: grant.Refused, parts: []poison.Part{"request-c"}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			p := newPoisonSim(t, 6)
			p.probe = func(*simEngine) grant.ProbeResult { return c.probe }
			p.probeTime = 700 * time.Millisecond
			broken := false
			p.answer = func(a grant.Ask) streamEnd {
				if len(a.Whole) == 0 || broken {
					return whole
				}
				broken = true
				return lost
			}
			p.load(50, 5*time.Second, func() string { return "topic" })
			p.run(3 * time.Second)
			p.requestWhole("topic", crashParts)
			p.run(400 * time.Millisecond)
			assert.Assert(t, broken)
			p.requestWhole("topic", c.parts)
			id := grant.ID(fmt.Sprint(p.nextID))
			p.run(150 * time.Millisecond)
			assert.Equal(t, p.runs[id] == nil, c.waits, "before the verdict")
			p.run(2 * time.Second)
			assert.Assert(t, p.runs[id] != nil, "after it, or if there is none for long")
		})
	}
}

// The same request comes again and again and crashes each engine that runs it. Probes take longer than the time between two tries, as they do
// through another host, or the broken stream of the request is reported only after its engine was judged.
func TestThirdCrashIsTheLastWithLateEvidence(t *testing.T) {
	cases := map[string]struct{ probeTime, lateEnd, interval time.Duration }{
		"at once":             {interval: 300 * time.Millisecond},
		"a probe of 200 ms":   {probeTime: 200 * time.Millisecond, interval: 300 * time.Millisecond},
		"a probe of 350 ms":   {probeTime: 350 * time.Millisecond, interval: 300 * time.Millisecond},
		"a probe of 700 ms":   {probeTime: 700 * time.Millisecond, interval: 300 * time.Millisecond},
		"a report of 200 ms":  {lateEnd: 200 * time.Millisecond, interval: 600 * time.Millisecond},
		"a report of 1200 ms": {lateEnd: 1200 * time.Millisecond, interval: 1600 * time.Millisecond},
		"a report of 3 s":     {lateEnd: 3 * time.Second, interval: 4 * time.Second},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			p := newPoisonSim(t, 12)
			p.probeTime, p.lateEnd = c.probeTime, c.lateEnd
			p.answer = func(a grant.Ask) streamEnd {
				if len(a.Whole) > 0 {
					return crash
				}
				return whole
			}
			const tries = 10
			p.load(100, 3*time.Second+tries*c.interval, func() string { return "topic" })
			p.run(2 * time.Second)
			for n := range tries {
				p.after(time.Duration(n)*c.interval, func() { p.requestWhole("topic", crashParts) })
			}
			p.run(2*time.Second + tries*c.interval)
			assert.Equal(t, p.crashes, 3)
		})
	}
}
