package grant_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"shallotgap/core/book"
	"shallotgap/core/census"
	"shallotgap/core/grant"
	"shallotgap/core/ident"
	"shallotgap/core/poison"
)

// poisonSim simulates engines that crash under requests with the part "dead", with tens of requests on each engine.
type poisonSim struct {
	*sim
	table   *poison.Table
	crashes int
	// crashedAt holds the times of the crashes, poisonSent the times at which poison requests reached an engine.
	crashedAt  []ident.Time
	poisonSent []ident.Time
	runs       map[grant.ID]*poisonRun
	soundAsked map[string]int
	served     map[string]int
	blamed     map[poison.Part]bool
	everRan    map[ident.Instance]*simEngine // engines, also those that crashed
	// answer returns the outcome of a stream when its engine begins to answer, probe the result of probing an engine.
	answer func(a grant.Ask) streamEnd
	probe  func(e *simEngine) grant.ProbeResult
	// probeTime is how long a probe takes, 0 for simTick.
	probeTime time.Duration
	// lateEnd is how much later than others the entry host of a request that is recognized as a whole reports its broken stream.
	lateEnd time.Duration
}

// poisonRun is a stream on an engine.
type poisonRun struct {
	ask     grant.Ask
	engine  *simEngine
	begunAt ident.Time // 0 before the engine begins to answer
	ended   bool
}

// streamEnd is what happens to a stream when its engine begins to answer.
type streamEnd uint8

const (
	whole    streamEnd = iota
	crash              // the engine's process ends
	cut                // the connection breaks, the engine goes on
	lost               // the connection breaks before the answer, the engine goes on
	silenced           // no event comes, this host ends the stream
)

func newPoisonSim(t testing.TB, engines int) *poisonSim {
	p := &poisonSim{
		sim: newSim(t, engines), table: poison.NewTable(), runs: map[grant.ID]*poisonRun{}, soundAsked: map[string]int{}, served: map[string]int{},
		blamed: map[poison.Part]bool{}, everRan: map[ident.Instance]*simEngine{},
	}
	p.answer = func(a grant.Ask) streamEnd {
		for _, part := range a.Parts {
			if part.ID == "dead" {
				return crash
			}
		}
		return whole
	}
	p.probe = func(e *simEngine) grant.ProbeResult {
		if p.engines[e.entry.Instance.ID] == e {
			return grant.Alive
		}
		return grant.Refused
	}
	p.auth.SetPoison(p.table)
	return p
}

// request sends a request whose prompt holds a shared part, a topic and a part of its own.
func (p *poisonSim) request(topic string) { p.requestWhole(topic, nil) }

// requestWhole sends a request that is recognized as a whole by its parts.
func (p *poisonSim) requestWhole(topic string, whole []poison.Part) {
	p.nextID++
	a := grant.Ask{
		ID: grant.ID(fmt.Sprint(p.nextID)), Request: fmt.Sprint(p.nextID), Domain: "north", Service: service, Target: time.Second, Left: 5 * time.Second,
		Ref: book.AdapterRef{Model: "base", Adapter: ident.Adapter(fmt.Sprint("a", p.rand.IntN(8)))}, Prompt: 800, Output: 100,
		Parts: []grant.Part{{ID: "system", Tokens: 300}, {ID: topic, Tokens: 300}, {ID: fmt.Sprint("own", p.nextID), Tokens: 200}},
		Whole: whole,
	}
	p.soundAsked[topic]++
	p.asks[a.ID] = a
	p.auth.Ask(a, p.now)
}

// run advances the simulation.
func (p *poisonSim) run(d time.Duration) {
	for end := p.now.Add(d); p.now < end; p.now = p.now.Add(simTick) {
		pending := p.scheduled
		p.scheduled = nil
		for _, e := range pending {
			if e.due <= p.now {
				e.action()
			} else {
				p.scheduled = append(p.scheduled, e)
			}
		}
		p.apply(p.auth.Step(p.now))
	}
}

func (p *poisonSim) apply(e grant.Effects) {
	for _, c := range e.Poison {
		p.after(simTick, func() {
			p.table.Apply(c)
			for _, r := range p.table.List() {
				if r.State == poison.Blocked {
					p.blamed[r.Part] = true
				}
			}
		})
	}
	for _, t := range e.Probes {
		engine := p.byInstance(t.Instance)
		p.after(max(simTick, p.probeTime), func() { p.auth.ApplyProbe(t.Instance, p.probe(engine), p.now) })
	}
	for _, r := range e.Replies {
		if r.Reply.Place != nil {
			p.begin(p.asks[r.Reply.ID], *r.Reply.Place)
		} else {
			p.causes[r.Reply.Cause]++
		}
	}
	p.applyEffects(grant.Effects{Orders: e.Orders, Reports: e.Reports, Notes: e.Notes})
}

func (p *poisonSim) byInstance(i ident.Instance) *simEngine {
	for _, e := range p.engines {
		p.everRan[e.entry.Instance] = e
	}
	return p.everRan[i]
}

// begin runs a granted request: the engine reads the prompt, begins to answer and sends events for 800 ms.
func (p *poisonSim) begin(a grant.Ask, place grant.Place) {
	e := p.byInstance(place.Instance)
	if e == nil || p.engines[place.Instance.ID] != e {
		p.after(simTick, func() { p.auth.End(grant.End{ID: a.ID, Outcome: grant.Unreachable}, p.now) })
		return
	}
	slot := e.adapters[a.Ref.Adapter]
	if slot == nil || slot.readyAt > p.now {
		p.after(simTick, func() { p.auth.End(grant.End{ID: a.ID, Outcome: grant.NotRun}, p.now) })
		return
	}
	slot.pins++
	run := &poisonRun{ask: a, engine: e}
	p.runs[a.ID] = run
	if a.Parts[1].ID == "dead" {
		p.poisonSent = append(p.poisonSent, p.now)
	}
	p.after(time.Duration(60+p.rand.IntN(150))*time.Millisecond, func() {
		if run.ended {
			return
		}
		run.begunAt = p.now
		switch p.answer(a) {
		case crash:
			p.crashEngine(e)
		case cut:
			p.endRun(run, grant.End{Outcome: grant.Failed, Broken: true, Begun: true})
		case lost:
			p.endRun(run, grant.End{Outcome: grant.Failed, Broken: true, Whole: a.Whole})
		case silenced:
			p.after(1200*time.Millisecond, func() { p.endRun(run, grant.End{Outcome: grant.Failed}) })
		case whole:
			p.after(800*time.Millisecond, func() {
				if !run.ended {
					p.served[a.Parts[1].ID]++
				}
				p.endRun(run, grant.End{Outcome: grant.Served, Wrote: 800 * time.Millisecond})
			})
		}
		if place.Watch {
			p.after(grant.WrittenAfter, func() {
				if !run.ended && p.answer(a) == whole {
					p.auth.Written(a.ID, p.now)
				}
			})
		}
	})
}

func (p *poisonSim) endRun(run *poisonRun, end grant.End) {
	if run.ended {
		return
	}
	run.ended = true
	if slot := run.engine.adapters[run.ask.Ref.Adapter]; slot != nil {
		slot.pins--
	}
	end.ID = run.ask.ID
	p.auth.End(end, p.now)
}

// crashEngine ends an engine with all its streams; another one starts at its address some seconds later.
func (p *poisonSim) crashEngine(e *simEngine) {
	id := e.entry.Instance.ID
	if p.engines[id] != e {
		return
	}
	p.crashes++
	p.crashedAt = append(p.crashedAt, p.now)
	p.crash(id)
	for _, run := range p.runs {
		if run.engine == e && !run.ended {
			run.ended = true
			wrote := time.Duration(0)
			if run.begunAt != 0 {
				wrote = p.now.Sub(run.begunAt)
			}
			end := grant.End{ID: run.ask.ID, Outcome: grant.Failed, Broken: true, Begun: run.begunAt != 0, Wrote: wrote, Whole: run.ask.Whole}
			delay := time.Duration(1+p.rand.IntN(15)) * time.Millisecond
			if len(end.Whole) > 0 {
				delay += p.lateEnd
			}
			p.after(delay, func() { p.auth.End(end, p.now) })
		}
	}
	p.after(3*time.Second, func() { p.addEngine(fmt.Sprintf("r%d", p.crashes*100+p.rand.IntN(100)), true) })
}

// load sends requests at a rate, each with a topic.
func (p *poisonSim) load(perSecond float64, d time.Duration, topic func() string) {
	every := time.Duration(float64(time.Second) / perSecond)
	for offset := time.Duration(0); offset < d; offset += every {
		p.after(offset, func() { p.request(topic()) })
	}
}

// Of many requests on each engine only the one with the poison part may be blamed, and after the fifth crash and three seconds at most
// three more may reach an engine. Sound requests with the same first part must go on being served.
func TestPoisonPartAmongManyRequests(t *testing.T) {
	cases := map[string]struct {
		engines      int
		poisonRate   float64
		failover     bool
		warm         time.Duration // sound traffic before the first poison request
		newTopics    bool          // sound topics that nothing was written on come all the time
		minServed    float64
		crashesUnder int
	}{
		"after a calm time":           {engines: 12, poisonRate: 5, warm: 5 * time.Second, minServed: 0.9, crashesUnder: 9},
		"from the first second":       {engines: 12, poisonRate: 5, minServed: 0.8, crashesUnder: 12},
		"rare poison requests":        {engines: 12, poisonRate: 0.5, warm: 5 * time.Second, minServed: 0.9, crashesUnder: 9},
		"many poison requests":        {engines: 12, poisonRate: 20, warm: 5 * time.Second, minServed: 0.7, crashesUnder: 13},
		"with new topics all along":   {engines: 12, poisonRate: 5, warm: 5 * time.Second, newTopics: true, minServed: 0.8, crashesUnder: 9},
		"a leader that follows":       {engines: 12, poisonRate: 5, warm: 5 * time.Second, failover: true, minServed: 0.8, crashesUnder: 12},
		"few engines":                 {engines: 3, poisonRate: 2, warm: 5 * time.Second, minServed: 0.5, crashesUnder: 9},
		"many engines, more requests": {engines: 40, poisonRate: 10, warm: 5 * time.Second, minServed: 0.9, crashesUnder: 13},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			p := newPoisonSim(t, c.engines)
			p.run(time.Second)
			fresh := 0
			topic := func() string {
				if fresh++; c.newTopics && fresh%3 == 0 {
					return fmt.Sprint("new", fresh)
				}
				return fmt.Sprint("topic", p.rand.IntN(17))
			}
			const span = 20 * time.Second
			p.load(50, c.warm+span, topic)
			p.run(c.warm)
			p.load(c.poisonRate, span, func() string { return "dead" })
			p.run(1500 * time.Millisecond)
			if c.failover {
				p.replaceAuthority()
			}
			p.run(span - 1500*time.Millisecond)
			p.run(2 * time.Second)
			asked, served := 0, 0
			for topic, n := range p.soundAsked {
				if topic != "dead" {
					asked, served = asked+n, served+p.served[topic]
				}
			}
			t.Logf("%d crashes, %d of %d sound requests served, causes %v, blamed %v", p.crashes, served, asked, p.causes, p.blamed)
			assert.DeepEqual(t, p.blamed, map[poison.Part]bool{"dead": true})
			assert.Assert(t, p.crashes < c.crashesUnder, "%d engines crashed", p.crashes)
			assert.Assert(t, float64(served) >= c.minServed*float64(asked), "%d of %d sound requests were served", served, asked)
			if len(p.crashedAt) >= 5 {
				late := 0
				for _, at := range p.poisonSent {
					if at.Sub(p.crashedAt[4]) > 3*time.Second {
						late++
					}
				}
				assert.Assert(t, late <= 3, "%d poison requests reached engines 3 s after the fifth crash", late)
			}
		})
	}
}

// replaceAuthority starts another authority, with the replicated table only.
func (p *poisonSim) replaceAuthority() {
	p.auth = grant.New(grant.Defaults(), p.now)
	p.table = poison.Restore(p.table.Snapshot())
	p.auth.SetPoison(p.table)
	p.auth.SetLayout(p.layout)
	for _, e := range p.engines {
		p.auth.Observe(e.entry, e.entry.LastHeartbeat)
	}
	p.after(simTick, func() {
		for id, run := range p.runs {
			if !run.ended {
				r := grant.RunningRequest{Ask: run.ask, Instance: run.engine.entry.Instance, Prefilled: run.begunAt != 0}
				if run.begunAt != 0 {
					r.Wrote = p.now.Sub(run.begunAt)
				}
				r.Ask.ID = id
				p.auth.Resume(r, p.now)
			}
		}
	})
}

// Streams that break while their engine goes on, and engines that end as planned or crash for another reason, prove nothing against the
// parts of the prompts that run there.
func TestNothingIsBlamedWithoutCause(t *testing.T) {
	cases := map[string]func(p *poisonSim){
		"cut links": func(p *poisonSim) {
			p.answer = func(grant.Ask) streamEnd { return p.oneOf(0.4, cut) }
		},
		"lost answers": func(p *poisonSim) {
			p.answer = func(grant.Ask) streamEnd { return p.oneOf(0.4, lost) }
		},
		"frozen engines": func(p *poisonSim) {
			p.answer = func(grant.Ask) streamEnd { return p.oneOf(0.4, silenced) }
			p.probe = func(*simEngine) grant.ProbeResult { return grant.Unclear }
		},
		"cut links, probes without an answer": func(p *poisonSim) {
			p.answer = func(grant.Ask) streamEnd { return p.oneOf(0.4, cut) }
			p.probe = func(*simEngine) grant.ProbeResult { return grant.Unclear }
		},
		"engines that crash at random": func(p *poisonSim) {
			for at := range 12 {
				p.after(time.Duration(2+at)*time.Second, func() {
					for _, e := range p.engines {
						p.crashEngine(e)
						break
					}
				})
			}
		},
		"all engines at once": func(p *poisonSim) {
			for _, at := range []time.Duration{3 * time.Second, 9 * time.Second, 15 * time.Second} {
				p.after(at, func() {
					for _, e := range p.engines {
						p.crashEngine(e)
					}
				})
			}
		},
		"engines that stop at short notice": func(p *poisonSim) {
			for at := range 10 {
				p.after(time.Duration(2+at)*time.Second, func() {
					for _, e := range p.engines {
						e.entry.State = census.Draining
						p.heartbeat(e)
						p.after(100*time.Millisecond, func() { p.crashEngine(e) })
						break
					}
				})
			}
		},
	}
	for name, hurt := range cases {
		t.Run(name, func(t *testing.T) {
			p := newPoisonSim(t, 12)
			p.run(time.Second)
			hurt(p)
			fresh := 0
			p.load(50, 20*time.Second, func() string {
				if fresh++; fresh%4 == 0 {
					return fmt.Sprint("rare", p.rand.IntN(40))
				}
				return fmt.Sprint("topic", p.rand.IntN(17))
			})
			p.run(22 * time.Second)
			t.Logf("%d crashes, causes %v, records %d", p.crashes, p.causes, p.table.Len())
			assert.Equal(t, len(p.blamed), 0, "%v", p.blamed)
		})
	}
}

// oneOf returns an end with a probability, and a whole answer otherwise.
func (p *poisonSim) oneOf(probability float64, end streamEnd) streamEnd {
	if p.rand.Float64() < probability {
		return end
	}
	return whole
}

// A broken stream is sent on at once where its parts are known to be sound, and soon where the engine does not answer a probe.
func TestBrokenStreamWaitsForInquiry(t *testing.T) {
	cases := map[string]struct {
		topic string
		probe grant.ProbeResult
	}{
		"sound parts":                     {topic: "topic0", probe: grant.Unclear},
		"an unknown part, alive":          {topic: "new", probe: grant.Alive},
		"an unknown part, a frozen probe": {topic: "new", probe: grant.Unclear},
	}
	const within = 300 * time.Millisecond // the load of the adapter at another engine takes 250 ms
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			p := newPoisonSim(t, 6)
			p.run(time.Second)
			p.load(20, 4*time.Second, func() string { return fmt.Sprint("topic", p.rand.IntN(4)) })
			p.run(6 * time.Second)
			p.probe = func(*simEngine) grant.ProbeResult { return c.probe }
			p.answer = func(grant.Ask) streamEnd { return cut }
			p.request(c.topic)
			first := grant.ID(fmt.Sprint(p.nextID))
			p.run(500 * time.Millisecond)
			run := p.runs[first]
			assert.Assert(t, run != nil && run.ended)
			p.answer = func(grant.Ask) streamEnd { return whole }
			again := run.ask
			again.ID, again.Sends, again.Avoid = "again", 1, []ident.EndpointID{run.engine.entry.Instance.ID}
			p.auth.End(grant.End{ID: first, Outcome: grant.Failed, Broken: true, Begun: true}, p.now)
			p.asks[again.ID] = again
			p.auth.Ask(again, p.now)
			asked := p.now
			for p.runs[again.ID] == nil && p.now.Sub(asked) < time.Second {
				p.run(simTick)
			}
			assert.Assert(t, p.now.Sub(asked) <= within, "sent on after %s", p.now.Sub(asked))
		})
	}
}
