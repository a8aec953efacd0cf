package grant_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"sort"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"shallotgap/core/book"
	"shallotgap/core/census"
	"shallotgap/core/grant"
	"shallotgap/core/ident"
	"shallotgap/core/layout"
)

// sim is a set of scripted engines and callers around one authority, in virtual time.
type sim struct {
	t       testing.TB
	rand    *rand.Rand
	now     ident.Time
	auth    *grant.Authority
	engines map[ident.EndpointID]*simEngine
	later   []event
	layout  *layout.Layout
	load    time.Duration // time of an adapter's load from the store

	asked, served, refused, bounced, overfull int
	underUse                                  int // orders to drop an adapter that a request uses
	live                                      map[grant.ID]grant.RunningRequest
	onTime                                    int
	causes                                    map[grant.Cause]int
	notes                                     []grant.Note
	nextID                                    int
	asks                                      map[grant.ID]grant.Ask
	begins                                    map[grant.ID]ident.Time // when the caller asked first
	// readRate is the tokens of a prompt read in a millisecond; 0 for no time at all.
	readRate float64
	// pairTime is the time that reading takes besides for a million pairs of tokens.
	pairTime time.Duration
	// queued is true for engines that read one prompt after the other.
	queued bool
	// mute engines give no reports; those of the others take reportLag.
	mute      bool
	reportLag time.Duration
	// knee is the number of loads from the store at once above which each takes longer; 0 for none.
	knee int
	// loseOrders is the share of the orders that get no answer and are carried out seconds later.
	loseOrders float64
}

type event struct {
	at ident.Time
	do func()
}

type simEngine struct {
	entry    census.Entry
	orders   uint64
	adapters map[ident.Adapter]*simSlot
	running  int
	modelAt  ident.Time      // when its base model is there; 0 for always
	dropped  []ident.Adapter // the latest, which load ten times as fast
	readTo   ident.Time      // when all its prompts are read
}

type simSlot struct {
	version book.WeightsVersion
	readyAt ident.Time
	pins    int
}

const (
	simStep       = 5 * time.Millisecond
	simSlots      = 4
	simRemembered = 20 // fewer than the authority assumes
	service       = ident.Service("llm")
)

func newSim(t testing.TB, engines int) *sim {
	t.Helper()
	s := &sim{
		t: t, rand: rand.New(rand.NewPCG(7, 9)), now: ident.Time(time.Hour), engines: map[ident.EndpointID]*simEngine{},
		load: 250 * time.Millisecond, causes: map[grant.Cause]int{}, live: map[grant.ID]grant.RunningRequest{}, asks: map[grant.ID]grant.Ask{}, begins: map[grant.ID]ident.Time{},
	}
	s.layout = &layout.Layout{Version: 1, Services: []layout.Service{{Name: service, Engine: &layout.Engine{
		Slots: 32, Memory: 100_000, AdapterSlots: simSlots, RoomMB: 100, LoadsPerSecond: 2,
		Models: []layout.Model{{Name: "base", Adapters: 1000, WeightsMB: 90, LoadTime: 600 * time.Millisecond}},
	}}}}
	p := grant.Defaults()
	s.auth = grant.New(p, s.now)
	s.auth.SetLayout(s.layout)
	for i := range engines {
		s.addEngine(fmt.Sprintf("e%d", i), true)
	}
	return s
}

func (s *sim) addEngine(id string, withModel bool) *simEngine {
	e := &simEngine{adapters: map[ident.Adapter]*simSlot{}, entry: census.Entry{
		Instance: ident.Instance{ID: ident.EndpointID(id), Born: ident.Incarnation(s.now)}, Service: service, Address: id, Slots: 32, State: census.Ready, Domain: "north",
	}}
	if withModel {
		e.entry.Models = []string{"base"}
	}
	s.engines[e.entry.Instance.ID] = e
	s.beat(e)
	return e
}

func (s *sim) after(d time.Duration, do func()) {
	s.later = append(s.later, event{at: s.now.Add(d), do: do})
}

// beat announces an engine once a second until it is gone.
func (s *sim) beat(e *simEngine) {
	if s.engines[e.entry.Instance.ID] != e {
		return
	}
	e.entry.Seq++
	e.entry.LastHeartbeat = s.now
	if e.modelAt != 0 && s.now >= e.modelAt {
		e.entry.Models = []string{"base"}
	}
	e.entry.Held = e.held(s.now)
	s.auth.Observe(e.entry, s.now)
	s.after(time.Second, func() { s.beat(e) })
}

func (e *simEngine) held(now ident.Time) []census.HeldAdapter {
	var list []census.HeldAdapter
	for a, slot := range e.adapters {
		if slot.readyAt <= now {
			list = append(list, census.HeldAdapter{Model: "base", Adapter: a, Version: uint64(slot.version)})
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Adapter < list[j].Adapter })
	return list
}

// failover replaces the authority by one that knows heartbeats and, a moment later, what entry hosts say is running.
func (s *sim) failover() {
	s.auth = grant.New(grant.Defaults(), s.now)
	s.auth.SetLayout(s.layout)
	for _, e := range s.engines {
		s.auth.Observe(e.entry, e.entry.LastHeartbeat)
	}
	s.after(simStep, func() {
		for _, l := range s.live {
			s.auth.Resume(l, s.now)
		}
	})
}

// crash takes an engine away without a word.
func (s *sim) crash(id ident.EndpointID) { delete(s.engines, id) }

// run plays for a time.
func (s *sim) run(d time.Duration) {
	for end := s.now.Add(d); s.now < end; s.now = s.now.Add(simStep) {
		due := slices.Clone(s.later)
		s.later = s.later[:0]
		for _, e := range due {
			if e.at <= s.now {
				e.do()
			} else {
				s.later = append(s.later, e)
			}
		}
		s.carryOut(s.auth.Step(s.now))
	}
}

func (s *sim) carryOut(e grant.Effects) {
	s.notes = append(s.notes, e.Notes...)
	for _, r := range e.Replies {
		s.answer(r.Reply)
	}
	for _, o := range e.Orders {
		s.order(o)
	}
	for _, r := range e.Reports {
		s.after(simStep+s.reportLag, func() { s.report(r) })
	}
}

// ask sends a caller's request.
func (s *sim) ask(adapter string, priority int) {
	s.askWith(grant.Ask{Ref: book.AdapterRef{Model: "base", Adapter: ident.Adapter(adapter)}, Priority: priority, Prompt: 800})
}

// askWith sends a request, of which only what it is about is given.
func (s *sim) askWith(a grant.Ask) {
	s.asked++
	s.nextID++
	a.ID, a.Request = grant.ID(fmt.Sprintf("%s/%d", s.t.Name(), s.nextID)), fmt.Sprint(s.nextID)
	a.Domain, a.Service, a.Target = "north", service, time.Second
	if a.Left == 0 {
		a.Left = 5 * time.Second
	}
	if a.Output == 0 {
		a.Output = 100
	}
	s.send(a, s.now)
}

func (s *sim) send(a grant.Ask, began ident.Time) {
	s.asks[a.ID] = a
	s.auth.Ask(a, s.now)
	s.begins[a.ID] = began
}

// answer sends a request that got a place to its engine.
func (s *sim) answer(r grant.Reply) {
	a := s.asks[r.ID]
	if r.Place == nil {
		s.refused++
		s.causes[r.Cause]++
		return
	}
	e := s.engines[r.Place.Instance.ID]
	if e == nil {
		s.after(simStep, func() { s.again(a, grant.Unreachable) })
		return
	}
	if e.entry.Instance != r.Place.Instance {
		s.after(simStep, func() { s.again(a, grant.Unreachable) })
		return
	}
	slot := e.adapters[a.Ref.Adapter]
	if a.Ref.Adapter != "" && (slot == nil || slot.readyAt > s.now || (r.Place.Version != 0 && slot.version != r.Place.Version)) {
		s.bounced++
		s.after(simStep, func() { s.again(a, grant.NotRun) })
		return
	}
	if slot != nil {
		slot.pins++
	}
	e.running++
	s.live[a.ID] = grant.RunningRequest{Ask: a, Instance: r.Place.Instance}
	first := 40*time.Millisecond + time.Duration(e.running)*5*time.Millisecond
	if s.queued {
		e.readTo = max(e.readTo, s.now).Add(time.Duration(float64(a.Prompt) / s.readRate * float64(time.Millisecond)))
		first += e.readTo.Sub(s.now)
	} else if s.readRate > 0 {
		first += time.Duration(float64(a.Prompt)/s.readRate*float64(time.Millisecond) + float64(a.Prompt)*float64(a.Prompt)/2e6*float64(s.pairTime))
	}
	if s.now.Add(first).Sub(s.begins[a.ID]) <= a.Target {
		s.onTime++
	}
	s.after(first, func() {
		if l, known := s.live[a.ID]; known {
			l.Prefilled = true
			s.live[a.ID] = l
		}
	})
	s.after(first+800*time.Millisecond, func() {
		e.running--
		if slot != nil {
			slot.pins--
		}
		s.served++
		delete(s.live, a.ID)
		s.auth.End(grant.End{ID: a.ID, Outcome: grant.Served, First: first}, s.now)
	})
}

// again asks for another place.
func (s *sim) again(a grant.Ask, o grant.Outcome) {
	s.auth.End(grant.End{ID: a.ID, Outcome: o}, s.now)
	began := s.begins[a.ID]
	s.nextID++
	a.ID = grant.ID(fmt.Sprintf("%s/%d", s.t.Name(), s.nextID))
	if o == grant.NotRun {
		a.Sends++
	}
	a.Left -= simStep
	s.send(a, began)
}

func (s *sim) order(o grant.Order) {
	e := s.engines[o.Instance.ID]
	if e == nil {
		s.after(200*time.Millisecond, func() { s.auth.ApplyOrderResult(o, grant.Unknown, s.now) })
		return
	}
	if s.rand.Float64() < s.loseOrders {
		s.after(3*time.Second, func() { s.execute(e, o) })
		s.after(200*time.Millisecond, func() { s.auth.ApplyOrderResult(o, grant.Unknown, s.now) })
		return
	}
	r := s.execute(e, o)
	s.after(simStep, func() { s.auth.ApplyOrderResult(o, r, s.now) })
}

// execute carries an order out as an engine does.
func (s *sim) execute(e *simEngine, o grant.Order) grant.Result {
	if o.Expect != e.orders {
		return grant.Conflict
	}
	e.orders++
	if slot := e.adapters[o.Ref.Adapter]; !o.Load && slot != nil && slot.pins > 0 {
		s.underUse++
		return grant.Accepted
	}
	if !o.Load {
		delete(e.adapters, o.Ref.Adapter)
		e.dropped = append(e.dropped, o.Ref.Adapter)
		e.dropped = e.dropped[max(0, len(e.dropped)-simRemembered):]
		return grant.Holds
	}
	if o.Ref.Adapter == "" {
		e.modelAt = s.now.Add(600 * time.Millisecond)
		return grant.Accepted
	}
	old := e.adapters[o.Ref.Adapter]
	if old == nil && len(e.adapters) >= simSlots {
		s.overfull++
	}
	v := o.Version
	if v == 0 {
		v = 1
	}
	load := s.load
	if slices.Contains(e.dropped, o.Ref.Adapter) {
		load /= 10
	} else if s.knee > 0 {
		load = load * time.Duration(max(s.knee, s.fetching()+1)) / time.Duration(s.knee)
	}
	e.adapters[o.Ref.Adapter] = &simSlot{version: v, readyAt: s.now.Add(load)}
	return grant.Accepted
}

// fetching returns the number of loads under way.
func (s *sim) fetching() int {
	n := 0
	for _, e := range s.engines {
		for _, slot := range e.adapters {
			if slot.readyAt > s.now {
				n++
			}
		}
	}
	return n
}

func (s *sim) report(t grant.Target) {
	e := s.engines[t.Instance.ID]
	if e == nil || s.mute {
		s.after(200*time.Millisecond, func() { s.auth.ReportFailed(t.Instance, s.now) })
		return
	}
	r := grant.Report{Orders: e.orders, Models: e.entry.Models}
	for a, slot := range e.adapters {
		r.Held = append(r.Held, grant.HeldAdapter{Ref: book.AdapterRef{Model: "base", Adapter: a}, Version: slot.version, Loading: slot.readyAt > s.now})
	}
	s.auth.ApplyReport(t.Instance, r, s.now)
}

// zipf returns an adapter with a popularity that falls as the given power of its rank.
func (s *sim) zipf(n int, power float64) string {
	total := 0.0
	for k := 1; k <= n; k++ {
		total += math.Pow(float64(k), -power)
	}
	x := s.rand.Float64() * total
	for k := 1; k <= n; k++ {
		if x -= math.Pow(float64(k), -power); x < 0 {
			return fmt.Sprintf("a%d", k)
		}
	}
	return "a1"
}

// traffic sends requests at a rate for a time.
func (s *sim) traffic(perSecond float64, d time.Duration, adapter func() string) {
	every := time.Duration(float64(time.Second) / perSecond)
	for at := time.Duration(0); at < d; at += every {
		s.after(at, func() { s.ask(adapter(), 0) })
	}
	s.run(d)
}

func (s *sim) check() {
	s.t.Helper()
	assert.Equal(s.t, s.overfull, 0, "an engine was ordered to load more adapters than it has places for")
	assert.Equal(s.t, s.underUse, 0, "an engine was ordered to drop an adapter in use")
}
