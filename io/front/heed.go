package front

import (
	"fmt"
	"hash/fnv"
	"net/http"

	"shallotgap/core/heed"
	"shallotgap/core/ident"
	"shallotgap/io/clock"
	"shallotgap/io/link"
)

// noteSaid records what an answer says of its endpoint, and tells the authority.
func (ex *exchange) noteSaid(i ident.Instance, v Verdict, status, slots int) {
	if v.Mismatched || (!v.IsBrittle && (!v.Authentic || status/100 != http.StatusOK/100)) {
		return // only a success of its own ends what an endpoint said
	}
	now := clock.Boot()
	ex.mu.Lock()
	changed, tell := ex.heed.Note(i, v.Brittle, v.IsBrittle, now)
	if v.NotRun && isFull(status) {
		ex.heed.Rejected(i, ex.entryHosts, now)
	}
	leader := ex.leader
	ex.mu.Unlock()
	if changed || v.BadHeader != "" {
		ex.logDecision("brittle", i.ID, map[bool]string{true: "named", false: "ended"}[v.IsBrittle], fmt.Sprintf("number=%g bad=%s status=%d", float64(v.Brittle), v.BadHeader, status))
	}
	if !tell || leader == "" {
		return
	}
	r := heed.Report{Instance: i, Service: ex.service.Name, NotBrittle: !v.IsBrittle, Slots: slots}
	if v.IsBrittle {
		r.Brittle = &v.Brittle
	}
	ex.mesh.Send(leader, link.Message{Said: &r})
}

// isFull reports whether a status with which an endpoint did not run a request means that it has no room.
func isFull(status int) bool {
	return status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests
}

// shareOf reports whether this host may send to a brittle endpoint without a leader, while some of its requests run there. f.mu must be held.
func (f *Front) shareOf(i ident.Instance, slots, running int) bool {
	h := fnv.New64a()
	_, _ = h.Write([]byte(f.Self))
	return f.heed.Share(i, slots, f.entryHosts, running, h.Sum64(), clock.Boot())
}

// engineShare is shareOf for an engine. f.mu must be held.
func (f *Front) engineShare(name ident.Service, i ident.Instance) bool {
	running := 0
	for _, r := range f.grantRequests {
		if r.place != nil && r.place.Instance == i {
			running++
		}
	}
	s, known := f.router.Load().Layout.Service(name)
	return known && s.Engine != nil && f.shareOf(i, s.Engine.Slots, running)
}
