package claim

import (
	"container/heap"

	"shallotgap/core/ident"
)

// expiry is a time at which a record must be checked: the end of its claim (Ends) or of its own lifetime (Expires).
type expiry struct {
	at      int64 // wall-clock second (Unix)
	name    Name
	request ident.RequestID
}

// expiries is a min-heap of expiries, ordered by time.
type expiries []expiry

var _ heap.Interface = (*expiries)(nil)

// Len implements heap.Interface.
func (x expiries) Len() int { return len(x) }

// Less implements heap.Interface; the earlier time comes first.
func (x expiries) Less(i, j int) bool { return x[i].at < x[j].at }

// Swap implements heap.Interface.
func (x expiries) Swap(i, j int) { x[i], x[j] = x[j], x[i] }

// Push implements heap.Interface.
func (x *expiries) Push(v any) { *x = append(*x, v.(expiry)) }

// Pop implements heap.Interface.
func (x *expiries) Pop() any {
	last := (*x)[len(*x)-1]
	*x = (*x)[:len(*x)-1]
	return last
}

// openRecheckSeconds is the interval at which a claim that is still open after its expiry is checked again.
const openRecheckSeconds = 60

// Clock returns the latest wall-clock second (Unix) that was passed to Expire.
func (reg *Registry) Clock() int64 { return reg.clock }

// Expire deletes the records that expired before the wall-clock second now (Unix) and marks open claims past their Ends as
// in-doubt. Other open claims are kept. The cost grows with the number of records that are due.
func (reg *Registry) Expire(now int64) {
	reg.clock = max(reg.clock, now)
	now = reg.clock
	for len(reg.expiries) > 0 && reg.expiries[0].at < now {
		end := heap.Pop(&reg.expiries).(expiry)
		r, ok := reg.records[end.name]
		if !ok || r.Request != end.request {
			continue
		}
		if r.State == Claimed && !reg.markOverdueInDoubt(r) {
			end.at = now + openRecheckSeconds
			heap.Push(&reg.expiries, end)
			continue
		}
		if r.Expires < now {
			delete(reg.records, end.name)
		}
	}
}

// markOverdueInDoubt marks an open claim as in-doubt if its Ends has passed, and reports whether it did.
func (reg *Registry) markOverdueInDoubt(r *Record) bool {
	if r.Ends == 0 || r.Ends >= reg.clock {
		return false
	}
	r.State = InDoubt
	reg.removeOpen(r)
	return true
}
