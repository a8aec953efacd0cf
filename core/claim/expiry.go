package claim

import (
	"container/heap"

	"shallotgap/core/ident"
)

// expiry is the end of one record's life.
type expiry struct {
	at      int64 // wall-clock second (Unix)
	name    Name
	request ident.RequestID
}

// expiries is a heap with the earliest end first.
type expiries []expiry

var _ heap.Interface = (*expiries)(nil)

// Len returns the number of ends.
func (x expiries) Len() int { return len(x) }

// Less orders by time.
func (x expiries) Less(i, j int) bool { return x[i].at < x[j].at }

// Swap exchanges two ends.
func (x expiries) Swap(i, j int) { x[i], x[j] = x[j], x[i] }

// Push adds an end.
func (x *expiries) Push(v any) { *x = append(*x, v.(expiry)) }

// Pop removes the last end.
func (x *expiries) Pop() any {
	last := (*x)[len(*x)-1]
	*x = (*x)[:len(*x)-1]
	return last
}

// openGrace is the time in seconds after which an open claim past its life is looked at again.
const openGrace = 60

// Clock returns the latest wall-clock second (Unix) that Expire was given.
func (b *Registry) Clock() int64 { return b.clock }

// Expire forgets the records whose life ended before the wall-clock second now, and turns open claims past their
// Ends into in-doubt ones. Other open claims are kept. The cost grows with the records that it changes.
func (b *Registry) Expire(now int64) {
	b.clock = max(b.clock, now)
	now = b.clock
	for len(b.ends) > 0 && b.ends[0].at < now {
		end := heap.Pop(&b.ends).(expiry)
		r, ok := b.records[end.name]
		if !ok || r.Request != end.request {
			continue
		}
		if r.State == Claimed && !b.overdue(r) {
			end.at = now + openGrace
			heap.Push(&b.ends, end)
			continue
		}
		if r.Expires < now {
			delete(b.records, end.name)
		}
	}
}

// overdue turns an open claim past its Ends into an in-doubt one.
func (b *Registry) overdue(r *Record) bool {
	if r.Ends == 0 || r.Ends >= b.clock {
		return false
	}
	r.State = InDoubt
	b.unlist(r)
	return true
}
