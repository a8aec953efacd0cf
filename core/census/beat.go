package census

import (
	"encoding/binary"
	"hash/fnv"

	"shallotgap/core/ident"
)

// ShortHeartbeat is forwarded to other hosts in place of a full heartbeat whose content has not changed.
type ShortHeartbeat struct {
	Instance ident.Instance `json:"instance"`
	Seq      uint64         `json:"seq"`
	// Sum is the checksum of the content. A host that holds other content waits for the next full heartbeat.
	Sum uint64 `json:"sum"`
}

// fullHeartbeatEvery is the number of sequence numbers after which a heartbeat is sent in full even when its content is unchanged,
// for hosts that missed the last full one.
const fullHeartbeatEvery = 8

// Shorten returns the short form of heartbeat e, given the previous entry of the endpoint, or false when e must be sent in full.
func Shorten(old, e Entry) (ShortHeartbeat, bool) {
	if !sameContent(old, e) || e.Seq/fullHeartbeatEvery != old.Seq/fullHeartbeatEvery || old.checksum() != e.checksum() {
		return ShortHeartbeat{}, false
	}
	return ShortHeartbeat{Instance: e.Instance, Seq: e.Seq, Sum: e.checksum()}, true
}

// checksum returns a checksum of the models and adapters, which sameContent does not compare.
func (e Entry) checksum() uint64 {
	h := fnv.New64a()
	add := func(s string) {
		_, _ = h.Write([]byte(s)) // a hash never returns an error
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

// ObserveShort records a short heartbeat; ok is false when the heartbeat is stale or the endpoint is not known as ready. When the
// checksum does not match the known content, same is false: the returned entry has the adapters and models of an earlier
// heartbeat, but the endpoint counts as alive.
func (c *Census) ObserveShort(b ShortHeartbeat, now ident.Time) (e Entry, same, ok bool) {
	c.hear(now)
	e, known := c.entries[b.Instance.ID]
	if !known || e.Instance != b.Instance || e.State != Ready || b.Seq <= e.Seq {
		return Entry{}, false, false
	}
	e.LastHeartbeat = now
	if same = e.checksum() == b.Sum; same {
		e.Seq = b.Seq
	}
	c.entries[b.Instance.ID] = e
	c.lastHeard[b.Instance.ID] = c.heardFor
	c.staysOn(e)
	return e, same, true
}
