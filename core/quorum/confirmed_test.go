package quorum_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"shallotgap/core/ident"
	"shallotgap/core/quorum"
)

// An elected leader sends the first entry of its term immediately, so its leadership is confirmed after one round trip and one
// write, without waiting for the next heartbeat.
func TestLeadershipConfirmedAfterOneRoundTrip(t *testing.T) {
	cases := map[string]clusterConfig{
		"fast network": {write: time.Millisecond, delay: time.Millisecond},
		"slow disks":   {write: 20 * time.Millisecond, delay: time.Millisecond},
		"slow network": {write: time.Millisecond, delay: 10 * time.Millisecond},
	}
	for name, config := range cases {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(20) {
				config.seed = seed
				c := newCluster(t, config)
				var elected ident.Time
				assert.Assert(t, c.run(5*time.Second, func() bool {
					for _, n := range c.nodes {
						if n.Role() == quorum.Leader {
							elected = c.now
							return true
						}
					}
					return false
				}))
				assert.Assert(t, c.waitForLeader(time.Second, ""))
				// One message in each direction and one write; each may wait for the next tick of virtual time.
				limit := 2*config.delay + config.write + 2*clusterTick
				assert.Assert(t, c.now.Sub(elected) <= limit,
					"seed %d: leadership confirmed %v after the election", seed, c.now.Sub(elected))
			}
		})
	}
}

// A leader is paused, and messages to it are delivered after the pause. It must not count as the confirmed leader before it has
// heard from a majority again, as another leader may have been elected. cluster.run fails the test if two leaders are confirmed at once.
func TestPausedLeader(t *testing.T) {
	cases := map[string]time.Duration{
		"half an election timeout": clusterElection / 2,
		"one election timeout":     clusterElection,
		"five election timeouts":   5 * clusterElection,
	}
	for name, pause := range cases {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(40) {
				c := newCluster(t, clusterConfig{seed: seed, write: time.Millisecond, delay: time.Millisecond})
				assert.Assert(t, c.waitForLeader(5*time.Second, ""))
				first := c.confirmedLeaders()[0]
				c.pausedUntil = map[ident.HostID]ident.Time{first: c.now.Add(pause)}
				c.run(pause+3*clusterElection, func() bool { return false })
				assert.Assert(t, c.waitForLeader(5*time.Second, ""), "seed %d: no leader after the pause", seed)
			}
		})
	}
}
