// Package vtime runs the decision cores of a whole deployment in virtual time: a network that loses, repeats and
// reorders, disks that forget what was not synced, hosts that crash and freeze. One seed gives one run.
package vtime

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"shallotgap/core/ident"
	"shallotgap/core/wire"
	"shallotgap/core/world"
)

// tickEvery is the interval between ticks of a host.
const tickEvery = 20 * time.Millisecond

// Network is how links treat messages.
type Network struct {
	Delay time.Duration // shortest one-way delay
	// Jitter is added at random, so that messages overtake each other.
	Jitter time.Duration
	// Loss and Repeat are the probabilities that a message is lost or arrives twice.
	Loss, Repeat float64
}

// Config is what a fleet is made from.
type Config struct {
	Hosts, Disks, Domains int
	Params                world.Params
	Network               Network
	MaxSyncDelay          time.Duration // longest time until a write is durable
	Seed                  uint64
	// Record is asked at each start of a host for a recorder of its inputs; nil records nothing.
	Record func(h *Host, header world.TraceHeader) Recorder
}

// Recorder takes every input of one run of a host with its effects.
type Recorder func(in world.Input, effects []world.Effect)

// Host is one host of the fleet.
type Host struct {
	Name   ident.HostID
	World  *world.World // nil while the host is down
	Disk   *Disk        // nil for a host without a data folder
	number int
	run    int
	rate   float64 // speed of the host's clock
	// frozen holds what arrived while the host stood still.
	frozen  []world.Event
	stopped bool
	record  Recorder
	tickets world.Ticket
}

// Fleet is a deployment in virtual time.
type Fleet struct {
	Config
	Hosts []*Host
	Now   time.Duration
	Rand  *rand.Rand
	// OnEffects is called after each event of a host with its effects.
	OnEffects func(h *Host, effects []world.Effect)
	// Sent counts the messages between hosts.
	Sent  int
	cuts  map[[2]ident.HostID]bool
	queue schedule
	seq   uint64
}

// New returns a fleet whose hosts have started at time 0.
func New(c Config) *Fleet {
	f := &Fleet{Config: c, Rand: rand.New(rand.NewPCG(c.Seed, 1)), cuts: map[[2]ident.HostID]bool{}}
	for n := range c.Hosts {
		h := &Host{number: n + 1, Name: ident.HostID(fmt.Sprintf("e%d", n+1)), rate: 1 + (f.Rand.Float64()-0.5)/25}
		if n < c.Disks {
			h.Disk = f.newDisk(h, 0)
		}
		f.Hosts = append(f.Hosts, h)
	}
	for _, h := range f.Hosts {
		f.Start(h)
	}
	return f
}

func (f *Fleet) peers() []world.Peer {
	var list []world.Peer
	for n, h := range f.Hosts {
		list = append(list, world.Peer{Host: h.Name, Domain: ident.DomainID(rune('a' + n%f.Domains)), Disk: h.Disk != nil})
	}
	return list
}

// Start starts a host that is down.
func (f *Fleet) Start(h *Host) {
	if h.World != nil {
		return
	}
	h.run++
	h.frozen, h.stopped = nil, false
	c := world.Config{
		Self: h.Name, Incarnation: ident.Incarnation(f.Now) + 1, Peers: f.peers(), Params: f.Params,
		Now: h.clock(f.Now),
	}
	seeds := [2]uint64{f.Seed, uint64(h.number*1000 + h.run)}
	c.Rand = rand.New(rand.NewPCG(seeds[0], seeds[1]))
	if h.Disk != nil {
		c.Stored = h.Disk.Stored()
	}
	if f.Record != nil {
		h.record = f.Record(h, world.NewTraceHeader(c, seeds))
	}
	w, err := world.New(c)
	if err != nil {
		panic(err)
	}
	h.World = w
	f.tick(h, h.run)
}

// clock returns the host's own reading: another zero and another rate than the true time.
func (h *Host) clock(now time.Duration) ident.Time {
	return ident.Time(float64(now) * h.rate).Add(time.Duration(h.number) * time.Hour)
}

func (f *Fleet) tick(h *Host, run int) {
	if h.World == nil || h.run != run {
		return
	}
	if !h.stopped {
		f.Handle(h, world.Event{})
	}
	f.After(tickEvery, func() { f.tick(h, run) })
}

// Crash stops a host at once. Of the writes under way a random number became durable.
func (f *Fleet) Crash(h *Host) {
	if h.World == nil {
		return
	}
	h.World = nil
	if h.Disk != nil {
		h.Disk.crash(f.Rand)
	}
}

// Wipe crashes a host and empties its disk.
func (f *Fleet) Wipe(h *Host) {
	f.Crash(h)
	h.Disk = f.newDisk(h, h.run)
}

// Freeze stops a host without its noticing; what arrives waits for it.
func (f *Fleet) Freeze(h *Host) { h.stopped = true }

// Thaw lets a frozen host go on with what has arrived.
func (f *Fleet) Thaw(h *Host) {
	h.stopped = false
	waiting := h.frozen
	h.frozen = nil
	for _, e := range waiting {
		f.Handle(h, e)
	}
}

// Cut breaks the link from one host to another.
func (f *Fleet) Cut(from, to ident.HostID) { f.cuts[[2]ident.HostID{from, to}] = true }

// Heal mends all links.
func (f *Fleet) Heal() { f.cuts = map[[2]ident.HostID]bool{} }

// Propose hands an operator's command to a host and returns the ticket of its answer.
func (f *Fleet) Propose(h *Host, p world.Proposal) world.Ticket {
	h.tickets++
	p.Ticket = h.tickets
	f.Handle(h, world.Event{Propose: &p})
	return p.Ticket
}

// Handle passes an event to a host and carries out the effects.
func (f *Fleet) Handle(h *Host, e world.Event) {
	if h.World == nil {
		return
	}
	if h.stopped {
		h.frozen = append(h.frozen, e)
		return
	}
	in := world.Input{Now: h.clock(f.Now), Wall: int64(f.Now / time.Second), Event: e}
	effects := h.World.Handle(in)
	if h.record != nil {
		h.record(in, effects)
	}
	for _, effect := range effects {
		f.carryOut(h, effect)
	}
	if f.OnEffects != nil {
		f.OnEffects(h, effects)
	}
}

func (f *Fleet) carryOut(h *Host, e world.Effect) {
	switch {
	case e.Send != nil:
		f.send(h, *e.Send)
	case e.Write != nil:
		f.write(h, *e.Write)
	case e.Compact != nil:
		data, err := wire.Marshal(e.Compact.State)
		if err != nil {
			panic(err)
		}
		done := world.Compacted{Index: e.Compact.State.Applied, Data: data}
		f.post(h, 0, world.Event{Compacted: &done})
	}
}

// post hands an event to the present run of a host after a delay.
func (f *Fleet) post(h *Host, after time.Duration, e world.Event) {
	run := h.run
	f.After(after, func() {
		if h.run == run {
			f.Handle(h, e)
		}
	})
}

func (f *Fleet) send(from *Host, out world.Outbound) {
	f.Sent++
	if f.cuts[[2]ident.HostID{from.Name, out.To}] {
		return
	}
	copies := 1
	if f.Rand.Float64() < f.Network.Loss {
		copies = 0
	}
	if f.Rand.Float64() < f.Network.Repeat {
		copies++
	}
	for range copies {
		f.After(f.delay(), func() { f.deliver(from.Name, out) })
	}
}

func (f *Fleet) delay() time.Duration {
	if f.Network.Jitter == 0 {
		return f.Network.Delay
	}
	return f.Network.Delay + time.Duration(f.Rand.Int64N(int64(f.Network.Jitter)))
}

func (f *Fleet) deliver(from ident.HostID, out world.Outbound) {
	for _, h := range f.Hosts {
		if h.Name == out.To {
			f.Handle(h, world.Event{Message: &world.Inbound{From: from, Message: out.Message}})
		}
	}
}

// After runs a step after a delay.
func (f *Fleet) After(after time.Duration, step func()) {
	f.seq++
	heap.Push(&f.queue, due{at: f.Now + after, seq: f.seq, step: step})
}

// Run goes on until the given time after now.
func (f *Fleet) Run(span time.Duration) {
	end := f.Now + span
	for len(f.queue) > 0 && f.queue[0].at <= end {
		next := heap.Pop(&f.queue).(due)
		f.Now = next.at
		next.step()
	}
	f.Now = end
}

// RunUntil goes on until a condition holds, for at most limit, and reports whether it held.
func (f *Fleet) RunUntil(limit time.Duration, holds func() bool) bool {
	for end := f.Now + limit; f.Now < end && !holds(); {
		f.Run(tickEvery / 4)
	}
	return holds()
}

// due is a step that waits for its time.
type due struct {
	at   time.Duration
	seq  uint64
	step func()
}

// schedule is a heap of steps by time and order of entry.
type schedule []due

func (s schedule) Len() int { return len(s) }
func (s schedule) Less(i, j int) bool {
	return s[i].at < s[j].at || (s[i].at == s[j].at && s[i].seq < s[j].seq)
}
func (s schedule) Swap(i, j int) { s[i], s[j] = s[j], s[i] }

// Push adds a step for container/heap.
func (s *schedule) Push(x any) { *s = append(*s, x.(due)) }

// Pop removes the last step for container/heap.
func (s *schedule) Pop() any {
	old := *s
	x := old[len(old)-1]
	*s = old[:len(old)-1]
	return x
}

// Clock returns the present reading of a host's clock.
func (f *Fleet) Clock(h *Host) ident.Time { return h.clock(f.Now) }
