package world_test

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"shallotgap/core/ident"
	"shallotgap/core/quorum"
	"shallotgap/core/rows"
	"shallotgap/core/state"
	"shallotgap/core/world"
	"shallotgap/fakes/vtime"
)

// inForce is the users' bound on the time from the acceptance of an edit until no host serves without it.
const inForce = 3 * time.Second

func init() {
	must := func(err error) {
		if err != nil {
			panic(err)
		}
	}
	must(flag.Set("rapid.seed", "20261203"))
	must(flag.Set("rapid.checks", "100"))
	must(flag.Set("rapid.nofailfile", "true"))
}

// watch holds what must be true of a fleet at all times.
type watch struct {
	*vtime.Fleet
	fail     func(format string, args ...any)
	leaders  map[ident.Term]ident.HostID
	tables   map[ident.Index]string
	applied  map[*world.World]ident.Index
	accepted []acceptedEdit
	edits    int
	last     rows.Edit
}

type acceptedEdit struct {
	at    time.Duration
	index ident.Index
}

func newWatch(f *vtime.Fleet, fail func(string, ...any)) *watch {
	w := &watch{Fleet: f, fail: fail, leaders: map[ident.Term]ident.HostID{}, tables: map[ident.Index]string{}, applied: map[*world.World]ident.Index{}}
	f.Seen = w.see
	return w
}

func (w *watch) see(h *vtime.Host, effects []world.Effect) {
	for _, e := range effects {
		if e.Send != nil {
			w.seeMessage(h, e.Send.Message)
		}
		if e.Write != nil {
			for _, out := range e.Write.SendAfter {
				w.seeMessage(h, out.Message)
			}
		}
		if e.Proposed != nil && e.Proposed.Result.Edit != nil && e.Proposed.Result.Edit.Verdict == rows.Accepted {
			w.accepted = append(w.accepted, acceptedEdit{at: w.Now, index: e.Proposed.Result.Edit.Index})
		}
	}
	w.seeState(h)
	w.seeOwners(h)
}

func (w *watch) seeMessage(h *vtime.Host, m world.Message) {
	if m.Quorum == nil || (m.Quorum.Kind != quorum.Append && m.Quorum.Kind != quorum.Install) {
		return
	}
	if other := w.leaders[m.Quorum.Term]; other != "" && other != h.Name {
		w.fail("%v: term %d has two leaders, %s and %s", w.Now, m.Quorum.Term, other, h.Name)
	}
	w.leaders[m.Quorum.Term] = h.Name
}

func (w *watch) seeState(h *vtime.Host) {
	s := h.World.State()
	last := w.applied[h.World]
	if s.Applied < last {
		w.fail("%v: host %s went back from index %d to %d", w.Now, h.Name, last, s.Applied)
	}
	w.applied[h.World] = s.Applied
	if s.Applied != last {
		table := fmt.Sprint(s.Rows.List(), s.Owners.List())
		if other, ok := w.tables[s.Applied]; ok && other != table {
			w.fail("%v: host %s differs at index %d:\n%s\n%s", w.Now, h.Name, s.Applied, table, other)
		}
		w.tables[s.Applied] = table
	}
	for n := len(w.accepted) - 1; n >= 0 && h.World.Serving(); n-- {
		if a := w.accepted[n]; w.Now-a.at > inForce && s.Applied < a.index {
			w.fail("%v: host %s serves at index %d without the edit %d accepted at %v", w.Now, h.Name, s.Applied, a.index, a.at)
		}
	}
}

// seeOwners compares all hosts that may act on an endpoint at this moment.
func (w *watch) seeOwners(h *vtime.Host) {
	if !w.servesAt(h) {
		return
	}
	for _, e := range h.World.State().Owners.List() {
		if e.Owner != h.Name {
			continue
		}
		for _, other := range w.Hosts {
			if other == h || other.World == nil || !w.servesAt(other) {
				continue
			}
			if o, _ := other.World.State().Owners.Get(e.ID); o.Owner == other.Name {
				w.fail("%v: endpoint %s has two serving owners, %s and %s", w.Now, e.ID, h.Name, other.Name)
			}
		}
	}
}

// servesAt asks with the host's clock of this moment, not of its last event.
func (w *watch) servesAt(h *vtime.Host) bool { return h.World.ServingAt(w.Clock(h)) }

func (w *watch) edit(h *vtime.Host) {
	w.edits++
	key := rows.KeyOf("w", ident.Adapter(rune('a'+w.edits%5)))
	row := rows.Row{Workspace: "w", Adapter: ident.Adapter(rune('a' + w.edits%5)), Version: ident.Version(fmt.Sprint(w.edits)), Weight: 1}
	current, _ := h.World.State().Rows.Get(key)
	e := rows.Edit{ID: ident.EditID(fmt.Sprint(w.edits)), Key: key, From: current.RowVersion, Row: &row}
	w.last = e
	w.Propose(h, world.Proposal{Command: state.Command{Edit: &e}})
}

// faults are the steps that a run is drawn from.
var faults = map[string]func(w *watch, h, other *vtime.Host){
	"crash":  func(w *watch, h, _ *vtime.Host) { w.Crash(h) },
	"start":  func(w *watch, h, _ *vtime.Host) { w.Start(h) },
	"freeze": func(w *watch, h, _ *vtime.Host) { w.Freeze(h) },
	"thaw":   func(w *watch, h, _ *vtime.Host) { w.Thaw(h) },
	"cut":    func(w *watch, h, other *vtime.Host) { w.Cut(h.Name, other.Name) },
	"isolate": func(w *watch, h, _ *vtime.Host) {
		for _, o := range w.Hosts {
			w.Cut(h.Name, o.Name)
			w.Cut(o.Name, h.Name)
		}
	},
	"heal": func(w *watch, _, _ *vtime.Host) { w.Heal() },
	"wipe": func(w *watch, h, _ *vtime.Host) { w.wipe(h) },
	"edit": func(w *watch, h, _ *vtime.Host) {
		if h.World != nil {
			w.edit(h)
		}
	},
	"restart": func(w *watch, h, _ *vtime.Host) {
		w.Crash(h)
		w.Start(h)
	},
}

// wipe empties a disk if all others are whole: more lost disks than that are outside what any log can survive.
func (w *watch) wipe(h *vtime.Host) {
	if h.Disk == nil {
		return
	}
	for _, o := range w.Hosts {
		if o.Disk != nil && (o.World == nil || !w.whole(o)) {
			return
		}
	}
	w.Wipe(h)
	w.Start(h)
}

// whole reports whether the host's disk votes and holds all that was accepted.
func (w *watch) whole(h *vtime.Host) bool {
	for _, m := range h.World.Members() {
		if m.Host == h.Name && (!m.Voter || m.Disk != h.Disk.Stored().Disk) {
			return false
		}
	}
	return len(h.World.Members()) == w.Disks && len(w.accepted) > 0 && h.World.State().Applied >= w.accepted[len(w.accepted)-1].index
}

func TestNothingAcceptedIsLostWhateverFails(t *testing.T) {
	names := []string{"crash", "start", "start", "freeze", "thaw", "thaw", "cut", "isolate", "heal", "heal", "wipe", "restart", "edit", "edit", "edit", "edit"}
	rapid.Check(t, func(t *rapid.T) {
		p := world.Defaults()
		p.CompactAfter = rapid.SampledFrom([]int{8, 40, 4096}).Draw(t, "compact-after")
		f := vtime.New(vtime.Config{
			Hosts: 5, Disks: 3, Domains: 3, Params: p, Sync: 30 * time.Millisecond, Seed: rapid.Uint64().Draw(t, "seed"),
			Network: vtime.Network{Delay: time.Millisecond, Jitter: 40 * time.Millisecond, Loss: 0.05, Repeat: 0.05},
		})
		w := newWatch(f, t.Fatalf)
		f.Run(4 * time.Second)
		for n := range 4 {
			f.Announce(n)
		}
		for range rapid.IntRange(10, 60).Draw(t, "steps") {
			name := rapid.SampledFrom(names).Draw(t, "step")
			h, other := rapid.IntRange(0, len(f.Hosts)-1).Draw(t, "host"), rapid.IntRange(0, len(f.Hosts)-1).Draw(t, "other")
			faults[name](w, f.Hosts[h], f.Hosts[other])
			f.Run(time.Duration(rapid.IntRange(1, 900).Draw(t, "ms")) * time.Millisecond)
		}
		f.Heal()
		for _, h := range f.Hosts {
			f.Thaw(h)
			f.Start(h)
		}
		w.settle()
	})
}

// settle demands that everything serves again and that all accepted edits are there.
func (w *watch) settle() {
	last := ident.Index(0)
	for _, a := range w.accepted {
		last = max(last, a.index)
	}
	ok := w.Until(30*time.Second, func() bool {
		for _, h := range w.Hosts {
			if !h.World.Serving() || h.World.State().Applied < last {
				return false
			}
		}
		return true
	})
	if !ok {
		for _, h := range w.Hosts {
			w.fail("not settled: host %s leader %s serves %v at %d of %d, members %v", h.Name, h.World.Leader(), h.World.Serving(), h.World.State().Applied, last, h.World.Members())
		}
	}
}
