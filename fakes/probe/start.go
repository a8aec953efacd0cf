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

// Start measures how long a voter takes to read its folder back after 10,000 edits, with and without snapshots.
func Start(out io.Writer, folder string) error {
	const edits = 10_000
	for _, compactAfter := range []int{world.Defaults().CompactAfter, 10 * edits} {
		path := filepath.Join(folder, fmt.Sprint(compactAfter))
		if err := fill(path, compactAfter, edits); err != nil {
			return err
		}
		var open, whole []time.Duration
		var rows int
		for range 20 {
			begun := time.Now()
			a, err := newAlone(path, compactAfter)
			if err != nil {
				return err
			}
			open = append(open, time.Since(begun))
			if err := a.until(func() bool { return a.world.State().Rows.Len() == edits && a.world.Serving() }); err != nil {
				return err
			}
			whole = append(whole, time.Since(begun))
			rows = a.world.State().Rows.Len()
			if err := a.store.Close(); err != nil {
				return err
			}
		}
		_, err := fmt.Fprintf(out, "measure=start edits=%d rows=%d compact-after=%d runs=%d read-p50=%v read-max=%v all-applied-and-leading-p50=%v (processor time; the election's wait is skipped)\n",
			edits, rows, compactAfter, len(open), at(open, 0.5), at(open, 1), at(whole, 0.5))
		if err != nil {
			return err
		}
	}
	return nil
}

// alone is the decision core of a single voter over a real folder. Its clock jumps, so that nothing waits.
type alone struct {
	world *world.World
	store *disk.Store
	now   ident.Time
}

func newAlone(folder string, compactAfter int) (*alone, error) {
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
	return &alone{world: w, store: store}, err
}

// tickSpan is how far the clock jumps from tick to tick.
const tickSpan = 20 * time.Millisecond

// maxTicks bounds the ticks of until.
const maxTicks = 1000

func (a *alone) until(holds func() bool) error {
	for range maxTicks {
		if holds() {
			return nil
		}
		a.now = a.now.Add(tickSpan)
		if err := a.handle(world.Event{}); err != nil {
			return err
		}
	}
	return fmt.Errorf("the voter does not lead")
}

func (a *alone) handle(e world.Event) error {
	for _, effect := range a.world.Handle(world.Input{Now: a.now, Event: e}) {
		switch {
		case effect.Write != nil:
			if err := a.store.Write(*effect.Write); err != nil {
				return err
			}
			if effect.Write.Seq != 0 {
				if err := a.handle(world.Event{Written: &world.Written{Seq: effect.Write.Seq}}); err != nil {
					return err
				}
			}
		case effect.Compact != nil:
			data, err := wire.Marshal(effect.Compact.State)
			if err != nil {
				return err
			}
			done := world.Compacted{Index: effect.Compact.State.Applied, Data: data}
			if err := a.handle(world.Event{Compacted: &done}); err != nil {
				return err
			}
		}
	}
	return nil
}

// fill brings edits through the log of a new folder.
func fill(folder string, compactAfter, edits int) error {
	a, err := newAlone(folder, compactAfter)
	if err != nil {
		return err
	}
	if err := a.until(a.world.Serving); err != nil {
		return err
	}
	for n := range edits {
		e := sizes.Edit(n, 0)
		p := world.Proposal{Ticket: world.Ticket(n + 1), Command: state.Command{Edit: &e}}
		if err := a.handle(world.Event{Propose: &p}); err != nil {
			return err
		}
	}
	return a.store.Close()
}
