package pick_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"shallotgap/core/census"
	"shallotgap/core/ident"
	"shallotgap/core/pick"
)

func endpoint(id, domain string) census.Entry {
	return census.Entry{Instance: ident.Instance{ID: ident.EndpointID(id), Born: 1}, Domain: ident.DomainID(domain), Slots: 4, State: census.Ready}
}

// A series of outcomes at the near endpoint decides whether the next request goes to the far one.
func TestChoose(t *testing.T) {
	near, far := endpoint("near", "n"), endpoint("far", "f")
	end := func(o pick.Outcome, times int) func(*pick.Picker) {
		return func(p *pick.Picker) {
			for range times {
				p.Begin(near, 0)
				p.End(near, o, nil, 0)
			}
		}
	}
	cases := map[string]struct {
		before func(*pick.Picker)
		after  time.Duration
		avoid  []ident.EndpointID
		want   ident.EndpointID
	}{
		"near first":                      {before: end(pick.Good, 3), want: "near"},
		"far when the near one is loaded": {before: func(p *pick.Picker) { p.Begin(near, 0); p.Begin(near, 0) }, want: "far"},
		"far after failures":              {before: end(pick.Bad, 2), want: "far"},
		"near again some seconds later":   {before: end(pick.Bad, 2), after: 20 * time.Second, want: "near"},
		"far when near can't be reached":  {before: end(pick.Unreachable, 1), want: "far"},
		"far when near is full":           {before: end(pick.Full, 1), want: "far"},
		"not one to be avoided":           {before: end(pick.Good, 1), avoid: []ident.EndpointID{"near"}, want: "far"},
		"nobody":                          {before: end(pick.Good, 1), avoid: []ident.EndpointID{"near", "far"}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			p := pick.New("n")
			c.before(p)
			e, found := p.Choose([]census.Entry{far, near}, c.avoid, ident.Time(c.after))
			assert.Equal(t, found, c.want != "")
			assert.Equal(t, e.Instance.ID, c.want)
		})
	}
}

// Load: one of three endpoints fails part of its requests. Few requests go there, but some, so that its recovery is seen.
func TestGreyEndpoint(t *testing.T) {
	p := pick.New("n")
	list := []census.Entry{endpoint("a", "n"), endpoint("b", "n"), endpoint("grey", "n")}
	sent := map[ident.EndpointID]int{}
	now := ident.Time(0)
	for i := range 2000 {
		now = now.Add(20 * time.Millisecond)
		e, ok := p.Choose(list, nil, now)
		assert.Assert(t, ok)
		sent[e.Instance.ID]++
		p.Begin(e, now)
		o := pick.Good
		if e.Instance.ID == "grey" && i%2 == 0 && now < ident.Time(30*time.Second) {
			o = pick.Bad
		}
		p.End(e, o, nil, now)
	}
	assert.Assert(t, sent["grey"] < 250, "%v", sent)
}
