// Package probe measures the state side of the system: failure detection, elections, take-overs, edits and starts.
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

// detection is what one way to detect failures costs and how fast it is, for one number of hosts.
type detection struct {
	messages, bytes       float64 // a second, over all hosts
	busiest               float64 // bytes a second sent and received by the busiest host
	decider, firstToAll   []time.Duration
	hosts                 int
	period, timeout, link time.Duration
	rand                  *rand.Rand
}

// Shapes of a message of each way, for its size in bytes.
var (
	renewFrame   = peer.Frame{From: "host-123", Control: &world.Message{Renew: &lease.RenewRequest{Sent: 1 << 40, Incarnation: 1 << 60, Applied: 1 << 24}}}
	renewedFrame = peer.Frame{From: "host-123", Control: &world.Message{Renewed: &lease.RenewReply{Sent: 1 << 40, Incarnation: 1 << 60, Term: 1 << 10}}}
	pollFrame    = peer.Frame{From: "host-123", Control: &world.Message{Renewed: &lease.RenewReply{Down: []ident.HostID{"host-124"}}}}
	aliveFrame   = peer.Frame{From: "host-123", Control: &world.Message{Renew: &lease.RenewRequest{Incarnation: 1 << 60}}}
)

func sizeOf(f peer.Frame) float64 {
	data, err := wire.Marshal(f)
	if err != nil {
		return 0
	}
	return float64(len(data))
}

// trials is the number of crashes over which detection times are taken.
const trials = 400

// Detect compares leases to a leader, heartbeats from all to all, and the polling ring of Larrea, Fernández and Arévalo
// (2004), all with the period and the timeout of the leases.
func Detect(out io.Writer) error {
	p := world.Defaults().Lease
	for _, n := range []int{7, 50, 150, 410} {
		for _, way := range []string{"star", "all-to-all", "ring"} {
			d := detection{hosts: n, period: p.Renew, timeout: p.Length + p.Margin, link: 1500 * time.Microsecond, rand: rand.New(rand.NewPCG(1, uint64(n)))}
			d.run(way)
			_, err := fmt.Fprintf(out, "hosts=%d way=%s messages-per-s=%.0f bytes-per-s=%.0f busiest-bytes-per-s=%.0f decider-p50=%v decider-max=%v all-p50=%v all-max=%v\n",
				n, way, d.messages, d.bytes, d.busiest, at(d.decider, 0.5), at(d.decider, 1), at(d.firstToAll, 0.5), at(d.firstToAll, 1))
			if err != nil {
				return err
			}
		}
	}
	return nil
}

func (d *detection) run(way string) {
	n, rate := float64(d.hosts), float64(time.Second)/float64(d.period)
	switch way {
	case "star":
		each := sizeOf(renewFrame) + sizeOf(renewedFrame)
		d.messages = 2 * (n - 1) * rate
		d.bytes = (n - 1) * rate * each
		d.busiest = d.bytes
	case "all-to-all":
		d.messages = n * (n - 1) * rate
		d.bytes = d.messages * sizeOf(aliveFrame)
		d.busiest = 2 * (n - 1) * rate * sizeOf(aliveFrame)
	case "ring":
		d.messages = 2 * n * rate
		d.bytes = n * rate * (sizeOf(pollFrame) + sizeOf(aliveFrame))
		d.busiest = 2 * d.bytes / n
	}
	for range trials {
		first, all := d.crash(way)
		d.decider = append(d.decider, first)
		d.firstToAll = append(d.firstToAll, all)
	}
}

// crash returns the time from a crash until one host that decides knows, and until all hosts know. Host 0 decides.
func (d *detection) crash(way string) (decider, all time.Duration) {
	phase := make([]time.Duration, d.hosts)
	for i := range phase {
		phase[i] = time.Duration(d.rand.Int64N(int64(d.period)))
	}
	dead := 1 + d.rand.IntN(d.hosts-1)
	// The last sign of life before the crash at time 0 was sent at -phase.
	known := d.timeout - phase[dead] + d.link
	switch way {
	case "star":
		last := known
		for i := range phase {
			if i != dead && i != 0 {
				last = max(last, d.next(phase[i], known-d.link)+2*d.link)
			}
		}
		return known, last
	case "all-to-all":
		return known, known
	default:
		return d.goRound(phase, dead)
	}
}

// goRound follows the news along the ring: the predecessor finds out, then each poll carries it one host further.
func (d *detection) goRound(phase []time.Duration, dead int) (decider, all time.Duration) {
	at := (dead + d.hosts - 1) % d.hosts
	// The first poll after the crash gets no reply.
	known := d.next(phase[at], 0) + d.timeout
	for {
		if at == 0 {
			decider = known
		}
		next := (at + 1) % d.hosts
		if next == dead {
			next = (next + 1) % d.hosts
		}
		if next == (dead+d.hosts-1)%d.hosts {
			return decider, known
		}
		known = d.next(phase[at], known) + d.link
		at = next
	}
}

// next returns the first time at or after t at which a host of that phase sends.
func (d *detection) next(phase, t time.Duration) time.Duration {
	since := (t - phase) % d.period
	if since < 0 {
		since += d.period
	}
	if since == 0 {
		return t
	}
	return t + d.period - since
}

// at returns a quantile of a list, rounded to a millisecond.
func at(list []time.Duration, q float64) time.Duration {
	if len(list) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(list))
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))].Round(time.Millisecond)
}
