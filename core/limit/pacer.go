package limit

import (
	"time"

	"shallotgap/core/ident"
)

// Pacer spreads sends over time (generic cell rate algorithm): in any window there are at most rate times the window, plus burst.
type Pacer struct {
	interval time.Duration // between two sends at the full rate
	credit   time.Duration // how far a send may lie before its even place, to make up for late ones
	full     ident.Time    // when the credit is full again
}

// Constants of pacing.
const (
	// pacedShare is the share of a limit that is used, as sends may arrive closer together than they left.
	pacedShare = 0.98
	// minCredit covers the time between two decisions on waiting requests.
	minCredit = 50 * time.Millisecond
)

// NewPacer returns a pacer without credit: the first send is due one interval after now.
func NewPacer(r Rate, now ident.Time) *Pacer {
	p := &Pacer{}
	p.setRate(r)
	p.full = now.Add(p.interval + p.credit)
	return p
}

// NewShare returns the pacer of one of several hosts that share a rate without talking to each other. Hosts with different ranks,
// counted from 0, send at different times.
func NewShare(r Rate, rank, hosts int, now ident.Time) *Pacer {
	hosts = max(hosts, 1)
	interval := intervalOf(r)
	return &Pacer{interval: interval * time.Duration(hosts), full: now.Add(interval * time.Duration(rank%hosts+1))}
}

// intervalOf returns the time between two sends at a rate.
func intervalOf(r Rate) time.Duration {
	return time.Duration(float64(time.Second) / (pacedShare * float64(r.Bounded())))
}

func (p *Pacer) setRate(r Rate) {
	p.interval = intervalOf(r)
	p.credit = max(p.interval, minCredit)
}

// SetRate changes the rate. What was sent under the earlier rate stays counted, but the next send is due within one interval.
func (p *Pacer) SetRate(r Rate, now ident.Time) {
	wait := p.Wait(now)
	p.setRate(r)
	p.full = now.Add(p.credit + min(wait, p.interval))
}

// Wait returns the time until the next send is due.
func (p *Pacer) Wait(now ident.Time) time.Duration { return p.WaitFor(1, now) }

// WaitFor returns the time until the last of several sends in a row is due.
func (p *Pacer) WaitFor(sends int, now ident.Time) time.Duration {
	return max(0, max(p.full, now).Add(time.Duration(sends-1)*p.interval).Sub(now)-p.credit)
}

// Take counts a send, also one that is not due.
func (p *Pacer) Take(now ident.Time) { p.full = max(p.full, now).Add(p.interval) }

// Return takes back a send that did not take place.
func (p *Pacer) Return() { p.full = p.full.Add(-p.interval) }
