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
	return census.Entry{
		Instance: ident.Instance{ID: ident.EndpointID(id), Born: 1},
		Domain:   ident.DomainID(domain),
		Slots:    4,
		State:    census.Ready,
	}
}

// The outcomes of requests to the near endpoint decide whether the next one goes to the far endpoint.
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
		"near endpoint is preferred":      {before: end(pick.Good, 3), want: "near"},
		"far when near is loaded":         {before: func(p *pick.Picker) { p.Begin(near, 0); p.Begin(near, 0) }, want: "far"},
		"far after failures":              {before: end(pick.Bad, 2), want: "far"},
		"near again some seconds later":   {before: end(pick.Bad, 2), after: 20 * time.Second, want: "near"},
		"far when near can't be reached":  {before: end(pick.Unreachable, 1), want: "far"},
		"far when near is full":           {before: end(pick.Full, 1), want: "far"},
		"far when near is to be avoided":  {before: end(pick.Good, 1), avoid: []ident.EndpointID{"near"}, want: "far"},
		"none when all are to be avoided": {before: end(pick.Good, 1), avoid: []ident.EndpointID{"near", "far"}},
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

// One of three endpoints fails half of its requests for 30 s. It must get few requests, but enough for its recovery to be seen.
func TestPartlyFailingEndpointGetsFewRequests(t *testing.T) {
	p := pick.New("n")
	list := []census.Entry{endpoint("a", "n"), endpoint("b", "n"), endpoint("failing", "n")}
	sent := map[ident.EndpointID]int{}
	now := ident.Time(0)
	for i := range 2000 {
		now = now.Add(20 * time.Millisecond)
		e, ok := p.Choose(list, nil, now)
		assert.Assert(t, ok)
		sent[e.Instance.ID]++
		p.Begin(e, now)
		o := pick.Good
		if e.Instance.ID == "failing" && i%2 == 0 && now < ident.Time(30*time.Second) {
			o = pick.Bad
		}
		p.End(e, o, nil, now)
	}
	assert.Assert(t, sent["failing"] < 250, "requests per endpoint: %v, want fewer than 250 at the failing one", sent)
}
