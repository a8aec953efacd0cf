package front

import (
	"time"

	"shallotgap/core/ident"
	"shallotgap/core/layout"
	"shallotgap/io/clock"
	"shallotgap/io/link"
)

// A fetch without a response is repeated after fetchRetryInterval, and then after twice the time before each further one: copies of a
// large layout that arrive at the same time delay each other.
const (
	fetchRetryInterval = 300 * time.Millisecond
	maxFetchDoublings  = 4
)

// pendingFetch is the last fetch, until its response arrives.
type pendingFetch struct {
	sentAt ident.Time // 0 for none
	from   ident.HostID
	tries  int
}

// isDue reports whether a fetch may be sent.
func (p *pendingFetch) isDue(now ident.Time) bool {
	return p.sentAt == 0 || now.Sub(p.sentAt) >= fetchRetryInterval<<min(p.tries-1, maxFetchDoublings)
}

func (p *pendingFetch) sent(to ident.HostID, now ident.Time) {
	p.sentAt, p.from = now, to
	p.tries++
}

// answered ends the fetch.
func (p *pendingFetch) answered() { *p = pendingFetch{} }

// linkDown ends a fetch whose response can't arrive any more.
func (p *pendingFetch) linkDown(h ident.HostID) {
	if p.from == h {
		*p = pendingFetch{}
	}
}

// fetchIfBehind requests the layout, adapter versions, blocked parts and limits from a control host that has newer ones than this host.
func (f *Front) fetchIfBehind(from ident.HostID, s link.Status) {
	current := f.layoutVersion()
	now := clock.Boot()
	f.mu.Lock()
	behind := s.Layout > current || s.Changes > f.versionChanges || s.Poison > f.poison.Changes || s.Limits > f.limits.table.Changes
	due := behind && f.fetch.isDue(now)
	if due {
		f.fetch.sent(from, now)
	}
	fetch := f.fetchNewer(current)
	f.mu.Unlock()
	if due {
		f.mesh.Send(from, link.Message{Fetch: &fetch})
	}
}

// fetchNewer returns the request for what is newer than a version of the layout and this host's other state. f.mu must be held.
func (f *Front) fetchNewer(current layout.Version) link.Fetch {
	return link.Fetch{Layout: current, Changes: f.versionChanges, Poison: f.poison.Changes, Limits: f.limits.table.Changes}
}
