package world_test

import (
	"slices"
	"testing"
	"time"

	"shallotgap/core/ident"
	"shallotgap/core/state"
	"shallotgap/core/world"
	"shallotgap/fakes/vtime"
)

// leader returns the host that leads at this moment, or fails.
func (w *watch) leader() *vtime.Host {
	var found *vtime.Host
	w.Until(10*time.Second, func() bool {
		found = nil
		for _, h := range w.Hosts {
			if h.World != nil && h.World.Overview().Role == world.RoleLeader && h.World.Serving() {
				found = h
			}
		}
		return found != nil
	})
	if found == nil {
		w.fail("%v: nobody leads", w.Now)
	}
	return found
}

// other returns a host besides the given one, with or without a disk.
func (w *watch) other(than *vtime.Host, disk bool) *vtime.Host {
	for _, h := range w.Hosts {
		if h != than && (h.Disk != nil) == disk && h.World != nil {
			return h
		}
	}
	return nil
}

// accept proposes an edit at a host and waits until it is accepted.
func (w *watch) accept(h *vtime.Host) {
	before := len(w.accepted)
	w.edit(h)
	if !w.Until(10*time.Second, func() bool { return len(w.accepted) > before }) {
		w.fail("%v: no edit is accepted at %s", w.Now, h.Name)
	}
}

// voters returns the voting hosts as the leader knows them.
func (w *watch) voters() []ident.HostID {
	var list []ident.HostID
	for _, m := range w.leader().World.Members() {
		if m.Voter {
			list = append(list, m.Host)
		}
	}
	return list
}

// votes waits until exactly the given hosts vote.
func (w *watch) votes(hosts ...ident.HostID) {
	if !w.Until(30*time.Second, func() bool {
		list := w.voters()
		for _, h := range hosts {
			if !slices.Contains(list, h) {
				return false
			}
		}
		return len(list) == len(hosts)
	}) {
		w.fail("%v: the voters are %v, not %v", w.Now, w.voters(), hosts)
	}
}

func TestStateSurvives(t *testing.T) {
	cases := map[string]struct {
		hosts, disks, voters int
		steps                func(w *watch)
	}{
		"a leader cut off for a minute that comes back": {5, 3, 3, func(w *watch) {
			old := w.leader()
			w.accept(old)
			faults["isolate"](w, old, nil)
			w.edit(old)
			w.Run(time.Second)
			w.accept(w.other(old, false))
			w.Run(time.Minute)
			w.demand(!old.World.Serving())
		}},
		"an edit resent to the next leader gets its first answer": {5, 3, 3, func(w *watch) {
			old := w.leader()
			w.accept(old)
			first := w.accepted[len(w.accepted)-1].index
			w.Crash(old)
			next := w.leader()
			w.Propose(next, world.Proposal{Command: state.Command{Edit: &w.last}})
			w.demand(w.Until(10*time.Second, func() bool { return len(w.accepted) == 2 }))
			w.demand(w.accepted[1].index == first && len(next.World.State().Rows.History()) == 1)
		}},
		"a leader that hears but is not heard": {5, 3, 3, func(w *watch) {
			old := w.leader()
			for _, h := range w.Hosts {
				w.Cut(old.Name, h.Name)
			}
			w.Run(5 * time.Second)
			w.accept(w.other(old, false))
			w.Run(time.Minute)
		}},
		"a leader that is heard but does not hear": {5, 3, 3, func(w *watch) {
			old := w.leader()
			for _, h := range w.Hosts {
				w.Cut(h.Name, old.Name)
			}
			w.Run(5 * time.Second)
			w.accept(w.other(old, false))
			w.Run(time.Minute)
		}},
		"a frozen leader that wakes with renewals and proposals in hand": {5, 3, 3, func(w *watch) {
			old := w.leader()
			cut := w.other(old, false)
			w.Freeze(old)
			// The two reach only each other, so that nothing tells the leader of its successor.
			for _, h := range w.Hosts {
				if h != old && h != cut {
					for _, lone := range []*vtime.Host{old, cut} {
						w.Cut(h.Name, lone.Name)
						w.Cut(lone.Name, h.Name)
					}
				}
			}
			w.edit(cut)
			w.Run(8 * time.Second)
			w.Thaw(old)
			w.Run(2 * time.Second)
		}},
		"a frozen owner that wakes": {5, 3, 3, func(w *watch) {
			owner := w.other(w.leader(), false)
			w.Freeze(owner)
			w.accept(w.leader())
			w.Run(8 * time.Second)
			w.Thaw(owner)
			w.Run(time.Second)
		}},
		"all restarted after several hundred edits": {5, 3, 3, func(w *watch) {
			for range 300 {
				w.accept(w.Hosts[4])
			}
			for _, h := range w.Hosts {
				w.Crash(h)
			}
			w.Run(time.Second)
			for _, h := range w.Hosts {
				w.Start(h)
			}
		}},
		"an empty disk under an old name": {5, 3, 3, func(w *watch) {
			w.accept(w.Hosts[3])
			h := w.other(w.leader(), true)
			w.Wipe(h)
			w.Start(h)
			w.votes("e1", "e2", "e3")
			w.demand(w.Until(10*time.Second, func() bool { return w.whole(h) }))
		}},
		"an empty disk, and another voter lost before it votes again": {5, 3, 3, func(w *watch) {
			w.accept(w.Hosts[3])
			h := w.other(w.leader(), true)
			w.Wipe(h)
			w.Start(h)
			w.Crash(w.leader())
			w.Run(20 * time.Second)
		}},
		"a lost voter, and a second one right after the repair": {7, 5, 3, func(w *watch) {
			w.accept(w.Hosts[5])
			w.Crash(w.Hosts[0])
			w.votes("e2", "e3", "e4")
			w.Crash(w.Hosts[1])
			w.accept(w.Hosts[5])
			w.votes("e3", "e4", "e5")
		}},
		"a lost voter that returns stands by": {7, 4, 3, func(w *watch) {
			w.Crash(w.Hosts[1])
			w.votes("e1", "e3", "e4")
			w.Start(w.Hosts[1])
			w.Run(10 * time.Second)
			w.votes("e1", "e3", "e4")
			w.Crash(w.Hosts[0])
			w.votes("e2", "e3", "e4")
		}},
		"five voters, two lost at once": {7, 7, 5, func(w *watch) {
			w.Crash(w.Hosts[0])
			w.Crash(w.Hosts[4])
			w.accept(w.Hosts[1])
			w.votes("e2", "e3", "e4", "e6", "e7")
		}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			p := world.Defaults()
			p.Voters, p.RepairAfter, p.CompactAfter = c.voters, 5*time.Second, 50
			f := vtime.New(vtime.Config{
				Hosts: c.hosts, Disks: c.disks, Domains: 3, Params: p, Sync: 10 * time.Millisecond, Seed: 1,
				Network: vtime.Network{Delay: time.Millisecond, Jitter: 3 * time.Millisecond},
			})
			w := newWatch(f, t.Fatalf)
			f.Run(4 * time.Second)
			for n := range f.Hosts {
				f.Announce(n)
			}
			f.Run(time.Second)
			c.steps(w)
			f.Heal()
			for _, h := range f.Hosts {
				f.Thaw(h)
				f.Start(h)
			}
			w.settle()
		})
	}
}

func (w *watch) demand(holds bool) {
	if !holds {
		w.fail("%v: a demand of the case does not hold", w.Now)
	}
}
