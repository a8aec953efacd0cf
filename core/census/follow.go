package census

import (
	"encoding/binary"
	"hash/fnv"
	"time"

	"shallotgap/core/ident"
)

// Digest identifies the endpoints that followers of a census need. Two hosts with the same digest know the same endpoints in the
// same states; the numbers of heartbeats do not count.
type Digest struct {
	Count int    `json:"count"`
	Sum   uint64 `json:"sum"`
}

// isPlain reports whether a service runs no model, so that entry hosts choose its endpoints themselves.
type isPlain = func(ident.Service) bool

// isFollowed reports whether followers need to know an endpoint: those of plain services, and engines that accept no new
// requests. Other engines matter only to the grant authority.
func isFollowed(e Entry, plain isPlain) bool { return e.State != Ready || plain(e.Service) }

// Followed returns the endpoints of a list that followers need, without adapters and models.
func Followed(list []Entry, plain func(ident.Service) bool) []Entry {
	var out []Entry
	for _, e := range list {
		if isFollowed(e, plain) {
			e.Held, e.Models = nil, nil
			out = append(out, e)
		}
	}
	return out
}

// DigestOf returns the digest of the endpoints of a list that followers need and that have not left.
func DigestOf(list []Entry, plain func(ident.Service) bool) Digest {
	var d Digest
	for _, e := range list {
		if e.State != Gone && isFollowed(e, plain) {
			d.Count++
			d.Sum += e.identity() // a sum does not depend on the order
		}
	}
	return d
}

// identity returns a checksum of what sameContent compares.
func (e Entry) identity() uint64 {
	h := fnv.New64a()
	for _, s := range []string{string(e.Instance.ID), string(e.Service), e.Address, string(e.Domain)} {
		_, _ = h.Write([]byte(s)) // a hash never returns an error
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(binary.BigEndian.AppendUint64(nil, uint64(e.Instance.Born)))
	_, _ = h.Write([]byte{byte(e.State)})
	_, _ = h.Write(binary.BigEndian.AppendUint64(nil, uint64(e.Slots)))
	_, _ = h.Write([]byte(e.Build))
	return h.Sum64()
}

// Follower is the census of a host to which endpoints send no heartbeats. It learns of changes from messages and compares itself
// with a control host by digests, so that a lost message is made up for. Silence alone removes no endpoint.
type Follower struct {
	*Census
	// differsSince is the time since which the digest of the control host has differed; 0 while both agree.
	differsSince ident.Time
	requestedAt  ident.Time // time of the latest request for the list
}

// NewFollower returns an empty census for a host that gets no heartbeats.
func NewFollower() *Follower {
	c := New(DefaultRetention)
	c.follows = true
	return &Follower{Census: c}
}

// Times of the comparison with a control host.
const (
	// listAfter is how long the digests must differ before the list is requested. Messages of other control hosts may be ahead
	// of those of the one compared with.
	listAfter = time.Second
	// listInterval is the time between two requests while the digests still differ.
	listInterval = 5 * time.Second
)

// NeedsList compares the follower with the digest of a control host, and reports whether its list should be requested now.
func (f *Follower) NeedsList(d Digest, plain func(ident.Service) bool, now ident.Time) bool {
	switch {
	case d == DigestOf(f.List(), plain):
		f.differsSince = 0
		return false
	case f.differsSince == 0:
		f.differsSince = now
		return false
	case now.Sub(f.differsSince) < listAfter || now.Sub(f.requestedAt) < listInterval:
		return false
	}
	f.requestedAt = now
	return true
}

// Trust marks the entries of a control host's list that outweigh later starts of the same endpoints: the control host hears the
// endpoints, and of the later starts nothing has come for long.
func (f *Follower) Trust(list []Entry, now ident.Time) {
	for i, e := range list {
		old, known := f.Get(e.Instance.ID)
		list[i].Prevails = known && old.Instance.Born > e.Instance.Born && now.Sub(old.LastHeartbeat) > doubtSpan
	}
}

// RemoveMissing removes the endpoints that are missing from the list of a control host and returns them. Those that the follower
// heard of within the retention stay, as the control host may not have heard of them yet.
func (f *Follower) RemoveMissing(list []Entry, plain func(ident.Service) bool, now ident.Time) []Entry {
	listed := map[ident.EndpointID]bool{}
	for _, e := range list {
		listed[e.Instance.ID] = true
	}
	var removed []Entry
	for _, e := range f.List() {
		if !listed[e.Instance.ID] && isFollowed(e, plain) && now.Sub(e.LastHeartbeat) > f.Retention {
			f.drop(e)
			removed = append(removed, e)
		}
	}
	return removed
}
