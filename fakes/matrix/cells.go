package matrix

import (
	"fmt"
	"hash/fnv"
	"time"

	"shallotgap/core/drain"
	"shallotgap/core/ident"
	"shallotgap/core/rows"
	"shallotgap/core/state"
	"shallotgap/core/world"
	"shallotgap/fakes/vtime"
)

// Cell is one cell of the matrix: faults that strike, one after the other, each time the step is reached.
type Cell struct {
	Step   Step
	Faults []Fault
}

// Pairs are the pairs of faults that the users name: a second host lost right after a repair, a host cut off while
// engines restart empty or loads fail, a process restarted while messages come doubled, a disk lost and a host killed.
var Pairs = [][]Fault{
	{DiskLost, Killed}, {CutBoth, EngineRestart}, {CutBoth, LoadFailed}, {Doubled, Killed}, {Killed, DiskLost}, {Frozen, CutIn},
}

// Cells returns all cells: every fault at every step, once and twice in a row, and the pairs at every step.
func Cells() []Cell {
	var list []Cell
	for _, s := range Steps {
		for _, f := range Faults {
			list = append(list, Cell{s, []Fault{f}}, Cell{s, []Fault{f, f}})
		}
		for _, p := range Pairs {
			list = append(list, Cell{s, p})
		}
	}
	return list
}

// String returns the cell's name.
func (c Cell) String() string {
	name := string(c.Step)
	for _, f := range c.Faults {
		name += "/" + string(f)
	}
	return name
}

// Seed returns the seed of the cell's run, which only its name decides.
func (c Cell) Seed() uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(c.String()))
	return h.Sum64()
}

// Times of a cell's run.
const (
	bootTime   = 30 * time.Second // at most
	calmTime   = time.Second      // under load before the first fault
	betweenTwo = 5 * time.Second  // from one fault to the next: the first has ended
	settleTime = 9 * time.Second
	stopEvery  = 3 * time.Second // from one planned stop to the next
	liveTime   = 2 * time.Second // at the end: all kinds of requests are served again
)

// stopSpans are the times for which planned stops stand: one ends half-way, one after it is safe.
var stopSpans = []time.Duration{4800 * time.Millisecond, 1500 * time.Millisecond}

// Report is the result of a cell.
type Report struct {
	Cell       Cell
	Seed       uint64
	Injected   int
	Answered   int
	Refused    int
	Evicted    int
	Violations []string
}

// String returns one line for a log.
func (r Report) String() string {
	return fmt.Sprintf("%s seed=%d struck=%d answered=%d refused=%d evicted=%d broken=%d", r.Cell, r.Seed, r.Injected, r.Answered, r.Refused, r.Evicted, len(r.Violations))
}

// Run runs a cell and returns what was seen.
func Run(c Cell) Report { return run(NewBench(c.Seed(), nil), c) }

func run(b *Bench, c Cell) Report {
	r := Report{Cell: c, Seed: c.Seed()}
	if !b.boot() {
		r.Violations = []string{"the deployment does not start"}
		return r
	}
	b.startCallers()
	b.edits()
	b.Fleet.Run(calmTime)
	b.arm(c, &r.Injected)
	span := time.Duration(len(c.Faults))*betweenTwo + settleTime
	b.plan(span)
	b.Fleet.Run(span)
	b.checkLive()
	r.Answered, r.Refused, r.Evicted, r.Violations = b.Check.Answered, b.Check.Refused, b.Check.Evictions, b.Check.Violations
	if r.Injected != len(c.Faults) {
		r.Violations = append(r.Violations, fmt.Sprintf("the step was reached %d times of %d", r.Injected, len(c.Faults)))
	}
	return r
}

// arm lets the cell's faults strike, each when the step is next reached.
func (b *Bench) arm(c Cell, struck *int) {
	var next time.Duration
	b.trigger = func(s Step, h *vtime.Host) {
		if s != c.Step || *struck == len(c.Faults) || b.Now < next {
			return
		}
		f := c.Faults[*struck]
		*struck++
		next = b.Now + betweenTwo
		b.After(time.Duration(b.Rand.Int64N(int64(4*time.Millisecond))), func() { b.Inject(f, h) })
	}
}

// boot waits until all hosts serve, all endpoints are owned and the first rows are in force.
func (b *Bench) boot() bool {
	owned := func() bool {
		for _, h := range b.Hosts {
			if !h.World.Serving() {
				return false
			}
			n := 0
			for _, e := range h.World.State().Owners.All() {
				if e.Owner != "" {
					n++
				}
			}
			if n < len(b.endpoints) {
				return false
			}
		}
		return true
	}
	if !b.RunUntil(bootTime, owned) {
		return false
	}
	for n := range adapters {
		m := modelOf(n)
		row := rows.Row{Workspace: "w", Adapter: m.Adapter, Version: m.Version, Weight: 1}
		e := rows.Edit{ID: ident.EditID(m.String()), Key: rows.KeyOf("w", m.Adapter), Row: &row}
		b.propose(b.Hosts[4], state.Command{Edit: &e}, func(world.Proposed) {})
	}
	return b.RunUntil(bootTime, func() bool {
		for _, h := range b.Hosts {
			if h.World.State().Rows.Len() < adapters {
				return false
			}
		}
		return true
	})
}

// plan lets one host after the other stop and come back, every second one before its drain has ended, and one engine
// and one service leave for good.
func (b *Bench) plan(span time.Duration) {
	for n := range int(span/stopEvery) - 1 {
		start := time.Duration(n)*stopEvery + 200*time.Millisecond
		name := ""
		id := ident.EditID(fmt.Sprintf("stop-%d", n))
		b.After(start, func() {
			name = string(b.owner(n))
			b.mark(drain.Mark{ID: id, Target: drain.Host, Name: name})
		})
		b.After(start+stopSpans[n%len(stopSpans)], func() {
			b.mark(drain.Mark{ID: "end-" + id, Target: drain.Host, Name: name, Withdraw: true})
		})
	}
	b.After(time.Second, func() { b.Leave(b.endpoint("ga")) })
	b.After(betweenTwo, func() { b.Leave(b.endpoint("pb")) })
}

// owner returns a host that owns an endpoint, as a living host knows it: the stop of an owner moves endpoints.
func (b *Bench) owner(n int) ident.HostID {
	for _, h := range b.Hosts {
		if !b.alive(h) || !h.World.Serving() {
			continue
		}
		for i := range b.endpoints {
			e, _ := h.World.State().Owners.Get(b.endpoints[(n+i)%len(b.endpoints)].ID)
			if e.Owner != "" {
				return e.Owner
			}
		}
	}
	return b.Hosts[n%len(b.Hosts)].Name
}

// checkLive makes sure that the deployment serves again.
func (b *Bench) checkLive() {
	before := b.Check.Answered
	b.Check.Refusals = nil
	b.Fleet.Run(liveTime)
	if n := b.Check.Answered - before; n < callers {
		b.Check.broken(Recovers, "only %d requests were answered in the last %v; refused: %v", n, liveTime, b.Check.Refusals)
	}
	b.Check.final()
}
