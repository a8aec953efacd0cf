package resume_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"shallotgap/core/census"
	"shallotgap/core/ident"
	"shallotgap/core/resume"
)

const life = 30 * time.Second

func at(d time.Duration) ident.Time { return ident.Time(time.Hour).Add(d) }

func sent(a resume.Attempt, b ident.Build) resume.Record {
	return resume.Record{Attempt: a, Service: "llm", Build: b}
}

func wrote(a resume.Attempt, b ident.Build) resume.Record {
	r := sent(a, b)
	r.Wrote = true
	return r
}

func ExampleQuery_Verdict() {
	table, builds := resume.NewTable(time.Minute, resume.Capacity), resume.NewBuilds()
	builds.Apply(resume.Command{Service: "llm", Add: []ident.Build{"v1", "v2"}})
	table.Add(resume.Record{Attempt: "a1", Service: "llm", Build: "v2", Wrote: true}, 0)
	fmt.Println(resume.Query{Attempt: "a1", Service: "llm"}.Verdict(table, builds, 0).Build)
	fmt.Println(resume.Query{Attempt: "a2", Service: "llm"}.Verdict(table, builds, 0).Known)
	// Output:
	// v2
	// false
}

// Which build began a stream follows from the attempt, or from there being one build only. Else it is not known.
func TestVerdict(t *testing.T) {
	cases := map[string]struct {
		records []resume.Record
		builds  []ident.Build
		attempt resume.Attempt
		want    resume.Verdict
	}{
		"sent to one build":                  {[]resume.Record{sent("a", "v1")}, []ident.Build{"v1", "v2"}, "a", resume.Verdict{Known: true, Service: "llm", Build: "v1", Source: resume.FromAttempt}},
		"sent to two builds":                 {[]resume.Record{sent("a", "v1"), sent("a", "v2")}, []ident.Build{"v1", "v2"}, "a", resume.Verdict{Source: resume.FromNothing}},
		"sent to two, the second one wrote":  {[]resume.Record{sent("a", "v1"), sent("a", "v2"), wrote("a", "v2")}, []ident.Build{"v1", "v2"}, "a", resume.Verdict{Known: true, Service: "llm", Build: "v2", Source: resume.FromAttempt}},
		"the writer is known before a grant": {[]resume.Record{wrote("a", "v2"), sent("a", "v1")}, []ident.Build{"v1", "v2"}, "a", resume.Verdict{Known: true, Service: "llm", Build: "v2", Source: resume.FromAttempt}},
		"another attempt":                    {[]resume.Record{sent("a", "v1")}, []ident.Build{"v1", "v2"}, "b", resume.Verdict{Source: resume.FromNothing}},
		"no attempt, one build":              {nil, []ident.Build{"v1"}, "", resume.Verdict{Known: true, Service: "llm", Build: "v1", Source: resume.FromOnlyBuild}},
		"no attempt, two builds":             {nil, []ident.Build{"v1", "v2"}, "", resume.Verdict{Source: resume.FromNothing}},
		"no attempt, no build":               {nil, nil, "", resume.Verdict{Source: resume.FromNothing}},
		"the build is gone":                  {[]resume.Record{sent("a", "v1")}, []ident.Build{"v2"}, "a", resume.Verdict{Known: true, Service: "llm", Build: "v1", Source: resume.FromAttempt}},
		"no endpoint names a build":          {[]resume.Record{sent("a", "")}, []ident.Build{""}, "a", resume.Verdict{Known: true, Service: "llm", Source: resume.FromAttempt}},
		"one of two names none":              {[]resume.Record{sent("a", "")}, []ident.Build{"", "v2"}, "a", resume.Verdict{Source: resume.FromNothing}},
		"the host that served is not sure":   {[]resume.Record{{Attempt: "a", Service: "llm", Build: "v1", Wrote: true, Unclear: true}}, []ident.Build{"v1", "v2"}, "a", resume.Verdict{Source: resume.FromNothing}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			table, builds := resume.NewTable(life, resume.Capacity), resume.NewBuilds()
			builds.Apply(resume.Command{Service: "llm", Add: c.builds})
			for _, r := range c.records {
				table.Add(r, at(0))
			}
			assert.DeepEqual(t, resume.Query{Attempt: c.attempt, Service: "llm"}.Verdict(table, builds, at(0)), c.want)
		})
	}
}

// Records end with their life, counted from the attempt also at hosts that they were passed on to, and the oldest make room.
func TestTableIsBounded(t *testing.T) {
	table := resume.NewTable(life, 3)
	table.Add(wrote("a", "v1"), at(0))
	for span, known := range map[time.Duration]bool{life: true, life + 1: false} {
		passed := resume.NewTable(life, 3)
		for _, r := range table.List(func(resume.Record) bool { return true }, at(10*time.Second)) {
			passed.Add(r, at(10*time.Second))
		}
		_, found := passed.Get("a", at(span))
		assert.Equal(t, found, known, "%v after the attempt", span)
	}
	for n := range 5 {
		table.Add(wrote(resume.Attempt(fmt.Sprint("x", n)), "v1"), at(time.Second))
	}
	assert.Equal(t, table.Len(), 3)
	assert.Equal(t, table.Dropped, 3)
	_, found := table.Get("x4", at(time.Second))
	assert.Assert(t, found)
	table.Add(resume.Record{Attempt: "old", Service: "llm", Build: "v1", Age: life + time.Second}, at(time.Second))
	assert.Equal(t, table.Len(), 3)
}

// A build stays in the table for as long as a stream can last after its last endpoint has gone, also for a leader that never saw it.
func TestBuildsFollowEndpoints(t *testing.T) {
	builds, watch := resume.NewBuilds(), resume.NewWatch()
	endpoints := func(list ...ident.Build) []census.Entry {
		var out []census.Entry
		for _, b := range list {
			out = append(out, census.Entry{Service: "llm", Build: b})
		}
		return out
	}
	step := func(w *resume.Watch, span time.Duration, list ...ident.Build) {
		for _, c := range w.Step(endpoints(list...), builds, life, at(span)) {
			builds.Apply(c)
		}
	}
	step(watch, 0, "v1", "v1", "v2")
	assert.DeepEqual(t, builds.Of("llm"), []ident.Build{"v1", "v2"})
	step(watch, 10*time.Second, "v2")
	step(watch, life, "v2")
	assert.Assert(t, builds.Mixed("llm"), "v1 was dropped too early")
	step(watch, life+time.Second, "v2")
	assert.DeepEqual(t, builds.Of("llm"), []ident.Build{"v2"})
	next := resume.NewWatch()
	step(next, life+2*time.Second, "v3")
	step(next, 2*life+2*time.Second, "v3")
	assert.Assert(t, builds.Mixed("llm"), "a new leader has not waited")
	step(next, 2*life+3*time.Second, "v3")
	assert.DeepEqual(t, builds.Of("llm"), []ident.Build{"v3"})
	assert.DeepEqual(t, resume.Restore(builds.Snapshot()).Of("llm"), builds.Of("llm"))
}

// Anyone may announce endpoints, so the number of builds is limited.
func TestBuildsAreBounded(t *testing.T) {
	builds, watch := resume.NewBuilds(), resume.NewWatch()
	var list []census.Entry
	for n := range 1000 {
		list = append(list, census.Entry{Service: "llm", Build: ident.Build(fmt.Sprint("v", n))})
	}
	for n := range 3 {
		for _, c := range watch.Step(list, builds, life, at(time.Duration(n)*time.Second)) {
			builds.Apply(c)
		}
	}
	assert.Assert(t, len(builds.Of("llm")) <= 64, "%d builds", len(builds.Of("llm")))
}
