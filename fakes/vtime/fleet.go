// Package vtime simulates a whole deployment in virtual time. It runs the real decision cores over a network that
// drops, duplicates and reorders messages, disks that lose unsynced writes, and hosts that crash or freeze. Runs with
// the same seed are identical.
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

// tickInterval is the time between two clock ticks of a host.
const tickInterval = 20 * time.Millisecond

// Network holds the delay and the faults of the links between hosts.
type Network struct {
	Delay time.Duration // minimum one-way delay
	// Jitter is the upper bound of a random delay that is added to Delay, so that messages are reordered.
	Jitter time.Duration
	// Loss and Repeat are the probabilities that a message is dropped or delivered twice.
	Loss, Repeat float64
}

// Config is the configuration of a fleet. The first Disks hosts have a disk. Domains is the number of
// failure domains, which the hosts join in turn.
type Config struct {
	Hosts, Disks, Domains int
	Params                world.Params
	Network               Network
	MaxSyncDelay          time.Duration // upper bound of the time until a write is durable
	Seed                  uint64
	// Record is called at each start of a host and returns the recorder of the host's inputs, or nil to record
	// nothing. A nil Record disables recording.
	Record func(h *Host, header world.TraceHeader) Recorder
}

// Recorder is called with each input of a host, from its start until it stops, and with the resulting effects.
type Recorder func(in world.Input, effects []world.Effect)

// Host is a simulated host.
type Host struct {
	Name      ident.HostID
	World     *world.World // nil while the host is down
	Disk      *Disk        // nil for a host without a data folder
	number    int
	starts    int     // number of times that the host was started
	clockRate float64 // speed of the host's clock relative to true time
	// pending holds the events that arrived while the host was frozen.
	pending    []world.Event
	frozen     bool
	record     Recorder
	lastTicket world.Ticket
}

// Fleet is a deployment that runs in virtual time.
type Fleet struct {
	Config
	Hosts []*Host
	Now   time.Duration // virtual time since the start of the run
	Rand  *rand.Rand
	// OnEffects is called after each event of a host with the resulting effects.
	OnEffects func(h *Host, effects []world.Effect)
	// Sent is the number of messages that hosts have sent, including dropped ones.
	Sent  int
	cuts  map[[2]ident.HostID]bool
	queue schedule
	seq   uint64
}

// New returns a fleet whose hosts are started at time 0.
func New(c Config) *Fleet {
	f := &Fleet{Config: c, Rand: rand.New(rand.NewPCG(c.Seed, 1)), cuts: map[[2]ident.HostID]bool{}}
	for n := range c.Hosts {
		h := &Host{number: n + 1, Name: ident.HostID(fmt.Sprintf("e%d", n+1)), clockRate: 1 + (f.Rand.Float64()-0.5)/25}
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

// peers returns the list of all hosts, with which each host is configured.
func (f *Fleet) peers() []world.Peer {
	var list []world.Peer
	for n, h := range f.Hosts {
		list = append(list, world.Peer{Host: h.Name, Domain: ident.DomainID(rune('a' + n%f.Domains)), Disk: h.Disk != nil})
	}
	return list
}

// Start starts a host that is down, from the contents of its disk. On a running host it has no effect.
func (f *Fleet) Start(h *Host) {
	if h.World != nil {
		return
	}
	h.starts++
	h.pending, h.frozen = nil, false
	c := world.Config{
		Self: h.Name, Incarnation: ident.Incarnation(f.Now) + 1, Peers: f.peers(), Params: f.Params,
		Now: h.clock(f.Now),
	}
	seeds := [2]uint64{f.Seed, uint64(h.number*1000 + h.starts)}
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
	f.tick(h, h.starts)
}

// clock converts true time to the reading of the host's own clock, whose origin and rate differ from those of true time.
func (h *Host) clock(now time.Duration) ident.Time {
	return ident.Time(float64(now) * h.clockRate).Add(time.Duration(h.number) * time.Hour)
}

// tick sends clock ticks to a host at regular intervals until it stops.
func (f *Fleet) tick(h *Host, starts int) {
	if h.World == nil || h.starts != starts {
		return
	}
	if !h.frozen {
		f.Handle(h, world.Event{})
	}
	f.After(tickInterval, func() { f.tick(h, starts) })
}

// Crash stops a host abruptly. A random number of its queued writes become durable; the rest are lost.
func (f *Fleet) Crash(h *Host) {
	if h.World == nil {
		return
	}
	h.World = nil
	if h.Disk != nil {
		h.Disk.crash(f.Rand)
	}
}

// Wipe crashes a host and replaces its disk with an empty one.
func (f *Fleet) Wipe(h *Host) {
	f.Crash(h)
	h.Disk = f.newDisk(h, h.starts)
}

// Freeze suspends a host, as SIGSTOP does; its events are queued until Thaw.
func (f *Fleet) Freeze(h *Host) { h.frozen = true }

// Thaw resumes a frozen host and delivers the queued events.
func (f *Fleet) Thaw(h *Host) {
	h.frozen = false
	queued := h.pending
	h.pending = nil
	for _, e := range queued {
		f.Handle(h, e)
	}
}

// Cut drops all messages from one host to another, in this direction only.
func (f *Fleet) Cut(from, to ident.HostID) { f.cuts[[2]ident.HostID{from, to}] = true }

// Heal restores all links that were cut.
func (f *Fleet) Heal() { f.cuts = map[[2]ident.HostID]bool{} }

// Propose submits an operator's command to a host and returns the ticket that the result will carry.
func (f *Fleet) Propose(h *Host, p world.Proposal) world.Ticket {
	h.lastTicket++
	p.Ticket = h.lastTicket
	f.Handle(h, world.Event{Propose: &p})
	return p.Ticket
}

// Handle passes an event to a host and applies the effects. Events for a host that is down are dropped.
func (f *Fleet) Handle(h *Host, e world.Event) {
	if h.World == nil {
		return
	}
	if h.frozen {
		h.pending = append(h.pending, e)
		return
	}
	in := world.Input{Now: h.clock(f.Now), Wall: int64(f.Now / time.Second), Event: e}
	effects := h.World.Handle(in)
	if h.record != nil {
		h.record(in, effects)
	}
	for _, effect := range effects {
		f.applyEffect(h, effect)
	}
	if f.OnEffects != nil {
		f.OnEffects(h, effects)
	}
}

// applyEffect applies the effects that this package simulates: messages, writes and compactions.
func (f *Fleet) applyEffect(h *Host, e world.Effect) {
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

// post passes an event to a host after a delay, unless the host restarts meanwhile.
func (f *Fleet) post(h *Host, delay time.Duration, e world.Event) {
	starts := h.starts
	f.After(delay, func() {
		if h.starts == starts {
			f.Handle(h, e)
		}
	})
}

// send delivers a message after a random delay, or drops or duplicates it.
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

// After schedules a call after a delay in virtual time.
func (f *Fleet) After(delay time.Duration, call func()) {
	f.seq++
	heap.Push(&f.queue, scheduledCall{due: f.Now + delay, seq: f.seq, call: call})
}

// Run advances virtual time by span and makes the calls that are due in it.
func (f *Fleet) Run(span time.Duration) {
	end := f.Now + span
	for len(f.queue) > 0 && f.queue[0].due <= end {
		next := heap.Pop(&f.queue).(scheduledCall)
		f.Now = next.due
		next.call()
	}
	f.Now = end
}

// RunUntil advances virtual time until a condition holds, by at most limit, and reports whether the condition holds.
func (f *Fleet) RunUntil(limit time.Duration, holds func() bool) bool {
	for end := f.Now + limit; f.Now < end && !holds(); {
		f.Run(tickInterval / 4)
	}
	return holds()
}

// scheduledCall is a function with the virtual time at which it is called. Calls that are due at the same time are made in
// the order in which they were scheduled, which is the order of seq.
type scheduledCall struct {
	due  time.Duration
	seq  uint64
	call func()
}

// schedule is a heap of calls, ordered by due time and then by seq.
type schedule []scheduledCall

func (s schedule) Len() int { return len(s) }
func (s schedule) Less(i, j int) bool {
	return s[i].due < s[j].due || (s[i].due == s[j].due && s[i].seq < s[j].seq)
}
func (s schedule) Swap(i, j int) { s[i], s[j] = s[j], s[i] }

// Push appends a call; it implements heap.Interface.
func (s *schedule) Push(x any) { *s = append(*s, x.(scheduledCall)) }

// Pop removes and returns the last call; it implements heap.Interface.
func (s *schedule) Pop() any {
	old := *s
	x := old[len(old)-1]
	*s = old[:len(old)-1]
	return x
}

// Clock returns the current reading of a host's clock.
func (f *Fleet) Clock(h *Host) ident.Time { return h.clock(f.Now) }
