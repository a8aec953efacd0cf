package probe

import (
	"fmt"
	"io"
	"math/rand/v2"
	"path/filepath"
	"time"

	"shallotgap/core/ident"
	"shallotgap/core/state"
	"shallotgap/core/wire"
	"shallotgap/core/world"
	"shallotgap/fakes/sizes"
	"shallotgap/io/disk"
)

// Start measures how long a voter takes to restore its state from its data folder after 10,000 edits, with snapshots and
// with a log that was never compacted.
func Start(out io.Writer, folder string) error {
	const edits = 10_000
	for _, compactAfter := range []int{world.Defaults().CompactAfter, 10 * edits} {
		path := filepath.Join(folder, fmt.Sprint(compactAfter))
		if err := writeEdits(path, compactAfter, edits); err != nil {
			return err
		}
		var openTimes, startTimes []time.Duration
		var rows int
		for range 20 {
			start := time.Now()
			v, err := newSingleVoter(path, compactAfter)
			if err != nil {
				return err
			}
			openTimes = append(openTimes, time.Since(start))
			if err := v.tickUntil(func() bool { return v.world.State().Rows.Len() == edits && v.world.Serving() }); err != nil {
				return err
			}
			startTimes = append(startTimes, time.Since(start))
			rows = v.world.State().Rows.Len()
			if err := v.store.Close(); err != nil {
				return err
			}
		}
		_, err := fmt.Fprintf(out, "measure=start edits=%d rows=%d compact-after=%d runs=%d read-p50=%v read-max=%v all-applied-and-leading-p50=%v (processor time; the election's wait is skipped)\n",
			edits, rows, compactAfter, len(openTimes), quantile(openTimes, 0.5), quantile(openTimes, 1), quantile(startTimes, 0.5))
		if err != nil {
			return err
		}
	}
	return nil
}

// singleVoter runs the decision core of the only voter of a deployment, with a data folder on a real disk and a virtual
// clock, so that timeouts take no real time.
type singleVoter struct {
	world *world.World
	store *disk.Store
	now   ident.Time
}

func newSingleVoter(folder string, compactAfter int) (*singleVoter, error) {
	store, stored, err := disk.Open(folder)
	if err != nil {
		return nil, err
	}
	p := world.Defaults()
	p.CompactAfter = compactAfter
	w, err := world.New(world.Config{
		Self: "e0", Incarnation: 1, Peers: []world.Peer{{Host: "e0", Domain: "a", Disk: true}},
		Stored: &stored, Params: p, Rand: rand.New(rand.NewPCG(1, 1)),
	})
	return &singleVoter{world: w, store: store}, err
}

// tickInterval is the virtual time between two ticks.
const tickInterval = 20 * time.Millisecond

// maxTicks is the number of ticks after which tickUntil returns an error.
const maxTicks = 1000

// tickUntil advances the clock tick by tick until the condition holds.
func (v *singleVoter) tickUntil(holds func() bool) error {
	for range maxTicks {
		if holds() {
			return nil
		}
		v.now = v.now.Add(tickInterval)
		if err := v.handle(world.Event{}); err != nil {
			return err
		}
	}
	return fmt.Errorf("the voter did not reach the expected state within the limit of ticks")
}

// handle passes an event to the decision core and carries out its writes and compactions at once.
func (v *singleVoter) handle(e world.Event) error {
	for _, effect := range v.world.Handle(world.Input{Now: v.now, Event: e}) {
		switch {
		case effect.Write != nil:
			if err := v.store.Write(*effect.Write); err != nil {
				return err
			}
			if effect.Write.Seq != 0 {
				if err := v.handle(world.Event{Written: &world.Written{Seq: effect.Write.Seq}}); err != nil {
					return err
				}
			}
		case effect.Compact != nil:
			data, err := wire.Marshal(effect.Compact.State)
			if err != nil {
				return err
			}
			done := world.Compacted{Index: effect.Compact.State.Applied, Data: data}
			if err := v.handle(world.Event{Compacted: &done}); err != nil {
				return err
			}
		}
	}
	return nil
}

// writeEdits creates a data folder with a log of the given number of edits.
func writeEdits(folder string, compactAfter, edits int) error {
	v, err := newSingleVoter(folder, compactAfter)
	if err != nil {
		return err
	}
	if err := v.tickUntil(v.world.Serving); err != nil {
		return err
	}
	for n := range edits {
		e := sizes.Edit(n, 0)
		p := world.Proposal{Ticket: world.Ticket(n + 1), Command: state.Command{Edit: &e}}
		if err := v.handle(world.Event{Propose: &p}); err != nil {
			return err
		}
	}
	return v.store.Close()
}
