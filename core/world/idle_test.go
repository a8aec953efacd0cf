package world_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"shallotgap/core/world"
	"shallotgap/fakes/vtime"
)

// Idle hosts send only heartbeats, lease renewals and lists of wanted loads at their intervals, not messages at every tick.
func TestIdleHostMessageRate(t *testing.T) {
	p := world.Defaults()
	fleet := vtime.New(vtime.Config{Hosts: 7, Disks: 3, Domains: 3, Params: p, Seed: 1, Network: vtime.Network{Delay: time.Millisecond}})
	fleet.Run(5 * time.Second)
	before := fleet.Sent
	fleet.Run(10 * time.Second)
	// The leader exchanges heartbeats with two followers. Per renewal interval, each of the six other hosts sends a renewal,
	// gets a reply and sends an empty list of wanted loads.
	heartbeats := 2 * 2 * int(10*time.Second/p.Heartbeat)
	renewals := 6 * 3 * int(10*time.Second/p.Lease.Renew)
	sent := fleet.Sent - before
	assert.Assert(t, sent <= (heartbeats+renewals)*11/10, "the hosts sent %d messages, want about %d", sent, heartbeats+renewals)
}
