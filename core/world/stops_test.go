package world_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"shallotgap/core/drain"
	"shallotgap/core/state"
	"shallotgap/core/world"
	"shallotgap/fakes/vtime"
)

// A planned stop of the leader's failure domain costs no host its lease: the leader steps down, and the next leader renews
// all leases before they end. Writes take up to 60 ms and messages up to 40 ms, as on machines under load.
func TestPlannedStopOfLeaderKeepsLeases(t *testing.T) {
	network := vtime.Network{Delay: 2 * time.Millisecond, Jitter: 38 * time.Millisecond}
	for seed := range uint64(150) {
		fleet := vtime.New(vtime.Config{
			Hosts: 7, Disks: 3, Domains: 3, Params: world.Defaults(), Network: network, MaxSyncDelay: 60 * time.Millisecond, Seed: seed + 1,
		})
		allServing := func() bool {
			for _, h := range fleet.Hosts {
				if !h.World.Serving() {
					return false
				}
			}
			return true
		}
		assert.Assert(t, fleet.RunUntil(10*time.Second, allServing), "seed %d: not all hosts have a lease", seed)
		fleet.Run(5 * time.Second)
		leader := fleet.Hosts[0].World.Leader()
		for i, h := range fleet.Hosts[:3] {
			if h.Name == leader {
				domain := string(rune('a' + i))
				fleet.Propose(fleet.Hosts[6], world.Proposal{Command: state.Command{Mark: &drain.Mark{ID: "stop", Target: drain.Domain, Name: domain}}})
			}
		}
		leaseLost := fleet.RunUntil(10*time.Second, func() bool { return !allServing() })
		assert.Assert(t, !leaseLost, "seed %d: at %v a host has no lease after the stop of %s", seed, fleet.Now, leader)
		assert.Assert(t, fleet.Hosts[0].World.Leader() != leader, "seed %d: %s still leads", seed, leader)
	}
}

// A planned stop becomes safe in time even if the leader changes during the drain: the lifetime of the lists of entry hosts
// that callers cached counts from the start of the drain, not from the election.
func TestStopBecomesSafeAcrossLeaderChanges(t *testing.T) {
	p := world.Defaults()
	drained := p.EntryLife + p.Lease.Length + p.Lease.Spread
	for seed := range uint64(20) {
		fleet := vtime.New(vtime.Config{
			Hosts: 7, Disks: 3, Domains: 3, Params: p,
			Network: vtime.Network{Delay: 2 * time.Millisecond}, MaxSyncDelay: 5 * time.Millisecond, Seed: seed + 1,
		})
		fleet.Run(5 * time.Second)
		fleet.Propose(fleet.Hosts[6], world.Proposal{Command: state.Command{Mark: &drain.Mark{ID: "stop", Target: drain.Host, Name: "e5"}}})
		start := fleet.Now
		for range 3 {
			fleet.Run(2 * time.Second)
			fleet.Handle(fleet.Hosts[0], world.Event{})
			for _, h := range fleet.Hosts[:3] {
				if h.Name == fleet.Hosts[0].World.Leader() {
					fleet.Freeze(h)
					fleet.Run(1500 * time.Millisecond)
					fleet.Thaw(h)
				}
			}
		}
		safe := func() bool {
			s, ok := fleet.Hosts[6].World.State().Stops.Get(drain.IDOf(drain.Host, "e5"))
			return ok && s.Phase == drain.Safe
		}
		// A newly elected leader first needs a lease renewal from every host.
		limit := max(0, start+drained-fleet.Now) + 2*time.Second
		assert.Assert(t, fleet.RunUntil(limit, safe), "seed %d: the stop is not safe %v after it was planned", seed, fleet.Now-start)
	}
}
