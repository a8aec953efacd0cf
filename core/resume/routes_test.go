package resume_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"shallotgap/core/ident"
	"shallotgap/core/layout"
	"shallotgap/core/resume"
)

// leading returns a layout whose route of streams leads to services.
func leading(timeout time.Duration, services ...ident.Service) *layout.Layout {
	r := layout.Route{Host: "h", Prefix: "/r/", Kind: layout.Stream, Timeout: timeout}
	for _, s := range services {
		r.Shares = append(r.Shares, layout.Share{Service: s, Weight: 1})
	}
	return &layout.Layout{Routes: []layout.Route{r}}
}

// An attempt that nobody knows may have begun at any service to which its route has led within the life of a stream.
func TestUnknownAttempt(t *testing.T) {
	known := func(s ident.Service) resume.Verdict {
		return resume.Verdict{Known: true, Service: s, Build: "v1", Source: resume.FromOnlyBuild}
	}
	unknown := resume.Verdict{Source: resume.FromNothing}
	for name, c := range map[string]struct {
		layouts []*layout.Layout
		records []resume.Record
		want    resume.Verdict
	}{
		"one service":            {[]*layout.Layout{leading(time.Second, "a")}, nil, known("a")},
		"two services":           {[]*layout.Layout{leading(time.Second, "a", "b")}, nil, unknown},
		"moved":                  {[]*layout.Layout{leading(time.Second, "b"), leading(time.Second, "a")}, nil, unknown},
		"one without endpoints":  {[]*layout.Layout{leading(time.Second, "a", "c")}, nil, known("a")},
		"sent to two services":   {[]*layout.Layout{leading(time.Second, "a")}, []resume.Record{{Attempt: "x", Service: "a", Build: "v1"}, {Attempt: "x", Service: "b", Build: "v1"}}, unknown},
		"known to have begun":    {[]*layout.Layout{leading(time.Second, "a", "b")}, []resume.Record{{Attempt: "x", Service: "b", Build: "v1", Wrote: true}}, resume.Verdict{Known: true, Service: "b", Build: "v1", Source: resume.FromAttempt}},
		"began at the other one": {[]*layout.Layout{leading(time.Second, "b")}, nil, unknown},
	} {
		t.Run(name, func(t *testing.T) {
			table, builds := resume.NewTable(time.Minute, resume.Capacity), resume.NewBuilds()
			builds.Apply(resume.Command{Service: "a", Add: []ident.Build{"v1"}})
			builds.Apply(resume.Command{Service: "b", Add: []ident.Build{"v1"}})
			for _, l := range c.layouts {
				builds.NoteLayout(l)
			}
			for _, r := range c.records {
				table.Add(r, 1)
			}
			assert.DeepEqual(t, resume.Query{Attempt: "x", Service: "a", Route: "h/r/"}.Verdict(table, builds, 1), c.want)
		})
	}
}

// Routes and lives are remembered for the life of the longest stream that may have begun before they changed, also by a new leader and after a
// snapshot.
func TestRoutesAreForgottenInTime(t *testing.T) {
	builds, watch := resume.NewBuilds(), resume.NewWatch()
	long, short := leading(100*time.Second, "a", "b"), leading(time.Second, "a")
	builds.NoteLayout(long)
	life := builds.Life()
	assert.Assert(t, life > 100*time.Second)
	step := func(l *layout.Layout, d time.Duration) {
		for _, c := range watch.StepRoutes(l, builds, at(d)) {
			builds.Apply(c)
		}
	}
	step(long, 0)
	builds.NoteLayout(short)
	step(short, time.Second)
	assert.Equal(t, len(builds.ServicesOf("h/r/")), 2)
	assert.Equal(t, builds.Life(), life)
	restored := resume.NewBuilds()
	restored.RestoreRoutes(builds.Routes(), short)
	builds, watch = restored, resume.NewWatch() // another leader
	step(short, 50*time.Second)
	step(short, 50*time.Second+life)
	assert.Equal(t, len(builds.ServicesOf("h/r/")), 2)
	step(short, 51*time.Second+life)
	step(short, 52*time.Second+life)
	assert.DeepEqual(t, builds.ServicesOf("h/r/"), []ident.Service{"a"})
	assert.Equal(t, builds.Life(), resume.LifeOf(short))
}
