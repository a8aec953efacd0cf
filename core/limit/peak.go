package limit

import (
	"time"

	"shallotgap/core/ident"
)

// Peak is a count that rises at once, and falls once lower counts have come for PeakTTL.
type Peak struct {
	count, next int // next is the largest count since lowerSince
	lowerSince  ident.Time
	isLower     bool
}

// PeakTTL is how long a count stays after lower ones: longer than two intervals of presence, in which a control host that has started comes to
// know all entry hosts.
const PeakTTL = time.Second

// Add takes in a count and returns the one in force.
func (p *Peak) Add(n int, now ident.Time) int {
	switch {
	case n >= p.count:
		p.count, p.isLower = n, false
	case !p.isLower:
		p.isLower, p.lowerSince, p.next = true, now, n
	default:
		p.next = max(p.next, n)
		if now.Sub(p.lowerSince) >= PeakTTL {
			p.count, p.isLower = p.next, false
		}
	}
	return p.count
}
