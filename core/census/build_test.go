package census_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"shallotgap/core/census"
	"shallotgap/core/ident"
)

// The build belongs to an instance: a restart may change it, a later heartbeat of the same instance can't.
func TestBuildBelongsToInstance(t *testing.T) {
	entry := func(born ident.Incarnation, seq uint64, b ident.Build) census.Entry {
		return census.Entry{Instance: ident.Instance{ID: "e", Born: born}, Seq: seq, Service: "llm", Address: "e:1", State: census.Ready, Build: b}
	}
	cases := map[string]struct {
		next   census.Entry
		effect census.Effect
		want   ident.Build
	}{
		"the same":                  {entry(1, 2, "v1"), census.Unchanged, "v1"},
		"a heartbeat without one":   {entry(1, 2, ""), census.Unchanged, "v1"},
		"a heartbeat with another":  {entry(1, 2, "v2"), census.Unchanged, "v1"},
		"a restart as another":      {entry(2, 1, "v2"), census.Changed, "v2"},
		"a restart without one":     {entry(2, 1, ""), census.Changed, ""},
		"late, of an earlier start": {entry(0, 9, "v2"), census.Stale, "v1"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			table := census.New(time.Minute)
			table.Observe(entry(1, 1, "v1"), 1)
			assert.Equal(t, table.Observe(c.next, 2), c.effect)
			e, _ := table.Get("e")
			assert.Equal(t, e.Build, c.want)
		})
	}
}

// A host that missed the heartbeat in which the build was first named asks for the list.
func TestDigestsTellBuildsApart(t *testing.T) {
	plain := func(ident.Service) bool { return true }
	e := census.Entry{Instance: ident.Instance{ID: "e", Born: 1}, Service: "pay", Address: "e:1", State: census.Ready}
	other := e
	other.Build = "v2"
	assert.Assert(t, census.DigestOf([]census.Entry{e}, plain) != census.DigestOf([]census.Entry{other}, plain))
	_, short := census.Shorten(e, other)
	assert.Assert(t, !short, "a short heartbeat does not carry the build")
}
