package census

import "shallotgap/core/ident"

// Confirm records a sign of life of an endpoint other than a heartbeat, such as an answer. It does not count as a heartbeat, as a host
// that gets no heartbeat of any endpoint counts as cut off.
func (c *Census) Confirm(i ident.Instance, now ident.Time) bool {
	e, known := c.entries[i.ID]
	if !known || e.Instance != i || e.State == Gone {
		return false
	}
	e.LastHeartbeat = max(e.LastHeartbeat, now)
	c.entries[i.ID] = e
	c.lastHeard[i.ID] = c.heardFor
	return true
}
