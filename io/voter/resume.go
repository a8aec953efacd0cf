package voter

import (
	"fmt"
	"slices"
	"time"

	"shallotgap/core/book"
	"shallotgap/core/census"
	"shallotgap/core/ident"
	"shallotgap/core/resume"
	"shallotgap/io/clock"
	"shallotgap/io/link"
)

// buildsInterval is the time between two looks at the builds of all endpoints. Changes of endpoints are looked at at once.
const buildsInterval = time.Second

// watchBuilds proposes the changes of the replicated table of builds that the known endpoints call for.
func (v *Voter) watchBuilds(now ident.Time) {
	l := v.leadership
	if now < l.buildsDue || v.book.Layout == nil {
		return
	}
	l.buildsDue = now.Add(buildsInterval)
	endpoints := slices.DeleteFunc(v.census.List(), func(e census.Entry) bool {
		_, found := v.book.Layout.Service(e.Service)
		return !found
	})
	commands := l.builds.Step(endpoints, v.book.Builds, v.book.Builds.Life(), now)
	for _, c := range append(commands, l.builds.StepRoutes(v.book.Layout, v.book.Builds, now)...) {
		v.proposeCommand("builds", book.Command{Builds: &c})
	}
}

// logBuilds logs a change of the builds of a service. Once there are several, the other control hosts need the records of all streams.
func (v *Voter) logBuilds(c resume.Command) {
	if c.Service == "" {
		v.streams.Life = v.book.Builds.Life()
		v.Log.WithField("step", "builds").WithField("routes", len(c.Routes)).WithField("life", v.streams.Life.String()).WithField("outcome", "routes-forgotten").Info("builds")
		return
	}
	builds := v.book.Builds.Of(c.Service)
	v.Log.WithField("step", "builds").WithField("service", c.Service).WithField("builds", fmt.Sprint(builds)).WithField("added", fmt.Sprint(c.Add)).WithField("dropped", fmt.Sprint(c.Drop)).Info("builds")
	v.Meter.Gauge("shallotgap_builds", int64(len(builds)), "service", string(c.Service))
	if v.leadership != nil && len(c.Add) > 0 && v.book.Builds.Mixed(c.Service) {
		v.newStreams = v.streams.List(func(r resume.Record) bool { return v.book.Builds.Mixed(r.Service) }, clock.Boot())
	}
}

// addStreams adds records of streams on the leader, and queues those for the other control hosts that services with several builds need.
func (v *Voter) addStreams(list []resume.Record, now ident.Time) {
	for _, r := range list {
		v.streams.Add(r, now)
		if v.book.Builds.Mixed(r.Service) {
			v.newStreams = append(v.newStreams, r)
		}
	}
}

// flushStreams sends the queued records to the other control hosts, one of which may lead next.
func (v *Voter) flushStreams() {
	if len(v.newStreams) == 0 {
		return
	}
	v.mesh.SendAll(link.Message{Begun: v.newStreams}, func(h link.Hello) bool { return h.Control })
	v.newStreams = nil
	v.Meter.Gauge("shallotgap_resume_records", int64(v.streams.Len()))
	v.Meter.Gauge("shallotgap_resume_records_dropped", int64(v.streams.Dropped))
}

// sendStreams sends a newly linked control host, which may have just started, the records that services with several builds need.
func (v *Voter) sendStreams(to ident.HostID) {
	if list := v.streams.List(func(r resume.Record) bool { return v.book.Builds.Mixed(r.Service) }, clock.Boot()); len(list) > 0 {
		v.mesh.Send(to, link.Message{Begun: list})
	}
}

// answerStream answers at which build a stream may go on. A new leader that does not know waits until the entry hosts have sent what
// they hold.
func (v *Voter) answerStream(from ident.HostID, c link.Call) {
	now := clock.Boot()
	verdict := c.Stream.Verdict(v.streams, v.book.Builds, now)
	if settled := v.settledAt(); !verdict.Known && now < settled {
		time.AfterFunc(settled.Sub(now), func() { v.post(func() { v.serveCall(from, c) }) })
		return
	}
	v.reply(from, link.Answer{ID: c.ID, Done: true, Stream: &verdict})
}

// settledAt returns the time from which this leader holds what the entry hosts have sent it.
func (v *Voter) settledAt() ident.Time {
	if v.leadership == nil {
		return clock.Boot().Add(v.GrantParams.SettleTime)
	}
	return v.leadership.startedAt.Add(v.GrantParams.SettleTime)
}
