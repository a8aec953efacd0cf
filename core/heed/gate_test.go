package heed

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"shallotgap/core/ident"
)

func TestReadRest(t *testing.T) {
	for name, c := range map[string]struct {
		values []string
		rest   time.Duration
		bad    string
	}{
		"none":            {nil, 0, ""},
		"whole seconds":   {[]string{"3"}, 3 * time.Second, ""},
		"decimals":        {[]string{" 0.25 "}, 250 * time.Millisecond, ""},
		"zero":            {[]string{"0"}, 0, ""},
		"two that differ": {[]string{"1", "4"}, 4 * time.Second, `"1, 4"`},
		"two alike":       {[]string{"2", "2.0"}, 2 * time.Second, ""},
		"negative":        {[]string{"-2"}, 0, `"-2"`},
		"a word":          {[]string{"soon"}, 0, `"soon"`},
		"not a number":    {[]string{"NaN"}, 0, `"NaN"`},
		"too long":        {[]string{"1e300"}, MaxRest, ""},
		"infinite":        {[]string{"Inf"}, MaxRest, ""},
		"a date":          {[]string{"Fri, 04 Dec 2026 19:00:00 GMT"}, 0, `"Fri, 04 Dec 2026 19:00:00 GMT"`},
		"one of two":      {[]string{"x", "1"}, time.Second, `"x, 1"`},
	} {
		t.Run(name, func(t *testing.T) {
			rest, bad := ReadRest(c.values)
			assert.Equal(t, rest, c.rest)
			assert.Equal(t, bad, c.bad)
		})
	}
}

func TestReadLeaving(t *testing.T) {
	for name, c := range map[string]struct {
		values  []string
		leaving bool
		bad     string
	}{
		"none": {nil, false, ""}, "one": {[]string{"1"}, true, ""}, "zero": {[]string{"0"}, false, ""}, "a word": {[]string{"yes"}, false, `"yes"`},
		"two that differ": {[]string{"0", "1"}, true, ""}, "negative": {[]string{"-1"}, false, `"-1"`}, "not a number": {[]string{"NaN"}, false, `"NaN"`},
	} {
		t.Run(name, func(t *testing.T) {
			leaving, bad := ReadLeaving(c.values)
			assert.Equal(t, leaving, c.leaving)
			assert.Equal(t, bad, c.bad)
		})
	}
}

// A rest binds the host that was turned away until the latest end, leaving binds any host that has seen it until another instance comes.
func TestGate(t *testing.T) {
	e, next := ident.Instance{ID: "e", Born: 1}, ident.Instance{ID: "e", Born: 2}
	start := ident.Time(time.Hour)
	type noted struct {
		at  time.Duration
		say Said
		own bool
	}
	for name, c := range map[string]struct {
		noted   []noted
		at      time.Duration
		rest    time.Duration
		leaving bool
	}{
		"nothing said":                  {nil, 0, 0, false},
		"a rest":                        {[]noted{{0, Said{Rest: 3 * time.Second}, true}}, time.Second, 2*time.Second + restMargin, false},
		"a rest that is over":           {[]noted{{0, Said{Rest: 3 * time.Second}, true}}, 4 * time.Second, 0, false},
		"a rest of another host":        {[]noted{{0, Said{Rest: 3 * time.Second}, false}}, time.Second, 0, false},
		"a shorter one after it":        {[]noted{{0, Said{Rest: 3 * time.Second}, true}, {time.Second, Said{Rest: time.Second}, true}}, time.Second, 2*time.Second + restMargin, false},
		"a longer one after it":         {[]noted{{0, Said{Rest: time.Second}, true}, {500 * time.Millisecond, Said{Rest: 3 * time.Second}, true}}, time.Second, 2500*time.Millisecond + restMargin, false},
		"leaving":                       {[]noted{{0, Said{Leaving: true}, true}}, 24 * time.Hour, 0, true},
		"leaving, as another host read": {[]noted{{0, Said{Leaving: true}, false}}, time.Second, 0, true},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewGate()
			for _, n := range c.noted {
				g.Note(e, n.say, n.own, start.Add(n.at))
			}
			assert.Equal(t, g.Rest(e, start.Add(c.at)), c.rest)
			assert.Equal(t, g.Leaving(e), c.leaving)
			assert.Assert(t, !g.Leaving(next) && g.Rest(next, start.Add(c.at)) == 0)
			g.Forget(start.Add(c.at))
			assert.Equal(t, g.Rest(e, start.Add(c.at)), c.rest)
		})
	}
}

// What a host remembers of leaving endpoints is bounded; the latest ones stay.
func TestGateIsBounded(t *testing.T) {
	g := NewGate()
	for n := range maxLeaving + 10 {
		g.Note(ident.Instance{ID: ident.EndpointID(fmt.Sprint(n))}, Said{Leaving: true}, true, ident.Time(n))
	}
	assert.Equal(t, len(g.leaving), maxLeaving)
	assert.Assert(t, g.Leaving(ident.Instance{ID: ident.EndpointID(fmt.Sprint(maxLeaving + 9))}))
	assert.Assert(t, !g.Leaving(ident.Instance{ID: "0"}))
}

// BenchmarkGate asks whether one of 4,800 endpoints may be sent to.
func BenchmarkGate(b *testing.B) {
	g := NewGate()
	var list []ident.Instance
	for n := range 4800 {
		i := ident.Instance{ID: ident.EndpointID(fmt.Sprint("i-", n)), Born: 7}
		list = append(list, i)
		g.Note(i, Said{Leaving: n%3 == 0, Rest: time.Duration(n%2) * time.Minute}, true, 1)
	}
	b.ReportAllocs()
	n := 0
	for b.Loop() {
		i := list[n%len(list)]
		if g.Leaving(i) || g.Rest(i, 2) > 0 {
			n++
		}
		n++
	}
}
