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

// waitForLeader waits until a host leads with a valid lease and returns it; otherwise the test fails.
func (w *watcher) waitForLeader() *vtime.Host {
	var found *vtime.Host
	w.RunUntil(10*time.Second, func() bool {
		found = nil
		for _, h := range w.Hosts {
			if h.World != nil && h.World.Overview().Role == world.RoleLeader && h.World.Serving() {
				found = h
			}
		}
		return found != nil
	})
	if found == nil {
		w.fail("%v: no host became leader", w.Now)
	}
	return found
}

// otherHost returns a running host other than excluded, with or without a disk; nil if there is none.
func (w *watcher) otherHost(excluded *vtime.Host, disk bool) *vtime.Host {
	for _, h := range w.Hosts {
		if h != excluded && (h.Disk != nil) == disk && h.World != nil {
			return h
		}
	}
	return nil
}

// commitEdit proposes an edit at a host and waits until an edit is accepted.
func (w *watcher) commitEdit(h *vtime.Host) {
	before := len(w.committed)
	w.edit(h)
	if !w.RunUntil(10*time.Second, func() bool { return len(w.committed) > before }) {
		w.fail("%v: the edit proposed at %s was not accepted in time", w.Now, h.Name)
	}
}

// voters returns the hosts that are voters according to the leader.
func (w *watcher) voters() []ident.HostID {
	var list []ident.HostID
	for _, m := range w.waitForLeader().World.Members() {
		if m.Voter {
			list = append(list, m.Host)
		}
	}
	return list
}

// waitForVoters waits until the voters are exactly the given hosts.
func (w *watcher) waitForVoters(hosts ...ident.HostID) {
	if !w.RunUntil(30*time.Second, func() bool {
		list := w.voters()
		for _, h := range hosts {
			if !slices.Contains(list, h) {
				return false
			}
		}
		return len(list) == len(hosts)
	}) {
		w.fail("%v: the voters are %v, want %v", w.Now, w.voters(), hosts)
	}
}

func TestStateSurvivesFaults(t *testing.T) {
	cases := map[string]struct {
		hosts, disks, voters int
		steps                func(w *watcher)
	}{
		"leader partitioned for a minute": {5, 3, 3, func(w *watcher) {
			oldLeader := w.waitForLeader()
			w.commitEdit(oldLeader)
			faults["isolate"](w, oldLeader, nil)
			w.edit(oldLeader)
			w.Run(time.Second)
			w.commitEdit(w.otherHost(oldLeader, false))
			w.Run(time.Minute)
			w.require(!oldLeader.World.Serving())
		}},
		"edit resent to the next leader is not applied again": {5, 3, 3, func(w *watcher) {
			oldLeader := w.waitForLeader()
			w.commitEdit(oldLeader)
			first := w.committed[len(w.committed)-1].index
			w.Crash(oldLeader)
			next := w.waitForLeader()
			w.Propose(next, world.Proposal{Command: state.Command{Edit: &w.lastEdit}})
			w.require(w.RunUntil(10*time.Second, func() bool { return len(w.committed) == 2 }))
			w.require(w.committed[1].index == first && len(next.World.State().Rows.History()) == 1)
		}},
		"leader receives messages but cannot send": {5, 3, 3, func(w *watcher) {
			oldLeader := w.waitForLeader()
			for _, host := range w.Hosts {
				w.Cut(oldLeader.Name, host.Name)
			}
			w.Run(5 * time.Second)
			w.commitEdit(w.otherHost(oldLeader, false))
			w.Run(time.Minute)
		}},
		"leader sends messages but cannot receive": {5, 3, 3, func(w *watcher) {
			oldLeader := w.waitForLeader()
			for _, host := range w.Hosts {
				w.Cut(host.Name, oldLeader.Name)
			}
			w.Run(5 * time.Second)
			w.commitEdit(w.otherHost(oldLeader, false))
			w.Run(time.Minute)
		}},
		"frozen leader resumes with received renewals and proposals unprocessed": {5, 3, 3, func(w *watcher) {
			oldLeader := w.waitForLeader()
			cut := w.otherHost(oldLeader, false)
			w.Freeze(oldLeader)
			// oldLeader and cut reach only each other, so that oldLeader cannot learn of the next leader.
			for _, host := range w.Hosts {
				if host != oldLeader && host != cut {
					for _, lone := range []*vtime.Host{oldLeader, cut} {
						w.Cut(host.Name, lone.Name)
						w.Cut(lone.Name, host.Name)
					}
				}
			}
			w.edit(cut)
			w.Run(8 * time.Second)
			w.Thaw(oldLeader)
			w.Run(2 * time.Second)
		}},
		"frozen owner resumes": {5, 3, 3, func(w *watcher) {
			owner := w.otherHost(w.waitForLeader(), false)
			w.Freeze(owner)
			w.commitEdit(w.waitForLeader())
			w.Run(8 * time.Second)
			w.Thaw(owner)
			w.Run(time.Second)
		}},
		"all hosts restarted after several hundred edits": {5, 3, 3, func(w *watcher) {
			for range 300 {
				w.commitEdit(w.Hosts[4])
			}
			for _, host := range w.Hosts {
				w.Crash(host)
			}
			w.Run(time.Second)
			for _, host := range w.Hosts {
				w.Start(host)
			}
		}},
		"voter restarted with an empty disk": {5, 3, 3, func(w *watcher) {
			w.commitEdit(w.Hosts[3])
			host := w.otherHost(w.waitForLeader(), true)
			w.Wipe(host)
			w.Start(host)
			w.waitForVoters("e1", "e2", "e3")
			w.require(w.RunUntil(10*time.Second, func() bool { return w.upToDate(host) }))
		}},
		"voter restarted with an empty disk and another voter crashed": {5, 3, 3, func(w *watcher) {
			w.commitEdit(w.Hosts[3])
			host := w.otherHost(w.waitForLeader(), true)
			w.Wipe(host)
			w.Start(host)
			w.Crash(w.waitForLeader())
			w.Run(20 * time.Second)
		}},
		"second voter crashed right after the first was replaced": {7, 5, 3, func(w *watcher) {
			w.commitEdit(w.Hosts[5])
			w.Crash(w.Hosts[0])
			w.waitForVoters("e2", "e3", "e4")
			w.Crash(w.Hosts[1])
			w.commitEdit(w.Hosts[5])
			w.waitForVoters("e3", "e4", "e5")
		}},
		"replaced voter returns as a standby": {7, 5, 3, func(w *watcher) {
			w.Crash(w.Hosts[1])
			w.waitForVoters("e1", "e3", "e5")
			w.Start(w.Hosts[1])
			w.Run(10 * time.Second)
			w.waitForVoters("e1", "e3", "e5")
			w.Crash(w.Hosts[4])
			w.waitForVoters("e1", "e2", "e3")
		}},
		"replaced voter of a domain without another one returns": {7, 4, 3, func(w *watcher) {
			w.Crash(w.Hosts[1])
			w.waitForVoters("e1", "e3", "e4")
			w.Start(w.Hosts[1])
			w.waitForVoters("e1", "e2", "e3")
			w.Run(10 * time.Second)
			w.waitForVoters("e1", "e2", "e3")
			w.Crash(w.Hosts[0])
			w.waitForVoters("e2", "e3", "e4")
		}},
		"two of five voters crashed at once": {7, 7, 5, func(w *watcher) {
			w.Crash(w.Hosts[0])
			w.Crash(w.Hosts[4])
			w.commitEdit(w.Hosts[1])
			w.waitForVoters("e2", "e3", "e4", "e6", "e7")
		}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			p := world.Defaults()
			p.Voters, p.RepairAfter, p.CompactAfter = c.voters, 5*time.Second, 50
			fleet := vtime.New(vtime.Config{
				Hosts: c.hosts, Disks: c.disks, Domains: 3, Params: p, MaxSyncDelay: 10 * time.Millisecond, Seed: 1,
				Network: vtime.Network{Delay: time.Millisecond, Jitter: 3 * time.Millisecond},
			})
			w := newWatcher(fleet, t.Fatalf)
			fleet.Run(4 * time.Second)
			for n := range fleet.Hosts {
				fleet.Announce(n)
			}
			fleet.Run(time.Second)
			c.steps(w)
			fleet.Heal()
			for _, host := range fleet.Hosts {
				fleet.Thaw(host)
				fleet.Start(host)
			}
			w.checkRecovery()
		})
	}
}

// require fails the test unless the condition holds.
func (w *watcher) require(holds bool) {
	if !holds {
		w.fail("%v: a condition required by the test case does not hold", w.Now)
	}
}
