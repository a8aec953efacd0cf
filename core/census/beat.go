package census

import (
	"encoding/binary"
	"hash/fnv"

	"shallotgap/core/ident"
)

// ShortHeartbeat is a heartbeat that says the same of an endpoint as the one before it.
type ShortHeartbeat struct {
	Instance ident.Instance `json:"instance"`
	Seq      uint64         `json:"seq"`
	// Sum is the checksum of what it says; who knows something else waits for a whole heartbeat.
	Sum uint64 `json:"sum"`
}

// wholeEvery is the number of heartbeats of an endpoint of which one is told as a whole although it says nothing new, for
// hosts that missed the last such one.
const wholeEvery = 8

// Shorten returns how a heartbeat is told to other hosts: as a beat when former, what was known before, says the same, and
// else as a whole.
func Shorten(former, e Entry) (ShortHeartbeat, bool) {
	if !same(former, e) || e.Seq%wholeEvery == 0 || former.sum() != e.sum() {
		return ShortHeartbeat{}, false
	}
	return ShortHeartbeat{Instance: e.Instance, Seq: e.Seq, Sum: e.sum()}, true
}

// sum is a checksum of what an entry says that changes without being a change of the endpoint.
func (e Entry) sum() uint64 {
	h := fnv.New64a()
	add := func(s string) {
		_, _ = h.Write([]byte(s)) // a hash takes all
		_, _ = h.Write([]byte{0})
	}
	for _, m := range e.Models {
		add(m)
	}
	for _, a := range e.Held {
		add(a.Model)
		add(string(a.Adapter))
		_, _ = h.Write(binary.BigEndian.AppendUint64(nil, a.Version))
	}
	return h.Sum64()
}

// ObserveShort takes a beat; false when it is old or of an endpoint that this host does not know as ready. Same is true when it
// says what the returned entry holds; otherwise the entry is alive, and what it holds is of an earlier heartbeat.
func (c *Census) ObserveShort(b ShortHeartbeat, now ident.Time) (e Entry, same, ok bool) {
	e, known := c.entries[b.Instance.ID]
	if !known || e.Instance != b.Instance || e.State != Ready || b.Seq <= e.Seq {
		return Entry{}, false, false
	}
	e.LastHeartbeat = now
	if same = e.sum() == b.Sum; same {
		e.Seq = b.Seq
	}
	c.entries[b.Instance.ID] = e
	return e, same, true
}
