package matrix

import (
	"time"

	"shallotgap/core/lease"
	"shallotgap/fakes/vtime"
)

// Fault is a kind of fault that can be injected at a step.
type Fault string

// The faults.
const (
	Killed        Fault = "killed"         // the process is killed and restarted
	Frozen        Fault = "frozen"         // the process is suspended for freezeTime
	CutBoth       Fault = "cut-both"       // the links from and to the host are cut
	CutOut        Fault = "cut-out"        // the links from the host are cut
	CutIn         Fault = "cut-in"         // the links to the host are cut
	DiskLost      Fault = "disk-lost"      // a voter restarts with an empty disk
	EngineRestart Fault = "engine-restart" // an engine restarts without adapters
	LoadFailed    Fault = "load-failed"    // all loads fail for disturbanceTime
	LinkReset     Fault = "link-reset"     // the data links of the host are reset
	Late          Fault = "late"           // control messages are delayed
	Doubled       Fault = "doubled"        // control messages are duplicated
	OutOfOrder    Fault = "out-of-order"   // control messages are reordered and some duplicated
)

// Faults lists all faults. The order is that in which the cells run.
var Faults = []Fault{
	Killed, Frozen, CutBoth, CutOut, CutIn, DiskLost, EngineRestart, LoadFailed, LinkReset, Late, Doubled, OutOfOrder,
}

// Durations of the faults.
const (
	downTime        = 500 * time.Millisecond
	freezeTime      = 3 * time.Second // longer than a lease
	cutTime         = 3500 * time.Millisecond
	disturbanceTime = time.Second // duration of load failures and network faults
)

// Inject injects a fault at a host. A fault with a duration ends by itself.
func (b *Bench) Inject(f Fault, h *vtime.Host) {
	switch f {
	case Killed:
		b.Crash(h)
		b.After(downTime, func() { b.Start(h) })
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
		b.After(disturbanceTime, func() { b.failLoads = false })
	case LinkReset:
		b.Reset(h)
	case Late:
		b.disturbNetwork(vtime.Network{Delay: time.Millisecond, Jitter: 300 * time.Millisecond})
	case Doubled:
		b.disturbNetwork(vtime.Network{Delay: time.Millisecond, Jitter: time.Millisecond, Repeat: 0.5})
	case OutOfOrder:
		b.disturbNetwork(vtime.Network{Delay: time.Millisecond, Jitter: 30 * time.Millisecond, Repeat: 0.1})
	}
}

// freeze suspends a running host for freezeTime.
func (b *Bench) freeze(h *vtime.Host) {
	if !b.alive(h) {
		return
	}
	run := h.World
	b.frozen[h] = true
	b.Freeze(h)
	b.After(freezeTime, func() {
		if h.World == run && b.frozen[h] {
			delete(b.frozen, h)
			b.Thaw(h)
		}
	})
}

// cut cuts the links from and to a host; CutOut cuts only the links from the host, CutIn only the links to the host.
func (b *Bench) cut(h *vtime.Host, f Fault) {
	for _, other := range b.Hosts {
		if other == h {
			continue
		}
		if f != CutIn {
			b.cutDirection(direction{h.Name, other.Name})
		}
		if f != CutOut {
			b.cutDirection(direction{other.Name, h.Name})
		}
	}
	b.After(cutTime, b.healLinks)
}

func (b *Bench) cutDirection(d direction) {
	b.cuts[d] = true
	b.Cut(d.from, d.to)
}

// healLinks restores all links. Frames that a cut link held are delivered late, as after a TCP retransmission.
func (b *Bench) healLinks() {
	b.Heal()
	b.cuts = map[direction]bool{}
	for _, from := range b.Hosts {
		for _, to := range b.Hosts {
			d := direction{from.Name, to.Name}
			for _, deliverFrame := range b.heldFrames[d] {
				b.After(linkDelay, deliverFrame)
			}
			delete(b.heldFrames, d)
		}
	}
}

// loseDisk empties the disk of host h, or that of the first voter if h has no disk.
func (b *Bench) loseDisk(h *vtime.Host) {
	if h.Disk == nil {
		h = b.Hosts[0]
	}
	b.Crash(h)
	b.Wipe(h)
	b.After(downTime, func() { b.Start(h) })
}

// restartEngine restarts an engine that the host owns, or the first engine if the host owns none.
func (b *Bench) restartEngine(h *vtime.Host) {
	engine := b.endpoints[0]
	for _, e := range b.endpoints {
		if h.World == nil || e.Kind != lease.Engine {
			continue
		}
		if o, _ := h.World.State().Owners.Get(e.ID); o.Owner == h.Name {
			engine = e
		}
	}
	b.Restart(engine)
}

// disturbNetwork replaces the delays and faults of the network for disturbanceTime.
func (b *Bench) disturbNetwork(n vtime.Network) {
	normal := vtime.Network{Delay: time.Millisecond, Jitter: time.Millisecond}
	b.Network = n
	b.After(disturbanceTime, func() { b.Network = normal })
}
