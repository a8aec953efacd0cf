package census

import (
	"time"

	"shallotgap/core/ident"
)

// An entry of another writer may look like a later heartbeat, or a later start, of an endpoint, and can't be told from one by itself.
// The endpoint then goes on with heartbeats that look older, while nothing more comes of the other entry.
const (
	// doubtSpan is how long heartbeats that look older must go on: longer than the spread of late heartbeats, which arrive at once
	// when a cut ends.
	doubtSpan = 10 * time.Second
	// doubtCount is how many of them there must be, with rising numbers.
	doubtCount = 5
)

// doubt holds the heartbeats of an endpoint that look older than what is known.
type doubt struct {
	instance ident.Instance
	address  string
	seq      uint64
	since    ident.Time
	count    int
}

// mayPrevail reports whether a heartbeat that looks older can replace the stored entry. It can't if the endpoint itself reported that it
// drains or has left.
func (c *Census) mayPrevail(e Entry) bool {
	old, known := c.entries[e.Instance.ID]
	return e.State == Ready && (!known || old.State == Ready || c.lostAddress[e.Instance.ID])
}

// doubted records a heartbeat that looks older than what is known, and reports whether the endpoint prevails over that.
func (c *Census) doubted(e Entry, now ident.Time) bool {
	d := c.doubts[e.Instance.ID]
	switch {
	case d.instance != e.Instance || d.address != e.Address:
		c.endDoubt(e.Instance.ID)
		d = doubt{instance: e.Instance, address: e.Address, seq: e.Seq, since: now, count: 1}
	case e.Seq <= d.seq:
		return false
	default:
		d.seq = e.Seq
		d.count++
	}
	if d.count < doubtCount || now.Sub(d.since) < doubtSpan {
		if len(c.doubts) < maxEntries {
			c.doubts[e.Instance.ID], c.doubtAt[e.Address] = d, e.Instance.ID
		}
		return false
	}
	return true
}

// confirm ends the doubts about an entry for which a heartbeat has arrived.
func (c *Census) confirm(e Entry) {
	c.endDoubt(e.Instance.ID)
	c.endDoubt(c.doubtAt[e.Address])
}

func (c *Census) endDoubt(id ident.EndpointID) {
	if d, known := c.doubts[id]; known {
		delete(c.doubts, id)
		delete(c.doubtAt, d.address)
	}
}

// prevail puts an entry in place of those that look later.
func (c *Census) prevail(e Entry) {
	if old, known := c.entries[e.Instance.ID]; known {
		c.drop(old)
	}
	c.put(e)
	c.displace(e)
	c.confirm(e)
}
