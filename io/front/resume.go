package front

import (
	"context"
	"fmt"
	"slices"

	"shallotgap/core/census"
	"shallotgap/core/grant"
	"shallotgap/core/ident"
	"shallotgap/core/layout"
	"shallotgap/core/resume"
	"shallotgap/io/clock"
	"shallotgap/io/link"
)

// binding is the build at which a stream may go on, once its first event has been written.
type binding struct {
	bound bool
	build ident.Build
	// builds are the builds of the endpoints that were sent the request.
	builds map[ident.Build]struct{}
}

// bindResumed finds out at which build the stream may go on that the request takes up again. It returns false after rejecting the
// request, which has not run then, so that the caller can begin anew.
func (ex *exchange) bindResumed(ctx context.Context) bool {
	if ex.call.LastEventID == "" || ex.route.Kind != layout.Stream {
		return true
	}
	q := resume.Query{Attempt: ex.call.Resumes, Service: ex.service.Name, Route: resume.KeyOf(ex.route)}
	for _, s := range ex.route.Shares {
		if s.Weight > 0 {
			q.Services = append(q.Services, s.Service)
		}
	}
	v, knownBy, err := ex.findBuild(ctx, q)
	inputs := fmt.Sprintf("began=%s last=%s known-by=%s source=%s build=%s", q.Attempt, ex.call.LastEventID, knownBy, v.Source, v.Build)
	outcome := "bound"
	switch {
	case err != nil:
		outcome = string(grant.NoAuthority)
		inputs += " cause=" + err.Error()
	case !v.Known:
		outcome = string(grant.VersionUnknown)
	}
	ex.logDecision("resume", "", outcome, inputs)
	ex.Meter.Count("shallotgap_resumed_streams_total", "outcome", outcome)
	if outcome != "bound" {
		ex.rejectResumed(ctx, err)
		return false
	}
	if !ex.moveToService(v.Service) {
		ex.fail(string(grant.VersionGone), 0)
		return false
	}
	ex.bound, ex.build = true, v.Build
	ex.recordTakeUp()
	return true
}

// recordTakeUp records which build goes on with a stream under the id of this attempt, as the caller may name it next time.
func (ex *exchange) recordTakeUp() {
	r := resume.Record{Attempt: resume.Attempt(ex.call.ID), Service: ex.service.Name, Build: ex.build, Wrote: true}
	ex.mu.Lock()
	defer ex.mu.Unlock()
	ex.streams.Add(r, clock.Boot())
}

// moveToService moves the request to the service that began the stream, as each attempt at a split route may be given another one. It
// reports false if the route leads there no more.
func (ex *exchange) moveToService(name ident.Service) bool {
	if name == ex.service.Name {
		return true
	}
	service, found := ex.router.Load().Layout.Service(name)
	if !found || !slices.ContainsFunc(ex.route.Shares, func(s layout.Share) bool { return s.Service == name && s.Weight > 0 }) {
		return false
	}
	ex.service = service
	return true
}

func (ex *exchange) rejectResumed(ctx context.Context, err error) {
	switch {
	case ctx.Err() != nil:
		ex.fail(failureCause(ctx), 0)
	case err != nil:
		ex.fail(string(grant.NoAuthority), noAuthorityRetryAfter)
	default:
		ex.fail(string(grant.VersionUnknown), 0)
	}
}

// findBuild returns at which build a stream may go on, and the host that knows it: this one, or the leader.
func (ex *exchange) findBuild(ctx context.Context, q resume.Query) (resume.Verdict, ident.HostID, error) {
	ex.mu.Lock()
	r, found := ex.streams.Get(q.Attempt, clock.Boot())
	leader := ex.leader
	ex.mu.Unlock()
	if found && !r.Unclear && r.Build != "" {
		return resume.Verdict{Known: true, Service: r.Service, Build: r.Build, Source: resume.FromAttempt}, ex.Self, nil
	}
	v, err := ex.StreamBuild(ctx, q)
	return v, leader, err
}

// bindTo records that an endpoint of a build has written the first event of the stream. The control hosts are told, unless the leader
// knows it, as it granted that endpoint and none of another build. certain is false if the endpoint may run another build by now.
func (ex *exchange) bindTo(build ident.Build, grantedBy ident.HostID, certain bool) {
	if ex.bound {
		return
	}
	ex.bound, ex.build = true, build
	r := resume.Record{Attempt: resume.Attempt(ex.call.ID), Service: ex.service.Name, Build: build, Wrote: true, Unclear: !certain}
	ex.mu.Lock()
	ex.streams.Add(r, clock.Boot())
	ex.Meter.Gauge("shallotgap_resume_records", int64(ex.streams.Len()))
	ex.Meter.Gauge("shallotgap_resume_records_dropped", int64(ex.streams.Dropped))
	leaderKnows := grantedBy != "" && grantedBy == ex.leader && len(ex.builds) == 1
	ex.mu.Unlock()
	if !leaderKnows {
		ex.mesh.SendAll(link.Message{Begun: []resume.Record{r}}, func(h link.Hello) bool { return h.Control })
	}
}

// noteBuild notes the build of an endpoint that is sent the request.
func (ex *exchange) noteBuild(build ident.Build) {
	if ex.builds == nil {
		ex.builds = map[ident.Build]struct{}{}
	}
	ex.builds[build] = struct{}{}
}

// ofBuild returns the endpoints that may go on with the stream: all of them if it has not begun.
func (ex *exchange) ofBuild(list []census.Entry) []census.Entry {
	if !ex.bound {
		return list
	}
	var out []census.Entry
	for _, e := range list {
		if e.Build == ex.build {
			out = append(out, e)
		}
	}
	return out
}
