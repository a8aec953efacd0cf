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

// maxEditDelay is the required limit of the time from the acceptance of an edit until every serving host has applied it.
const maxEditDelay = 3 * time.Second

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

// watcher checks the invariants of a fleet after every event: one leader per term, equal state at equal log indexes, one
// serving owner per endpoint, and no host that serves without an accepted edit for longer than maxEditDelay.
type watcher struct {
	*vtime.Fleet
	fail      func(format string, args ...any)
	leaders   map[ident.Term]ident.HostID  // hosts that sent messages as leader of a term
	tableAt   map[ident.Index]string       // rows and owners at each log index
	applied   map[*world.World]ident.Index // each host's applied index at the last check
	committed []committedEdit              // accepted edits, in the order of their results
	edits     int                          // number of edits proposed
	lastEdit  rows.Edit
}

// committedEdit is the log index of an accepted edit and the time at which its proposer got the result.
type committedEdit struct {
	at    time.Duration
	index ident.Index
}

func newWatcher(fleet *vtime.Fleet, fail func(string, ...any)) *watcher {
	w := &watcher{
		Fleet: fleet, fail: fail, leaders: map[ident.Term]ident.HostID{},
		tableAt: map[ident.Index]string{}, applied: map[*world.World]ident.Index{},
	}
	fleet.OnEffects = w.observe
	return w
}

func (w *watcher) observe(h *vtime.Host, effects []world.Effect) {
	for _, e := range effects {
		if e.Send != nil {
			w.checkMessage(h, e.Send.Message)
		}
		if e.Write != nil {
			for _, out := range e.Write.SendAfter {
				w.checkMessage(h, out.Message)
			}
		}
		if e.Proposed != nil && e.Proposed.Result.Edit != nil && e.Proposed.Result.Edit.Verdict == rows.Accepted {
			w.committed = append(w.committed, committedEdit{at: w.Now, index: e.Proposed.Result.Edit.Index})
		}
	}
	w.checkState(h)
	w.checkOwners(h)
}

func (w *watcher) checkMessage(h *vtime.Host, m world.Message) {
	if m.Quorum == nil || (m.Quorum.Kind != quorum.Append && m.Quorum.Kind != quorum.Install) {
		return
	}
	if other := w.leaders[m.Quorum.Term]; other != "" && other != h.Name {
		w.fail("%v: term %d has two leaders, %s and %s", w.Now, m.Quorum.Term, other, h.Name)
	}
	w.leaders[m.Quorum.Term] = h.Name
}

func (w *watcher) checkState(h *vtime.Host) {
	s := h.World.State()
	last := w.applied[h.World]
	if s.Applied < last {
		w.fail("%v: the applied index of host %s went back from %d to %d", w.Now, h.Name, last, s.Applied)
	}
	w.applied[h.World] = s.Applied
	if s.Applied != last {
		table := fmt.Sprint(s.Rows.List(), s.Owners.List())
		if other, ok := w.tableAt[s.Applied]; ok && other != table {
			w.fail("%v: the state of host %s differs from another host's at index %d:\n%s\n%s", w.Now, h.Name, s.Applied, table, other)
		}
		w.tableAt[s.Applied] = table
	}
	for n := len(w.committed) - 1; n >= 0 && h.World.Serving(); n-- {
		if edit := w.committed[n]; w.Now-edit.at > maxEditDelay && s.Applied < edit.index {
			w.fail("%v: host %s serves at index %d without the edit %d accepted at %v", w.Now, h.Name, s.Applied, edit.index, edit.at)
		}
	}
}

// checkOwners fails the test if two hosts with a valid lease own the same endpoint at this moment.
func (w *watcher) checkOwners(h *vtime.Host) {
	if !w.servesNow(h) {
		return
	}
	for _, e := range h.World.State().Owners.List() {
		if e.Owner != h.Name {
			continue
		}
		for _, other := range w.Hosts {
			if other == h || other.World == nil || !w.servesNow(other) {
				continue
			}
			if view, _ := other.World.State().Owners.Get(e.ID); view.Owner == other.Name {
				w.fail("%v: endpoint %s has two serving owners, %s and %s", w.Now, e.ID, h.Name, other.Name)
			}
		}
	}
}

// servesNow reports whether the host's lease is valid at the host's present clock reading, which may be later than its last
// event.
func (w *watcher) servesNow(h *vtime.Host) bool { return h.World.ServingAt(w.Clock(h)) }

// edit proposes a new edit of one of five rows at a host.
func (w *watcher) edit(h *vtime.Host) {
	w.edits++
	key := rows.KeyOf("w", ident.Adapter(rune('a'+w.edits%5)))
	row := rows.Row{Workspace: "w", Adapter: ident.Adapter(rune('a' + w.edits%5)), Version: ident.Version(fmt.Sprint(w.edits)), Weight: 1}
	current, _ := h.World.State().Rows.Get(key)
	edit := rows.Edit{ID: ident.EditID(fmt.Sprint(w.edits)), Key: key, From: current.RowVersion, Row: &row}
	w.lastEdit = edit
	w.Propose(h, world.Proposal{Command: state.Command{Edit: &edit}})
}

// faults are the possible steps of a random run, by name: faults, repairs and edits.
var faults = map[string]func(w *watcher, h, other *vtime.Host){
	"crash":  func(w *watcher, h, _ *vtime.Host) { w.Crash(h) },
	"start":  func(w *watcher, h, _ *vtime.Host) { w.Start(h) },
	"freeze": func(w *watcher, h, _ *vtime.Host) { w.Freeze(h) },
	"thaw":   func(w *watcher, h, _ *vtime.Host) { w.Thaw(h) },
	"cut":    func(w *watcher, h, other *vtime.Host) { w.Cut(h.Name, other.Name) },
	"isolate": func(w *watcher, h, _ *vtime.Host) {
		for _, o := range w.Hosts {
			w.Cut(h.Name, o.Name)
			w.Cut(o.Name, h.Name)
		}
	},
	"heal": func(w *watcher, _, _ *vtime.Host) { w.Heal() },
	"wipe": func(w *watcher, h, _ *vtime.Host) { w.wipeIfSafe(h) },
	"edit": func(w *watcher, h, _ *vtime.Host) {
		if h.World != nil {
			w.edit(h)
		}
	},
	"restart": func(w *watcher, h, _ *vtime.Host) {
		w.Crash(h)
		w.Start(h)
	},
}

// wipeIfSafe erases a host's disk and restarts the host, but only if all other disks are up to date: losing more disks at
// once may lose committed entries in any replicated log.
func (w *watcher) wipeIfSafe(h *vtime.Host) {
	if h.Disk == nil {
		return
	}
	for _, o := range w.Hosts {
		if o.Disk != nil && (o.World == nil || !w.upToDate(o)) {
			return
		}
	}
	w.Wipe(h)
	w.Start(h)
}

// upToDate reports whether the host's disk votes and holds all accepted edits.
func (w *watcher) upToDate(h *vtime.Host) bool {
	for _, member := range h.World.Members() {
		if member.Host == h.Name && (!member.Voter || member.Disk != h.Disk.Stored().Disk) {
			return false
		}
	}
	return len(h.World.Members()) == w.Disks && len(w.committed) > 0 && h.World.State().Applied >= w.committed[len(w.committed)-1].index
}

func TestCommittedEditsSurviveRandomFaults(t *testing.T) {
	// Steps listed several times are drawn more often.
	names := []string{
		"crash", "start", "start", "freeze", "thaw", "thaw", "cut", "isolate",
		"heal", "heal", "wipe", "restart", "edit", "edit", "edit", "edit",
	}
	rapid.Check(t, func(t *rapid.T) {
		p := world.Defaults()
		p.CompactAfter = rapid.SampledFrom([]int{8, 40, 4096}).Draw(t, "compact-after")
		fleet := vtime.New(vtime.Config{
			Hosts: 5, Disks: 3, Domains: 3, Params: p, MaxSyncDelay: 30 * time.Millisecond, Seed: rapid.Uint64().Draw(t, "seed"),
			Network: vtime.Network{Delay: time.Millisecond, Jitter: 40 * time.Millisecond, Loss: 0.05, Repeat: 0.05},
		})
		w := newWatcher(fleet, t.Fatalf)
		fleet.Run(4 * time.Second)
		for n := range 4 {
			fleet.Announce(n)
		}
		for range rapid.IntRange(10, 60).Draw(t, "steps") {
			name := rapid.SampledFrom(names).Draw(t, "step")
			h, other := rapid.IntRange(0, len(fleet.Hosts)-1).Draw(t, "host"), rapid.IntRange(0, len(fleet.Hosts)-1).Draw(t, "other")
			faults[name](w, fleet.Hosts[h], fleet.Hosts[other])
			fleet.Run(time.Duration(rapid.IntRange(1, 900).Draw(t, "ms")) * time.Millisecond)
		}
		fleet.Heal()
		for _, h := range fleet.Hosts {
			fleet.Thaw(h)
			fleet.Start(h)
		}
		w.checkRecovery()
	})
}

// checkRecovery waits until all hosts serve again and have applied all accepted edits; otherwise the test fails.
func (w *watcher) checkRecovery() {
	last := ident.Index(0)
	for _, edit := range w.committed {
		last = max(last, edit.index)
	}
	recovered := w.RunUntil(30*time.Second, func() bool {
		for _, h := range w.Hosts {
			if !h.World.Serving() || h.World.State().Applied < last {
				return false
			}
		}
		return true
	})
	if !recovered {
		for _, h := range w.Hosts {
			w.fail("no recovery: host %s: leader %s, serving %v, applied %d of %d, members %v",
				h.Name, h.World.Leader(), h.World.Serving(), h.World.State().Applied, last, h.World.Members())
		}
	}
}
