package front

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"shallotgap/core/ident"
	"shallotgap/core/limit"
)

// What an endpoint said to this host binds it until the table must hold it; both sides of the time.
func TestLimitThatHostKnows(t *testing.T) {
	i := ident.Instance{ID: "e", Born: 1}
	at := ident.Time(time.Hour)
	cases := map[string]struct {
		listed limit.Rate // in the table; 0 for none
		seen   []string
		after  time.Duration
		want   limit.Rate
	}{
		"none":                        {},
		"in the table":                {listed: 5, after: time.Hour, want: 5},
		"named just now":              {seen: []string{"2"}, after: seenBinds - time.Millisecond, want: 2},
		"named some time ago":         {seen: []string{"2"}, after: seenBinds},
		"lower than in the table":     {listed: 5, seen: []string{"2"}, want: 2},
		"higher than in the table":    {listed: 5, seen: []string{"9"}, want: 5},
		"no limit at all":             {seen: []string{"1e300"}},
		"not understood":              {seen: []string{"few"}},
		"named and then not named":    {seen: []string{"2", ""}},
		"the table's, not named here": {listed: 5, seen: []string{""}, want: 5},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			l := newHostLimits()
			if c.listed > 0 {
				l.table.Apply(limit.Command{Set: []limit.Record{{Instance: i, Rate: c.listed}}})
			}
			for _, text := range c.seen {
				var values []string
				if text != "" {
					values = []string{text}
				}
				l.note(i, "pay", limit.Read(values), at)
			}
			rate, limited := l.of(i, at.Add(c.after))
			assert.Equal(t, rate, c.want)
			assert.Equal(t, limited, c.want != 0)
		})
	}
}

// A host tells the authority what differs from the table, and nothing else.
func TestHostReportsWhatDiffers(t *testing.T) {
	i := ident.Instance{ID: "e", Born: 1}
	at := ident.Time(time.Hour)
	l := newHostLimits()
	report := func(values ...string) bool {
		_, disagrees := l.note(i, "pay", limit.Read(values), at)
		return disagrees
	}
	assert.Assert(t, !report(), "nothing to tell")
	assert.Assert(t, report("2"), "a limit that the table lacks")
	assert.Assert(t, report("2"), "again, as the message may be lost")
	l.table.Apply(limit.Command{Set: []limit.Record{{Instance: i, Rate: 2}}})
	assert.Assert(t, !report("2"))
	assert.Assert(t, report("3"))
	assert.Assert(t, !report("words"))
	assert.Assert(t, report(), "the end of a limit")
	l.table.Apply(limit.Command{Drop: []ident.Instance{i}})
	assert.Assert(t, !report())
}

// Signals are forgotten, so that endpoints that are gone take no memory for ever.
func TestSignalsAreForgotten(t *testing.T) {
	l := newHostLimits()
	at := ident.Time(time.Hour)
	l.note(ident.Instance{ID: "e"}, "pay", limit.Read([]string{"2"}), at)
	l.forget(at.Add(seenLife))
	assert.Equal(t, len(l.known(at.Add(seenLife))), 1)
	l.forget(at.Add(seenLife + time.Millisecond))
	assert.Equal(t, len(l.known(at)), 0)
}

// Without a leader the share counts from its first use, and anew after each leader.
func TestShareWithoutLeader(t *testing.T) {
	l := newHostLimits()
	i := ident.Instance{ID: "e"}
	at := ident.Time(time.Hour)
	assert.Equal(t, l.takeShare(i, 7, at), time.Duration(0), "an endpoint without a limit")
	l.table.Apply(limit.Command{Set: []limit.Record{{Instance: i, Rate: 10}}})
	l.rank, l.hosts = 2, 7
	wait := l.takeShare(i, 7, at)
	assert.Assert(t, wait > 250*time.Millisecond && wait < 350*time.Millisecond, "%v", wait)
	assert.Equal(t, l.takeShare(i, 7, at.Add(wait)), time.Duration(0))
	assert.Assert(t, l.takeShare(i, 7, at.Add(wait)) > 600*time.Millisecond, "one of seven hosts sends a seventh")
	l.endShares()
	assert.Equal(t, l.takeShare(i, 7, at.Add(time.Hour)), wait)
}
