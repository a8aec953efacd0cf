package world_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"shallotgap/core/world"
	"shallotgap/fakes/vtime"
)

// What an idle host sends follows its heartbeats and renewals, not its ticks.
func TestIdleHostsSendLittle(t *testing.T) {
	p := world.Defaults()
	f := vtime.New(vtime.Config{Hosts: 7, Disks: 3, Domains: 3, Params: p, Seed: 1, Network: vtime.Network{Delay: time.Millisecond}})
	f.Run(5 * time.Second)
	before := f.Sent
	f.Run(10 * time.Second)
	// Two followers and the leader exchange heartbeats; six hosts a renewal, its reply and a list of wishes.
	heartbeats := 2 * 2 * int(10*time.Second/p.Heartbeat)
	renewals := 6 * 3 * int(10*time.Second/p.Lease.Renew)
	sent := f.Sent - before
	assert.Assert(t, sent <= (heartbeats+renewals)*11/10, "%d messages, want about %d", sent, heartbeats+renewals)
}
