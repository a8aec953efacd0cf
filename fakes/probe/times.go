package probe

import (
	"fmt"
	"io"
	"time"

	"shallotgap/core/ident"
	"shallotgap/core/rows"
	"shallotgap/core/state"
	"shallotgap/core/world"
	"shallotgap/fakes/vtime"
)

// runs is the number of seeds over which times are taken.
const runs = 100

// seven returns the fleet of today in virtual time, with endpoints that keep announcing themselves, and runs it in.
func seven(seed uint64, voters int) *vtime.Fleet {
	p := world.Defaults()
	p.Voters = voters
	f := vtime.New(vtime.Config{
		Hosts: 7, Disks: voters, Domains: 3, Params: p, MaxSyncDelay: 4 * time.Millisecond, Seed: seed,
		Network: vtime.Network{Delay: 1500 * time.Microsecond, Jitter: 500 * time.Microsecond},
	})
	for n := range 7 {
		f.Announce(n)
	}
	f.Run(4*time.Second + time.Duration(f.Rand.Int64N(int64(time.Second))))
	return f
}

func leaderOf(f *vtime.Fleet) *vtime.Host {
	for _, h := range f.Hosts {
		if h.World != nil && h.World.Overview().Role == world.RoleLeader {
			return h
		}
	}
	return nil
}

// after returns the time until a condition holds.
func after(f *vtime.Fleet, holds func() bool) time.Duration {
	begun := f.Now
	f.RunUntil(30*time.Second, holds)
	return f.Now - begun
}

// Times measures elections, take-overs and edits in virtual time, at 1.5 to 2 ms one way and at most 4 ms for a sync.
func Times(out io.Writer) error {
	measures := []struct {
		name string
		run  func(f *vtime.Fleet) time.Duration
	}{
		{"leader-killed-until-new-leader", newLeader},
		{"owner-killed-until-endpoint-owned", takeOver},
		{"leader-killed-as-owner-until-endpoint-owned", takeOverFromLeader},
		{"edit-accepted-until-in-force", func(f *vtime.Fleet) time.Duration { return inForce(f, nothing) }},
		{"edit-accepted-until-in-force-leader-killed", func(f *vtime.Fleet) time.Duration { return inForce(f, killLeader) }},
		{"edit-accepted-until-in-force-one-host-cut-off", func(f *vtime.Fleet) time.Duration { return inForce(f, cutOff) }},
		{"edit-accepted-until-in-force-leader-killed-one-host-cut-off", func(f *vtime.Fleet) time.Duration {
			return inForce(f, func(f *vtime.Fleet, edited *vtime.Host) {
				killLeader(f, edited)
				cutOff(f, edited)
			})
		}},
	}
	for _, voters := range []int{3, 5} {
		for _, m := range measures {
			var list []time.Duration
			for seed := range uint64(runs) {
				list = append(list, m.run(seven(seed, voters)))
			}
			if _, err := fmt.Fprintf(out, "voters=%d measure=%s runs=%d p50=%v p95=%v max=%v\n", voters, m.name, runs, at(list, 0.5), at(list, 0.95), at(list, 1)); err != nil {
				return err
			}
		}
	}
	return nil
}

func newLeader(f *vtime.Fleet) time.Duration {
	f.Crash(leaderOf(f))
	return after(f, func() bool { return leaderOf(f) != nil })
}

func takeOver(f *vtime.Fleet) time.Duration { return takeOverFrom(f, false) }

func takeOverFromLeader(f *vtime.Fleet) time.Duration { return takeOverFrom(f, true) }

func takeOverFrom(f *vtime.Fleet, leads bool) time.Duration {
	for _, h := range f.Hosts {
		if (h == leaderOf(f)) == leads && owns(h, h.Name) {
			f.Crash(h)
			return after(f, func() bool { return allServed(f) })
		}
	}
	return 0
}

func owns(h *vtime.Host, owner ident.HostID) bool {
	for _, e := range h.World.State().Owners.List() {
		if e.Owner == owner {
			return true
		}
	}
	return false
}

// allServed reports whether each endpoint has an owner that knows so and serves.
func allServed(f *vtime.Fleet) bool {
	served := 0
	for _, h := range f.Hosts {
		if h.World == nil || !h.World.Serving() {
			continue
		}
		for _, e := range h.World.State().Owners.List() {
			if e.Owner == h.Name {
				served++
			}
		}
	}
	return served == 7
}

func nothing(*vtime.Fleet, *vtime.Host) {}

func killLeader(f *vtime.Fleet, _ *vtime.Host) { f.Crash(leaderOf(f)) }

// cutOff cuts the last host off that neither leads nor was edited at.
func cutOff(f *vtime.Fleet, edited *vtime.Host) {
	for n := len(f.Hosts) - 1; n >= 0; n-- {
		lone := f.Hosts[n]
		if lone == edited || lone == leaderOf(f) || lone.World == nil {
			continue
		}
		for _, h := range f.Hosts {
			f.Cut(h.Name, lone.Name)
			f.Cut(lone.Name, h.Name)
		}
		return
	}
}

// inForce returns the time from the acceptance of an edit, at which the fault strikes, until no host serves without it.
func inForce(f *vtime.Fleet, fault func(f *vtime.Fleet, edited *vtime.Host)) time.Duration {
	edited := f.Hosts[5]
	index := accept(f, edited, fault)
	return after(f, func() bool {
		for _, h := range f.Hosts {
			if h.World != nil && h.World.ServingAt(f.Clock(h)) && h.World.State().Applied < index {
				return false
			}
		}
		return true
	})
}

// accept brings an edit through the log. The fault strikes as the leader decides, before any other host has heard.
func accept(f *vtime.Fleet, h *vtime.Host, fault func(f *vtime.Fleet, edited *vtime.Host)) ident.Index {
	row := rows.Row{Workspace: "w", Adapter: "a", Version: "v1", Weight: 1}
	e := rows.Edit{ID: "edit", Key: "w/a", Row: &row}
	f.Propose(h, world.Proposal{Command: state.Command{Edit: &e}})
	leader := leaderOf(f)
	f.RunUntil(10*time.Second, func() bool { return leader.World.State().Rows.Len() == 1 })
	index := leader.World.State().Applied
	fault(f, h)
	return index
}
