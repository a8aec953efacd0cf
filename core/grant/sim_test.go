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

// sim simulates engines and callers around one authority in virtual time.
type sim struct {
	t         testing.TB
	rand      *rand.Rand
	now       ident.Time
	auth      *grant.Authority
	engines   map[ident.EndpointID]*simEngine
	scheduled []event
	layout    *layout.Layout
	loadTime  time.Duration // duration of an adapter load from the weight store

	asked, served, rejected, sentTooEarly, overfilled int // overfilled counts loads ordered to an engine without a free slot
	unloadsInUse                                      int // orders to unload an adapter that a request uses
	lateUnloadsInUse                                  int // those among them that got no answer and were carried out late; nothing can recall them
	running                                           map[grant.ID]grant.RunningRequest
	onTime                                            int                 // requests whose first event arrived within the target
	causes                                            map[grant.Cause]int // number of rejections by cause
	notes                                             []grant.Note
	nextID                                            int
	asks                                              map[grant.ID]grant.Ask
	firstSent                                         map[grant.ID]ident.Time // when the caller first sent the request
	// prefillRate is the number of prompt tokens prefilled per millisecond; 0 for no prefill time.
	prefillRate float64
	// pairTime is the additional prefill time for a million pairs of tokens.
	pairTime time.Duration
	// serialPrefill makes engines prefill one prompt after the other.
	serialPrefill bool
	// noReports makes engines give no reports; otherwise reports arrive after reportLag.
	noReports bool
	reportLag time.Duration
	// storeLoadLimit is the number of concurrent loads from the store above which each load takes longer; 0 for no limit.
	storeLoadLimit int
	// onEffects sees the effects of each step; nil for none.
	onEffects func(grant.Effects)
	// loseOrders is the share of orders that get no answer and are carried out seconds later.
	loseOrders float64
	// noHeartbeats lists the engines whose heartbeats reach no host; they go on serving.
	noHeartbeats map[ident.EndpointID]bool
	// refuseFences is the number of orders that each engine still refuses for their fencing token.
	refuseFences map[ident.EndpointID]int
	// adapterMB is the size of an adapter; overweight counts loads that an engine's memory does not hold.
	adapterMB  float64
	overweight int
	newest     book.WeightsVersion // see renewAll
	// unserved tells how often each adapter was asked for since it was last served.
	unserved map[ident.Adapter]int
}

type event struct {
	due    ident.Time
	action func()
}

type simEngine struct {
	entry            census.Entry
	orders           uint64
	adapters         map[ident.Adapter]*simSlot
	running          int
	modelReadyAt     ident.Time      // when the load of the base model completes; 0 when none was ordered
	recentlyUnloaded []ident.Adapter // adapters unloaded last, which load ten times as fast
	prefillUntil     ident.Time      // when all prompts are prefilled
}

type simSlot struct {
	version book.WeightsVersion
	readyAt ident.Time
	pins    int // running requests for the adapter
}

const (
	simTick         = 5 * time.Millisecond
	simAdapterSlots = 4
	simModelMB      = 90.0
	simRoomMB       = 100.0
	simRemembered   = 20 // fewer than the authority assumes
	service         = ident.Service("llm")
)

func newSim(t testing.TB, engines int) *sim {
	t.Helper()
	s := &sim{
		t: t, rand: rand.New(rand.NewPCG(7, 9)), now: ident.Time(time.Hour), engines: map[ident.EndpointID]*simEngine{},
		noHeartbeats: map[ident.EndpointID]bool{}, refuseFences: map[ident.EndpointID]int{}, unserved: map[ident.Adapter]int{},
		loadTime: 250 * time.Millisecond, causes: map[grant.Cause]int{}, running: map[grant.ID]grant.RunningRequest{}, asks: map[grant.ID]grant.Ask{}, firstSent: map[grant.ID]ident.Time{},
	}
	s.layout = &layout.Layout{Version: 1, Services: []layout.Service{{Name: service, Engine: &layout.Engine{
		Slots: 32, Memory: 100_000, AdapterSlots: simAdapterSlots, RoomMB: simRoomMB, LoadsPerSecond: 2,
		Models: []layout.Model{{Name: "base", Adapters: 1000, WeightsMB: simModelMB, LoadTime: 600 * time.Millisecond}},
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
	s.heartbeat(e)
	return e
}

func (s *sim) after(d time.Duration, do func()) {
	s.scheduled = append(s.scheduled, event{due: s.now.Add(d), action: do})
}

// heartbeat sends a heartbeat of an engine once a second until the engine crashes.
func (s *sim) heartbeat(e *simEngine) {
	if s.engines[e.entry.Instance.ID] != e {
		return
	}
	if s.noHeartbeats[e.entry.Instance.ID] {
		s.after(time.Second, func() { s.heartbeat(e) })
		return
	}
	e.entry.Seq++
	e.entry.LastHeartbeat = s.now
	if e.modelReadyAt != 0 && s.now >= e.modelReadyAt {
		e.entry.Models = []string{"base"}
	}
	e.entry.Held = e.held(s.now)
	s.auth.Observe(e.entry, s.now)
	s.after(time.Second, func() { s.heartbeat(e) })
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

// failover replaces the authority. The new one gets the heartbeats at once and the running requests one step later.
func (s *sim) failover() {
	s.auth = grant.New(grant.Defaults(), s.now)
	s.auth.SetLayout(s.layout)
	for _, e := range s.engines {
		s.auth.Observe(e.entry, e.entry.LastHeartbeat)
	}
	s.after(simTick, func() {
		for _, l := range s.running {
			s.auth.Resume(l, s.now)
		}
	})
}

// crash removes an engine without a message to the authority.
func (s *sim) crash(id ident.EndpointID) { delete(s.engines, id) }

// advance runs the simulation for the given duration.
func (s *sim) advance(d time.Duration) {
	for end := s.now.Add(d); s.now < end; s.now = s.now.Add(simTick) {
		pending := slices.Clone(s.scheduled)
		s.scheduled = s.scheduled[:0]
		for _, e := range pending {
			if e.due <= s.now {
				e.action()
			} else {
				s.scheduled = append(s.scheduled, e)
			}
		}
		s.applyEffects(s.auth.Step(s.now))
	}
}

func (s *sim) applyEffects(e grant.Effects) {
	if s.onEffects != nil {
		s.onEffects(e)
	}
	s.notes = append(s.notes, e.Notes...)
	for _, r := range e.Replies {
		s.handleReply(r.Reply)
	}
	for _, o := range e.Orders {
		s.handleOrder(o)
	}
	for _, r := range e.Reports {
		auth := s.auth
		s.after(simTick+s.reportLag, func() { s.toCurrent(auth, func() { s.sendReport(r) }) })
	}
}

// ask sends a request with default sizes for an adapter.
func (s *sim) ask(adapter string, priority int) {
	s.askWith(grant.Ask{Ref: book.AdapterRef{Model: "base", Adapter: ident.Adapter(adapter)}, Priority: priority, Prompt: 800})
}

// askWith sends a request and fills in its id, service, target and default limits.
func (s *sim) askWith(a grant.Ask) {
	s.asked++
	s.unserved[a.Ref.Adapter]++
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

func (s *sim) send(a grant.Ask, firstSent ident.Time) {
	s.asks[a.ID] = a
	s.auth.Ask(a, s.now)
	s.firstSent[a.ID] = firstSent
}

// handleReply sends a granted request to its engine.
func (s *sim) handleReply(r grant.Reply) {
	a := s.asks[r.ID]
	if r.Place == nil {
		s.rejected++
		s.causes[r.Cause]++
		return
	}
	e := s.engines[r.Place.Instance.ID]
	if e == nil {
		s.after(simTick, func() { s.retry(a, grant.Unreachable) })
		return
	}
	if e.entry.Instance != r.Place.Instance {
		s.after(simTick, func() { s.retry(a, grant.Unreachable) })
		return
	}
	slot := e.adapters[a.Ref.Adapter]
	if a.Ref.Adapter != "" && (slot == nil || slot.readyAt > s.now || (r.Place.Version != 0 && slot.version != r.Place.Version)) {
		s.sentTooEarly++
		s.after(simTick, func() { s.retry(a, grant.NotRun) })
		return
	}
	if slot != nil {
		slot.pins++
	}
	e.running++
	s.running[a.ID] = grant.RunningRequest{Ask: a, Instance: r.Place.Instance}
	first := 40*time.Millisecond + time.Duration(e.running)*5*time.Millisecond
	if s.serialPrefill {
		e.prefillUntil = max(e.prefillUntil, s.now).Add(time.Duration(float64(a.Prompt) / s.prefillRate * float64(time.Millisecond)))
		first += e.prefillUntil.Sub(s.now)
	} else if s.prefillRate > 0 {
		first += time.Duration(float64(a.Prompt)/s.prefillRate*float64(time.Millisecond) + float64(a.Prompt)*float64(a.Prompt)/2e6*float64(s.pairTime))
	}
	if s.now.Add(first).Sub(s.firstSent[a.ID]) <= a.Target {
		s.onTime++
	}
	s.after(first, func() {
		if l, known := s.running[a.ID]; known {
			l.Prefilled = true
			s.running[a.ID] = l
		}
	})
	s.after(first+800*time.Millisecond, func() {
		e.running--
		if slot != nil {
			slot.pins--
		}
		s.served++
		delete(s.unserved, a.Ref.Adapter)
		delete(s.running, a.ID)
		s.auth.End(grant.End{ID: a.ID, Outcome: grant.Served, First: first}, s.now)
	})
}

// retry reports the end of a failed send and asks for another place.
func (s *sim) retry(a grant.Ask, o grant.Outcome) {
	s.auth.End(grant.End{ID: a.ID, Outcome: o}, s.now)
	firstSent := s.firstSent[a.ID]
	s.nextID++
	a.ID = grant.ID(fmt.Sprintf("%s/%d", s.t.Name(), s.nextID))
	if o == grant.NotRun {
		a.Sends++
	}
	a.Left -= simTick
	s.send(a, firstSent)
}

// toCurrent runs f unless the authority was replaced meanwhile: a host drops what belongs to an earlier leadership.
func (s *sim) toCurrent(auth *grant.Authority, f func()) {
	if s.auth == auth {
		f()
	}
}

func (s *sim) handleOrder(o grant.Order) {
	auth := s.auth
	e := s.engines[o.Instance.ID]
	if e == nil {
		s.after(200*time.Millisecond, func() { s.toCurrent(auth, func() { auth.ApplyOrderResult(o, grant.Unknown, s.now) }) })
		return
	}
	if s.rand.Float64() < s.loseOrders {
		s.after(3*time.Second, func() {
			before := s.unloadsInUse
			s.execute(e, o)
			s.lateUnloadsInUse += s.unloadsInUse - before
		})
		s.after(200*time.Millisecond, func() { s.toCurrent(auth, func() { auth.ApplyOrderResult(o, grant.Unknown, s.now) }) })
		return
	}
	r := s.execute(e, o)
	s.after(simTick, func() { s.toCurrent(auth, func() { auth.ApplyOrderResult(o, r, s.now) }) })
}

// execute carries out an order as an engine would.
func (s *sim) execute(e *simEngine, o grant.Order) grant.Result {
	if s.refuseFences[e.entry.Instance.ID] > 0 {
		s.refuseFences[e.entry.Instance.ID]--
		return grant.Superseded
	}
	if o.Expect != e.orders {
		return grant.Conflict
	}
	e.orders++
	if slot := e.adapters[o.Ref.Adapter]; !o.Load && slot != nil && slot.pins > 0 {
		s.unloadsInUse++
		return grant.Accepted
	}
	if !o.Load {
		delete(e.adapters, o.Ref.Adapter)
		e.recentlyUnloaded = append(e.recentlyUnloaded, o.Ref.Adapter)
		e.recentlyUnloaded = e.recentlyUnloaded[max(0, len(e.recentlyUnloaded)-simRemembered):]
		return grant.Holds
	}
	if o.Ref.Adapter == "" {
		e.modelReadyAt = s.now.Add(600 * time.Millisecond)
		return grant.Accepted
	}
	if simModelMB+s.adapterMB*float64(len(e.adapters)+1) > simRoomMB { // an engine may keep the version that is replaced for a while
		s.overweight++
	}
	old := e.adapters[o.Ref.Adapter]
	if old == nil && len(e.adapters) >= simAdapterSlots {
		s.overfilled++
	}
	v := o.Version
	if v == 0 {
		v = 1
	}
	load := s.loadTime
	if slices.Contains(e.recentlyUnloaded, o.Ref.Adapter) {
		load /= 10
	} else if s.storeLoadLimit > 0 {
		load = load * time.Duration(max(s.storeLoadLimit, s.runningLoads()+1)) / time.Duration(s.storeLoadLimit)
	}
	e.adapters[o.Ref.Adapter] = &simSlot{version: v, readyAt: s.now.Add(load)}
	return grant.Accepted
}

// runningLoads returns the number of running loads.
func (s *sim) runningLoads() int {
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

func (s *sim) sendReport(t grant.Target) {
	e, auth := s.engines[t.Instance.ID], s.auth
	if e == nil || s.noReports {
		s.after(200*time.Millisecond, func() { s.toCurrent(auth, func() { auth.ReportFailed(t.Instance, true, s.now) }) })
		return
	}
	r := grant.Report{Orders: e.orders, Models: e.entry.Models}
	for a, slot := range e.adapters {
		r.Held = append(r.Held, grant.HeldAdapter{Ref: book.AdapterRef{Model: "base", Adapter: a}, Version: slot.version, Loading: slot.readyAt > s.now})
	}
	s.auth.ApplyReport(t.Instance, r, s.now)
}

// zipf returns a random adapter of n, with popularity proportional to rank^-power.
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

// traffic sends requests at a constant rate for the given duration.
func (s *sim) traffic(perSecond float64, d time.Duration, adapter func() string) {
	every := time.Duration(float64(time.Second) / perSecond)
	for offset := time.Duration(0); offset < d; offset += every {
		s.after(offset, func() { s.ask(adapter(), 0) })
	}
	s.advance(d)
}

func (s *sim) check() {
	s.t.Helper()
	assert.Equal(s.t, s.overfilled, 0, "an engine was ordered to load more adapters than it has slots")
	assert.Equal(s.t, s.overweight, 0, "an engine was ordered to load more than its memory holds")
	assert.Equal(s.t, s.unloadsInUse, 0, "an engine was ordered to unload an adapter in use")
}
