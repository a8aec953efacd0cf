package quorum_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"shallotgap/core/ident"
	"shallotgap/core/quorum"
)

// An elected leader sends its first entry at once, so that it may decide after one round of messages and writes and not
// after a heartbeat more.
func TestElectedLeaderIsSureAfterOneRound(t *testing.T) {
	cases := map[string]clusterConfig{
		"near and fast": {write: time.Millisecond, delay: time.Millisecond},
		"slow disks":    {write: 20 * time.Millisecond, delay: time.Millisecond},
		"far away":      {write: time.Millisecond, delay: 10 * time.Millisecond},
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
				assert.Assert(t, c.leads(time.Second, ""))
				// The entry travels there and back, and is written; the steps of virtual time add to each.
				round := 2*config.delay + config.write + 2*clusterTick
				assert.Assert(t, c.now.Sub(elected) <= round, "seed %d: sure %v after its election", seed, c.now.Sub(elected))
			}
		})
	}
}

// A leader that stands still for a while, its messages waiting, and is then the first to go on: it is not sure of its place
// before it has heard from others again, whoever leads meanwhile. The cluster checks at every moment that only one is sure.
func TestLeaderThatStoodStill(t *testing.T) {
	cases := map[string]time.Duration{
		"shorter than an election": clusterElection / 2,
		"about an election":        clusterElection,
		"for long":                 5 * clusterElection,
	}
	for name, still := range cases {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(40) {
				c := newCluster(t, clusterConfig{seed: seed, write: time.Millisecond, delay: time.Millisecond})
				assert.Assert(t, c.leads(5*time.Second, ""))
				first := c.sure()[0]
				c.still = map[ident.HostID]ident.Time{first: c.now.Add(still)}
				c.run(still+3*clusterElection, func() bool { return false })
				assert.Assert(t, c.leads(5*time.Second, ""), "seed %d: no leader afterwards", seed)
			}
		})
	}
}
