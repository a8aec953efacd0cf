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

// seedCount is the number of simulations, each with its own seed, over which the quantiles are taken.
const seedCount = 100

// startSevenHosts simulates seven hosts in virtual time, each with an endpoint that keeps announcing itself. It returns
// after 4 to 5 seconds of virtual time, when the hosts have a leader and the endpoints have owners.
func startSevenHosts(seed uint64, voters int) *vtime.Fleet {
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

// leaderOf returns the running host that leads, or nil.
func leaderOf(f *vtime.Fleet) *vtime.Host {
	for _, h := range f.Hosts {
		if h.World != nil && h.World.Overview().Role == world.RoleLeader {
			return h
		}
	}
	return nil
}

// timeUntil returns the virtual time until a condition holds, at most 30 seconds.
func timeUntil(f *vtime.Fleet, holds func() bool) time.Duration {
	start := f.Now
	f.RunUntil(30*time.Second, holds)
	return f.Now - start
}

// Times measures elections, take-overs of endpoints and the distribution of edits in virtual time. The one-way delay
// between hosts is 1.5 to 2 ms, and a disk sync takes at most 4 ms.
func Times(out io.Writer) error {
	measures := []struct {
		name string
		run  func(f *vtime.Fleet) time.Duration
	}{
		{"leader-killed-until-new-leader", timeElection},
		{"owner-killed-until-endpoint-owned", timeTakeOver},
		{"leader-killed-as-owner-until-endpoint-owned", timeTakeOverFromLeader},
		{"edit-accepted-until-in-force", func(f *vtime.Fleet) time.Duration { return timeEditInForce(f, noFault) }},
		{"edit-accepted-until-in-force-leader-killed", func(f *vtime.Fleet) time.Duration { return timeEditInForce(f, killLeader) }},
		{"edit-accepted-until-in-force-one-host-cut-off", func(f *vtime.Fleet) time.Duration { return timeEditInForce(f, isolateHost) }},
		{"edit-accepted-until-in-force-leader-killed-one-host-cut-off", func(f *vtime.Fleet) time.Duration {
			return timeEditInForce(f, func(f *vtime.Fleet, edited *vtime.Host) {
				killLeader(f, edited)
				isolateHost(f, edited)
			})
		}},
	}
	for _, voters := range []int{3, 5} {
		for _, m := range measures {
			var list []time.Duration
			for seed := range uint64(seedCount) {
				list = append(list, m.run(startSevenHosts(seed, voters)))
			}
			if _, err := fmt.Fprintf(out, "voters=%d measure=%s runs=%d p50=%v p95=%v max=%v\n",
				voters, m.name, seedCount, quantile(list, 0.5), quantile(list, 0.95), quantile(list, 1)); err != nil {
				return err
			}
		}
	}
	return nil
}

// timeElection crashes the leader and returns the time until another host leads.
func timeElection(f *vtime.Fleet) time.Duration {
	f.Crash(leaderOf(f))
	return timeUntil(f, func() bool { return leaderOf(f) != nil })
}

// timeTakeOver crashes an owner that does not lead and returns the time until its endpoint has a new owner.
func timeTakeOver(f *vtime.Fleet) time.Duration { return timeTakeOverFrom(f, false) }

// timeTakeOverFromLeader crashes a leader that owns an endpoint and returns the time until the endpoint has a new owner.
func timeTakeOverFromLeader(f *vtime.Fleet) time.Duration { return timeTakeOverFrom(f, true) }

// timeTakeOverFrom crashes a host that owns an endpoint: the leader if leads is true, else a host that does not lead. It
// returns the time until all endpoints have a serving owner, or 0 if no host
// qualifies.
func timeTakeOverFrom(f *vtime.Fleet, leads bool) time.Duration {
	for _, h := range f.Hosts {
		if (h == leaderOf(f)) == leads && ownsEndpoint(h, h.Name) {
			f.Crash(h)
			return timeUntil(f, func() bool { return allEndpointsOwned(f) })
		}
	}
	return 0
}

// ownsEndpoint reports whether the owner has an endpoint according to the state of host h.
func ownsEndpoint(h *vtime.Host, owner ident.HostID) bool {
	for _, e := range h.World.State().Owners.List() {
		if e.Owner == owner {
			return true
		}
	}
	return false
}

// allEndpointsOwned reports whether each of the seven endpoints has a serving owner that is aware of its ownership.
func allEndpointsOwned(f *vtime.Fleet) bool {
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

// noFault is the fault for timeEditInForce that injects nothing.
func noFault(*vtime.Fleet, *vtime.Host) {}

// killLeader is the fault for timeEditInForce that crashes the leader.
func killLeader(f *vtime.Fleet, _ *vtime.Host) { f.Crash(leaderOf(f)) }

// isolateHost cuts all links of the last host that neither leads nor received the edit. It is a fault for timeEditInForce.
func isolateHost(f *vtime.Fleet, edited *vtime.Host) {
	for n := len(f.Hosts) - 1; n >= 0; n-- {
		isolated := f.Hosts[n]
		if isolated == edited || isolated == leaderOf(f) || isolated.World == nil {
			continue
		}
		for _, h := range f.Hosts {
			f.Cut(h.Name, isolated.Name)
			f.Cut(isolated.Name, h.Name)
		}
		return
	}
}

// timeEditInForce injects a fault when the leader accepts an edit. It returns the time from the acceptance until no
// host serves requests without having applied the edit: a host may also stop serving because its lease has expired.
func timeEditInForce(f *vtime.Fleet, fault func(f *vtime.Fleet, edited *vtime.Host)) time.Duration {
	edited := f.Hosts[5]
	index := acceptEdit(f, edited, fault)
	return timeUntil(f, func() bool {
		for _, h := range f.Hosts {
			if h.World != nil && h.World.ServingAt(f.Clock(h)) && h.World.State().Applied < index {
				return false
			}
		}
		return true
	})
}

// acceptEdit proposes an edit at host h and injects the fault as soon as the leader has applied the edit, before any other
// host has. It returns the log index of the edit.
func acceptEdit(f *vtime.Fleet, h *vtime.Host, fault func(f *vtime.Fleet, edited *vtime.Host)) ident.Index {
	row := rows.Row{Workspace: "w", Adapter: "a", Version: "v1", Weight: 1}
	e := rows.Edit{ID: "edit", Key: "w/a", Row: &row}
	f.Propose(h, world.Proposal{Command: state.Command{Edit: &e}})
	leader := leaderOf(f)
	f.RunUntil(10*time.Second, func() bool { return leader.World.State().Rows.Len() == 1 })
	index := leader.World.State().Applied
	fault(f, h)
	return index
}
