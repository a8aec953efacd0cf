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

// Cell is one test case of the matrix: faults that are injected one after another, one each time the step is reached.
type Cell struct {
	Step   Step
	Faults []Fault
}

// Pairs are the combinations of faults that the requirements name: a second host is lost right after a repair, a host is
// cut off while an engine restarts or loads fail, a process restarts while messages are duplicated, a disk is lost and a
// host is killed.
var Pairs = [][]Fault{
	{DiskLost, Killed}, {CutBoth, EngineRestart}, {CutBoth, LoadFailed}, {Doubled, Killed}, {Killed, DiskLost}, {Frozen, CutIn},
}

// Cells returns all cells: at every step, each fault once, each fault twice in a row, and each pair of faults.
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

// Seed returns the random seed of the cell's run, a hash of the cell's name.
func (c Cell) Seed() uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(c.String()))
	return h.Sum64()
}

// Durations of a cell's run.
const (
	bootLimit     = 30 * time.Second // longest start of the deployment
	warmupTime    = time.Second      // time under load before the first fault
	faultInterval = 5 * time.Second  // from one fault to the next; longer than any fault lasts
	settleTime    = 9 * time.Second  // rest of the run after the interval of the last fault
	stopInterval  = 3 * time.Second  // between the starts of planned stops
	recoveryTime  = 2 * time.Second  // at the end of a run, to check that requests are served again
)

// stopDurations are the times until planned stops are withdrawn: the longer one ends after the stop is safe, the
// shorter one during the drain.
var stopDurations = []time.Duration{4800 * time.Millisecond, 1500 * time.Millisecond}

// Report is the result of a cell's run.
type Report struct {
	Cell       Cell
	Seed       uint64
	Injected   int      // number of injected faults
	Answered   int      // number of answered requests
	Refused    int      // number of rejected requests
	Evicted    int      // number of evicted adapters
	Violations []string // descriptions of the invariants that did not hold
}

// String returns the report as one log line.
func (r Report) String() string {
	return fmt.Sprintf("%s seed=%d struck=%d answered=%d refused=%d evicted=%d broken=%d", r.Cell, r.Seed, r.Injected, r.Answered, r.Refused, r.Evicted, len(r.Violations))
}

// Run runs a cell and returns its report.
func Run(c Cell) Report { return run(NewBench(c.Seed(), nil), c) }

func run(b *Bench, c Cell) Report {
	r := Report{Cell: c, Seed: c.Seed()}
	if !b.boot() {
		r.Violations = []string{"the deployment did not start"}
		return r
	}
	b.startCallers()
	b.startEdits()
	b.Fleet.Run(warmupTime)
	b.arm(c, &r.Injected)
	span := time.Duration(len(c.Faults))*faultInterval + settleTime
	b.scheduleStops(span)
	b.Fleet.Run(span)
	b.checkRecovery()
	r.Answered, r.Refused, r.Evicted, r.Violations = b.Check.Answered, b.Check.Refused, b.Check.Evictions, b.Check.Violations
	if r.Injected != len(c.Faults) {
		r.Violations = append(r.Violations, fmt.Sprintf("the step was reached %d times instead of %d", r.Injected, len(c.Faults)))
	}
	return r
}

// arm injects the cell's faults, each the next time that the step is reached.
func (b *Bench) arm(c Cell, injected *int) {
	var next time.Duration
	b.trigger = func(s Step, h *vtime.Host) {
		if s != c.Step || *injected == len(c.Faults) || b.Now < next {
			return
		}
		f := c.Faults[*injected]
		*injected++
		next = b.Now + faultInterval
		b.After(time.Duration(b.Rand.Int64N(int64(4*time.Millisecond))), func() { b.Inject(f, h) })
	}
}

// boot waits until all hosts serve, all endpoints have an owner and the initial rows are in force on all hosts. It
// reports whether that happened in time.
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
	if !b.RunUntil(bootLimit, owned) {
		return false
	}
	for n := range adapters {
		m := modelOf(n)
		row := rows.Row{Workspace: "w", Adapter: m.Adapter, Version: m.Version, Weight: 1}
		e := rows.Edit{ID: ident.EditID(m.String()), Key: rows.KeyOf("w", m.Adapter), Row: &row}
		b.propose(b.Hosts[4], state.Command{Edit: &e}, func(world.Proposed) {})
	}
	return b.RunUntil(bootLimit, func() bool {
		for _, h := range b.Hosts {
			if h.World.State().Rows.Len() < adapters {
				return false
			}
		}
		return true
	})
}

// scheduleStops schedules planned stops of one host after another, and the shutdown of one engine and one service. Each
// stop is withdrawn later, every second one before its drain has ended.
func (b *Bench) scheduleStops(span time.Duration) {
	for n := range int(span/stopInterval) - 1 {
		start := time.Duration(n)*stopInterval + 200*time.Millisecond
		name := ""
		id := ident.EditID(fmt.Sprintf("stop-%d", n))
		b.After(start, func() {
			name = string(b.anyOwner(n))
			b.proposeMark(drain.Mark{ID: id, Target: drain.Host, Name: name})
		})
		b.After(start+stopDurations[n%len(stopDurations)], func() {
			b.proposeMark(drain.Mark{ID: "end-" + id, Target: drain.Host, Name: name, Withdraw: true})
		})
	}
	b.After(time.Second, func() { b.Leave(b.endpoint("ga")) })
	b.After(faultInterval, func() { b.Leave(b.endpoint("pb")) })
}

// anyOwner returns a host that owns an endpoint, so that a stop of that host has endpoints to move. n selects the
// endpoint with which the search begins.
func (b *Bench) anyOwner(n int) ident.HostID {
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

// checkRecovery checks that the deployment serves again after the faults: it must answer at least as many requests as there
// are callers within recoveryTime. It also checks the rows.
func (b *Bench) checkRecovery() {
	before := b.Check.Answered
	b.Check.Refusals = nil
	b.Fleet.Run(recoveryTime)
	if n := b.Check.Answered - before; n < callers {
		b.Check.violation(Recovers, "only %d requests were answered in the last %v; rejected: %v", n, recoveryTime, b.Check.Refusals)
	}
	b.Check.checkRows()
}
