// Package probe measures how hosts agree on shared state: failure detection, elections, take-overs of endpoints, edits of
// the table, starts of a voter and the cost of an idle host.
package probe

import (
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"time"

	"shallotgap/core/ident"
	"shallotgap/core/lease"
	"shallotgap/core/wire"
	"shallotgap/core/world"
	"shallotgap/io/peer"
)

// detection calculates the network cost and the detection times of one method of failure detection for a number of hosts.
type detection struct {
	messages, bytes  float64 // per second, over all hosts
	busiestHostBytes float64 // bytes per second that the busiest host sends and receives
	// untilDecider are the times from a crash until host 0, which decides on the reaction, has detected it; untilAll are the
	// times until every host has detected it.
	untilDecider, untilAll []time.Duration
	hosts                  int
	// period is the time between two heartbeats of a host, timeout the time without a heartbeat after which
	// the host counts as failed.
	period, timeout, linkDelay time.Duration
	rand                       *rand.Rand
}

// Sample messages, from which the size of each kind of message is calculated.
var (
	renewFrame = peer.Frame{From: "host-123", Control: &world.Message{
		Renew: &lease.RenewRequest{Sent: 1 << 40, Incarnation: 1 << 60, Applied: 1 << 24},
	}}
	renewedFrame = peer.Frame{From: "host-123", Control: &world.Message{
		Renewed: &lease.RenewReply{Sent: 1 << 40, Incarnation: 1 << 60, Term: 1 << 10},
	}}
	pollFrame      = peer.Frame{From: "host-123", Control: &world.Message{Renewed: &lease.RenewReply{Down: []ident.HostID{"host-124"}}}}
	heartbeatFrame = peer.Frame{From: "host-123", Control: &world.Message{Renew: &lease.RenewRequest{Incarnation: 1 << 60}}}
)

// frameSize returns the encoded size of a message in bytes, or 0 if it cannot be encoded.
func frameSize(f peer.Frame) float64 {
	data, err := wire.Marshal(f)
	if err != nil {
		return 0
	}
	return float64(len(data))
}

// crashTrials is the number of simulated crashes for each method and number of hosts.
const crashTrials = 400

// Detect compares three methods of failure detection: every host renews a lease at the leader ("star"), every host sends
// heartbeats to all hosts ("all-to-all"), and every host polls its successor in a ring, after Larrea, Fernández and
// Arévalo (2004). All use the period and the timeout of the leases.
func Detect(out io.Writer) error {
	p := world.Defaults().Lease
	for _, hosts := range []int{7, 50, 150, 410} {
		for _, method := range []string{"star", "all-to-all", "ring"} {
			d := detection{
				hosts: hosts, period: p.Renew, timeout: p.Length + p.Margin, linkDelay: 1500 * time.Microsecond,
				rand: rand.New(rand.NewPCG(1, uint64(hosts))),
			}
			d.run(method)
			_, err := fmt.Fprintf(out, "hosts=%d way=%s messages-per-s=%.0f bytes-per-s=%.0f busiest-bytes-per-s=%.0f decider-p50=%v decider-max=%v all-p50=%v all-max=%v\n",
				hosts, method, d.messages, d.bytes, d.busiestHostBytes,
				quantile(d.untilDecider, 0.5), quantile(d.untilDecider, 1), quantile(d.untilAll, 0.5), quantile(d.untilAll, 1))
			if err != nil {
				return err
			}
		}
	}
	return nil
}

// run calculates the costs of a method and simulates its crashes.
func (d *detection) run(method string) {
	n, rate := float64(d.hosts), float64(time.Second)/float64(d.period)
	switch method {
	case "star":
		bytesPerRenewal := frameSize(renewFrame) + frameSize(renewedFrame)
		d.messages = 2 * (n - 1) * rate
		d.bytes = (n - 1) * rate * bytesPerRenewal
		d.busiestHostBytes = d.bytes
	case "all-to-all":
		d.messages = n * (n - 1) * rate
		d.bytes = d.messages * frameSize(heartbeatFrame)
		d.busiestHostBytes = 2 * (n - 1) * rate * frameSize(heartbeatFrame)
	case "ring":
		d.messages = 2 * n * rate
		d.bytes = n * rate * (frameSize(pollFrame) + frameSize(heartbeatFrame))
		d.busiestHostBytes = 2 * d.bytes / n
	}
	for range crashTrials {
		decider, all := d.crash(method)
		d.untilDecider = append(d.untilDecider, decider)
		d.untilAll = append(d.untilAll, all)
	}
}

// crash simulates the crash of a random host at time 0. It returns the times until host 0, which decides on the reaction,
// and until every host has detected the crash.
func (d *detection) crash(method string) (decider, all time.Duration) {
	// phase is the offset of each host's heartbeats within the period.
	phase := make([]time.Duration, d.hosts)
	for i := range phase {
		phase[i] = time.Duration(d.rand.Int64N(int64(d.period)))
	}
	crashed := 1 + d.rand.IntN(d.hosts-1)
	// The crashed host sent its last heartbeat at -phase.
	detected := d.timeout - phase[crashed] + d.linkDelay
	switch method {
	case "star":
		last := detected
		for i := range phase {
			if i != crashed && i != 0 {
				last = max(last, d.nextSend(phase[i], detected-d.linkDelay)+2*d.linkDelay)
			}
		}
		return detected, last
	case "all-to-all":
		return detected, detected
	default:
		return d.crashInRing(phase, crashed)
	}
}

// crashInRing is crash for the ring. The predecessor of the crashed host detects the crash. With its next poll it informs
// its new successor, and each informed host informs its own successor in the same way.
func (d *detection) crashInRing(phase []time.Duration, crashed int) (decider, all time.Duration) {
	host := (crashed + d.hosts - 1) % d.hosts
	// The first poll after the crash gets no reply.
	informed := d.nextSend(phase[host], 0) + d.timeout
	for {
		if host == 0 {
			decider = informed
		}
		next := (host + 1) % d.hosts
		if next == crashed {
			next = (next + 1) % d.hosts
		}
		if next == (crashed+d.hosts-1)%d.hosts {
			return decider, informed
		}
		informed = d.nextSend(phase[host], informed) + d.linkDelay
		host = next
	}
}

// nextSend returns the first time at or after t at which a host with the given phase sends a message.
func (d *detection) nextSend(phase, t time.Duration) time.Duration {
	since := (t - phase) % d.period
	if since < 0 {
		since += d.period
	}
	if since == 0 {
		return t
	}
	return t + d.period - since
}

// quantile returns the quantile q of a list, rounded to a millisecond, or 0 for an empty list.
func quantile(list []time.Duration, q float64) time.Duration {
	if len(list) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(list))
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))].Round(time.Millisecond)
}
