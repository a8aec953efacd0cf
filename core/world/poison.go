package world

import (
	"hash/fnv"
	"slices"
	"time"

	"shallotgap/core/ident"
	"shallotgap/core/lease"
	"shallotgap/core/place"
	"shallotgap/core/poison"
	"shallotgap/core/route"
	"shallotgap/core/state"
	"shallotgap/core/work"
)

const (
	// breakWindow is the time within which all requests of an endpoint that crashes break.
	breakWindow = time.Second
	// restartWindow is the longest time from a crash to the first heartbeat of the next instance.
	restartWindow = time.Minute
)

// brokenRun is a request whose endpoint broke the connection.
type brokenRun struct {
	request  work.Request
	brokenAt ident.Time
}

// poisonWatch holds what this host, as the owner of endpoints, has seen of requests that may crash them.
type poisonWatch struct {
	sound  *poison.Written // parts that endpoints have answered lately
	broken map[ident.EndpointID][]brokenRun
}

func newPoisonWatch() poisonWatch {
	return poisonWatch{sound: poison.NewWritten(), broken: map[ident.EndpointID][]brokenRun{}}
}

// suspected reports whether a part of the request is suspected or on trial, and returns such a part, and whether one is blocked.
func (w *World) suspected(r work.Request) (part poison.Part, blocked bool) {
	if w.state.Poison.Len() == 0 {
		return "", false
	}
	for _, p := range r.Parts {
		switch record, known := w.state.Poison.Get(p); {
		case known && record.State == poison.Blocked:
			return p, true
		case known && part == "":
			part = p
		}
	}
	return part, false
}

// checkPoison rejects a request whose content is blocked.
func (w *World) checkPoison(r work.Request) *work.Refusal {
	part, blocked := w.suspected(r)
	if !blocked {
		return nil
	}
	return &work.Refusal{Outcome: work.NotRun, Reason: work.Poison, Step: "admit", Peer: string(part), RetryAfter: poison.RetryAfter}
}

// chooseForSuspect returns the endpoint that runs all requests with a suspected part. As its owner runs one of them at a time, the
// next crash tells the suspects apart.
func (w *World) chooseForSuspect(r work.Request, part poison.Part) (route.Candidate, route.Cause, bool) {
	list := w.index().plains[r.Service]
	if r.Service == "" {
		list = nil
		for id, e := range w.state.Owners.All() {
			if e.Kind == lease.Engine {
				list = append(list, id)
			}
		}
	}
	candidates := w.candidates(r, list)
	if len(candidates) == 0 {
		return route.Candidate{}, "", false
	}
	h := fnv.New64a()
	_, _ = h.Write([]byte(part)) // a hash never returns an error
	return candidates[h.Sum64()%uint64(len(candidates))], route.BySuspicion, true
}

// suspectMayRun reports whether a queued request with a suspected part may run now: no other one runs at the endpoint.
func (w *World) suspectMayRun(item *place.Item) bool {
	if part, _ := w.suspected(item.Request); part == "" {
		return true
	}
	for _, other := range w.items {
		if other.Endpoint == item.Endpoint && other.Running {
			if part, _ := w.suspected(other.Request); part != "" {
				return false
			}
		}
	}
	return true
}

// watchEnd learns from the end of a request at an endpoint of this host.
func (w *World) watchEnd(item *place.Item, e Ended) {
	if len(item.Parts) == 0 {
		return
	}
	if e.State == work.Answered {
		w.markWritten(item.Parts)
		return
	}
	if e.State == work.Broken && e.Reason == work.EndpointFailed {
		w.broken[item.Endpoint] = append(w.broken[item.Endpoint], brokenRun{request: item.Request, brokenAt: w.now})
	}
}

// markWritten records that an endpoint has answered requests with these parts, so they are sound.
func (w *World) markWritten(parts []poison.Part) {
	var cleared []poison.Part
	for _, p := range parts {
		w.sound.Add(p, w.now)
		if r, known := w.state.Poison.Get(p); known && r.State != poison.Blocked {
			cleared = append(cleared, p)
		}
	}
	if len(cleared) > 0 {
		w.propose(state.Command{Poison: &poison.Command{Clear: cleared}}, purpose{})
	}
}

// endpointRestarted reports the suspects of a crash: the requests that broke last before the endpoint came back as another instance. An
// endpoint that was leaving has stopped as planned, and broken connections alone prove no crash.
func (w *World) endpointRestarted(site *place.Site) {
	runs := w.broken[site.ID]
	delete(w.broken, site.ID)
	if len(runs) == 0 || site.Leaving {
		return
	}
	last := runs[len(runs)-1].brokenAt
	crash := poison.Crash{Instance: ident.Instance{ID: site.ID, Born: site.Instance}}
	for _, b := range runs {
		if last.Sub(b.brokenAt) > breakWindow || w.now.Sub(b.brokenAt) > restartWindow {
			continue
		}
		s := poison.Request{Own: poison.Part(b.request.ID.String())}
		for _, p := range b.request.Parts {
			if !w.sound.Has(p, w.now) {
				s.Parts = append(s.Parts, p)
			}
		}
		if len(s.Parts) > 0 {
			crash.Suspects = append(crash.Suspects, s)
			w.note(b.request.ID, "poison", "the endpoint crashed with it", string(site.ID))
		}
	}
	if len(crash.Suspects) > 0 {
		crash.Suspects = mergeSuspects(crash.Suspects)
		w.propose(state.Command{Poison: &poison.Command{Crash: &crash}}, purpose{})
	}
}

// mergeSuspects returns one suspect with the parts that all suspects have in common, or all suspects if there are none. An endpoint may
// crash several times between two heartbeats, each time under the same content.
func mergeSuspects(list []poison.Request) []poison.Request {
	common := slices.Clone(list[0].Parts)
	for _, s := range list[1:] {
		common = slices.DeleteFunc(common, func(p poison.Part) bool { return !slices.Contains(s.Parts, p) })
	}
	if len(common) == 0 {
		return list
	}
	return []poison.Request{{Own: list[len(list)-1].Own, Parts: common}}
}

// forgetBroken drops broken requests of endpoints that did not restart.
func (w *World) forgetBroken() {
	for id, runs := range w.broken {
		runs = slices.DeleteFunc(runs, func(b brokenRun) bool { return w.now.Sub(b.brokenAt) > restartWindow })
		if w.broken[id] = runs; len(runs) == 0 {
			delete(w.broken, id)
		}
	}
}
