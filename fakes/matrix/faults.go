package matrix

import (
	"time"

	"shallotgap/core/lease"
	"shallotgap/fakes/vtime"
)

// Fault is what strikes at a step.
type Fault string

// The faults.
const (
	Killed        Fault = "killed"
	Frozen        Fault = "frozen"
	CutBoth       Fault = "cut-both"
	CutOut        Fault = "cut-out"
	CutIn         Fault = "cut-in"
	DiskLost      Fault = "disk-lost"
	EngineRestart Fault = "engine-restart"
	LoadFailed    Fault = "load-failed"
	LinkReset     Fault = "link-reset"
	Late          Fault = "late"
	Doubled       Fault = "doubled"
	OutOfOrder    Fault = "out-of-order"
)

// Faults are all faults, in order.
var Faults = []Fault{
	Killed, Frozen, CutBoth, CutOut, CutIn, DiskLost, EngineRestart, LoadFailed, LinkReset, Late, Doubled, OutOfOrder,
}

// Times of the faults.
const (
	downFor    = 500 * time.Millisecond
	frozenFor  = 3 * time.Second // longer than a lease
	cutFor     = 3500 * time.Millisecond
	trafficFor = time.Second
)

// Inject lets a fault happen at a host; it ends by itself.
func (b *Bench) Inject(f Fault, h *vtime.Host) {
	switch f {
	case Killed:
		b.Crash(h)
		b.After(downFor, func() { b.Start(h) })
	case Frozen:
		b.freeze(h)
	case CutBoth, CutOut, CutIn:
		b.cut(h, f)
	case DiskLost:
		b.loseDisk(h)
	case EngineRestart:
		b.restartEngine(h)
	case LoadFailed:
		b.failLoads = true
		b.After(trafficFor, func() { b.failLoads = false })
	case LinkReset:
		b.Reset(h)
	case Late:
		b.disturb(vtime.Network{Delay: time.Millisecond, Jitter: 300 * time.Millisecond})
	case Doubled:
		b.disturb(vtime.Network{Delay: time.Millisecond, Jitter: time.Millisecond, Repeat: 0.5})
	case OutOfOrder:
		b.disturb(vtime.Network{Delay: time.Millisecond, Jitter: 30 * time.Millisecond, Repeat: 0.1})
	}
}

func (b *Bench) freeze(h *vtime.Host) {
	if !b.alive(h) {
		return
	}
	run := h.World
	b.frozen[h] = true
	b.Freeze(h)
	b.After(frozenFor, func() {
		if h.World == run && b.frozen[h] {
			delete(b.frozen, h)
			b.Thaw(h)
		}
	})
}

func (b *Bench) cut(h *vtime.Host, f Fault) {
	for _, other := range b.Hosts {
		if other == h {
			continue
		}
		if f != CutIn {
			b.cutWay(way{h.Name, other.Name})
		}
		if f != CutOut {
			b.cutWay(way{other.Name, h.Name})
		}
	}
	b.After(cutFor, b.mend)
}

func (b *Bench) cutWay(w way) {
	b.cuts[w] = true
	b.Cut(w.from, w.to)
}

// mend heals all links; the data that was held up comes through late, as over TCP.
func (b *Bench) mend() {
	b.Heal()
	b.cuts = map[way]bool{}
	for _, from := range b.Hosts {
		for _, to := range b.Hosts {
			w := way{from.Name, to.Name}
			for _, step := range b.held[w] {
				b.After(linkDelay, step)
			}
			delete(b.held, w)
		}
	}
}

// loseDisk empties the disk of the host, or of a voter when it has none.
func (b *Bench) loseDisk(h *vtime.Host) {
	if h.Disk == nil {
		h = b.Hosts[0]
	}
	b.Crash(h)
	b.Wipe(h)
	b.After(downFor, func() { b.Start(h) })
}

// restartEngine restarts an engine that the host owns, or else any.
func (b *Bench) restartEngine(h *vtime.Host) {
	found := b.endpoints[0]
	for _, e := range b.endpoints {
		if h.World == nil || e.Kind != lease.Engine {
			continue
		}
		if o, _ := h.World.State().Owners.Get(e.ID); o.Owner == h.Name {
			found = e
		}
	}
	b.Restart(found)
}

func (b *Bench) disturb(n vtime.Network) {
	calm := vtime.Network{Delay: time.Millisecond, Jitter: time.Millisecond}
	b.Network = n
	b.After(trafficFor, func() { b.Network = calm })
}
