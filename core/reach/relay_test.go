package reach

import (
	"cmp"
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"shallotgap/core/ident"
)

func relay(name, domain string, services ...ident.Service) Relay {
	return Relay{Host: ident.HostID(name), Domain: ident.DomainID(domain), Without: Faults{Services: services}}
}

func byName(r Relay) uint64 { return uint64(r.Host[len(r.Host)-1]) }

// Relays are hosts that have the paths that are missing, near ones first.
func TestChooseRelays(t *testing.T) {
	one := target("a", 1).Instance
	for name, c := range map[string]struct {
		list []Relay
		lost Faults
		want string
	}{
		"none":                       {nil, Faults{Services: []ident.Service{"a"}}, "[]"},
		"near ones first":            {[]Relay{relay("h1", "far"), relay("h2", "near"), relay("h3", "near")}, Faults{Services: []ident.Service{"a"}}, "[h2 h3 h1]"},
		"those without a path left":  {[]Relay{relay("h1", "near", "a"), relay("h2", "far")}, Faults{Services: []ident.Service{"a"}}, "[h2]"},
		"one path of two":            {[]Relay{relay("h1", "near", "a"), relay("h2", "far")}, Faults{Services: []ident.Service{"a", "b"}}, "[h2 h1]"},
		"a single endpoint":          {[]Relay{{Host: "h1", Without: Faults{Endpoints: []ident.Instance{one}}}, relay("h2", "far")}, Faults{Endpoints: []ident.Instance{one}}, "[h2]"},
		"nothing lost":               {[]Relay{relay("h1", "near")}, Faults{}, "[h1]"},
		"more than a host needs":     {[]Relay{relay("h1", "n"), relay("h2", "n"), relay("h3", "n"), relay("h4", "n"), relay("h5", "n"), relay("h6", "n"), relay("h7", "n"), relay("h8", "n"), relay("h9", "n")}, Faults{}, "[h1 h2 h3 h4 h5 h6 h7 h8]"},
		"all of them without a path": {[]Relay{relay("h1", "near", "a"), relay("h2", "far", "a")}, Faults{Services: []ident.Service{"a"}}, "[]"},
	} {
		t.Run(name, func(t *testing.T) {
			names := []ident.HostID{}
			for _, r := range ChooseRelays(c.list, c.lost, "near", byName) {
				names = append(names, r.Host)
			}
			assert.Equal(t, fmt.Sprint(names), c.want)
		})
	}
}

// Sends are spread over the relays; one that failed is left out for a while.
func TestRelaysAreSpread(t *testing.T) {
	r := NewRelays()
	now := ident.Time(time.Hour)
	r.Set([]Relay{relay("h1", ""), relay("h2", ""), relay("h3", "", "a")}, now)
	counts := map[ident.HostID]int{}
	for range 10 {
		x, found := r.Take(target("a", 1), nil, now)
		assert.Assert(t, found)
		counts[x.Host]++
	}
	assert.DeepEqual(t, counts, map[ident.HostID]int{"h1": 5, "h2": 5})
	r.End("h1", true, now)
	for range 5 {
		x, _ := r.Take(target("a", 1), nil, now)
		assert.Equal(t, x.Host, ident.HostID("h2"))
	}
	_, found := r.Take(target("a", 1), []ident.HostID{"h2"}, now)
	assert.Assert(t, !found)
	x, found := r.Take(target("a", 1), []ident.HostID{"h2"}, now.Add(relayBackoff))
	assert.Assert(t, found)
	assert.Equal(t, x.Host, ident.HostID("h1"))
}

// A control host that has just started knows few hosts, or none. Its lists do not take relays away that the others still list.
func TestListsOfStartedControlHosts(t *testing.T) {
	type list struct {
		after time.Duration
		names string
		want  string
	}
	const interval = 400 * time.Millisecond
	for name, lists := range map[string][]list{
		"an empty one among full ones":      {{0, "h1 h2", "h1 h2"}, {0, "", "h1 h2"}, {interval, "h1 h2", "h1 h2"}, {0, "h1 h2", "h1 h2"}},
		"a part":                            {{0, "h1 h2", "h1 h2"}, {0, "h2", "h2 h1"}, {interval, "h1 h2", "h1 h2"}},
		"all control hosts start at once":   {{0, "h1 h2", "h1 h2"}, {time.Minute, "", "h1 h2"}, {0, "h1", "h1 h2"}, {interval, "h1 h2", "h1 h2"}},
		"a relay has ended":                 {{0, "h1 h2", "h1 h2"}, {interval, "h2", "h2 h1"}, {interval, "h2", "h2 h1"}, {interval, "h2", "h2 h1"}, {interval, "h2", "h2"}},
		"a relay comes back and ends again": {{0, "h1", "h1"}, {interval, "", "h1"}, {interval, "h1", "h1"}, {interval, "", "h1"}, {interval, "", "h1"}, {interval, "", "h1"}, {interval, "", ""}},
		"all relays have ended":             {{0, "h1", "h1"}, {0, "", "h1"}, {relayTTL - 1, "", "h1"}, {1, "", ""}},
		"a new relay":                       {{0, "h1", "h1"}, {interval, "h2 h1", "h2 h1"}},
	} {
		t.Run(name, func(t *testing.T) {
			r, now := NewRelays(), ident.Time(time.Hour)
			for n, l := range lists {
				now = now.Add(l.after)
				var relays []Relay
				for _, h := range strings.Fields(l.names) {
					relays = append(relays, relay(h, ""))
				}
				r.Set(relays, now)
				names := []string{}
				for _, x := range r.list {
					names = append(names, string(x.Host))
				}
				assert.Equal(t, strings.Join(names, " "), l.want, "list %d", n)
				assert.Equal(t, r.Len(), len(names))
			}
		})
	}
}

// A relay to which a connection took too long was left out for a second, though it answered others meanwhile.
func TestRelayThatAnswersStaysInUse(t *testing.T) {
	const ms = ident.Time(time.Millisecond)
	type send struct{ began, ended ident.Time } // the end of its time
	for name, c := range map[string]struct {
		answered ident.Time
		sends    []send
		stays    []bool
	}{
		"it answers nobody":                      {0, []send{{100, 500}}, []bool{false}},
		"it answered before the send":            {99, []send{{100, 500}}, []bool{false}},
		"it answers another send":                {300, []send{{100, 500}}, []bool{true}},
		"sends that began before the first end":  {300, []send{{100, 500}, {110, 510}, {300, 700}}, []bool{true, true, true}},
		"again, as new connections fail":         {600, []send{{100, 500}, {501, 901}}, []bool{true, false}},
		"again, long after":                      {1900, []send{{100, 500}, {1600, 2000}}, []bool{true, true}},
		"again, too long without another answer": {600, []send{{100, 500}, {1600, 2000}}, []bool{true, false}},
	} {
		t.Run(name, func(t *testing.T) {
			r, start := NewRelays(), ident.Time(time.Hour)
			r.Set([]Relay{relay("h1", "")}, start)
			for range c.sends {
				_, found := r.Take(target("a", 1), nil, start)
				assert.Assert(t, found)
			}
			if c.answered > 0 {
				r.Answered("h1", start+c.answered*ms)
			}
			for n, s := range c.sends {
				now := start + s.ended*ms
				assert.Equal(t, r.EndTimedOut("h1", start+s.began*ms, now), c.stays[n], "send %d", n)
				_, found := r.Take(target("a", 1), nil, now)
				assert.Equal(t, found, c.stays[n], "send %d", n)
			}
		})
	}
}

// The latest list says which paths a relay lacks.
func TestLatestListSaysWhatRelayLacks(t *testing.T) {
	r, now := NewRelays(), ident.Time(time.Hour)
	r.Set([]Relay{relay("h1", "")}, now)
	r.Set([]Relay{relay("h1", "", "a")}, now)
	_, found := r.Take(target("a", 1), nil, now)
	assert.Check(t, !found)
	r.Set([]Relay{relay("h1", "")}, now)
	_, found = r.Take(target("a", 1), nil, now)
	assert.Check(t, found)
}

// Orders to an engine come from one machine at a time, each with a fencing token of its own, and no two of them alternate.
func TestHolders(t *testing.T) {
	type order struct {
		after  time.Duration
		direct bool
		relays []Relay
	}
	d1, d2 := relay("d1", ""), relay("d2", "")
	for name, c := range map[string]struct {
		orders []order
		want   string
	}{
		"a path":                                       {[]order{{0, true, nil}, {0, true, nil}}, "leader 1280, leader 1280"},
		"no path and no relay":                         {[]order{{0, false, nil}}, "none"},
		"a path that is lost":                          {[]order{{0, true, nil}, {0, false, []Relay{d1}}}, "leader 1280, d1 1281"},
		"a path that is back":                          {[]order{{0, true, nil}, {0, false, []Relay{d1}}, {0, true, []Relay{d1}}}, "leader 1280, d1 1281, d1 1281"},
		"a deputy that is lost":                        {[]order{{0, false, []Relay{d1, d2}}, {0, false, []Relay{d2}}}, "d1 1281, d2 1282"},
		"a deputy that is lost, alone":                 {[]order{{0, false, []Relay{d1}}, {0, false, nil}}, "d1 1281, none"},
		"the leader again too soon":                    {[]order{{0, true, nil}, {0, false, []Relay{d1}}, {time.Second, true, nil}}, "leader 1280, d1 1281, none"},
		"the leader again":                             {[]order{{0, true, nil}, {0, false, []Relay{d1}}, {3 * time.Second, true, nil}}, "leader 1280, d1 1281, leader 1282"},
		"the leader again with a deputy left":          {[]order{{0, true, nil}, {0, false, []Relay{d1}}, {3 * time.Second, true, []Relay{d1}}}, "leader 1280, d1 1281, leader 1282"},
		"a deputy goes on for a while":                 {[]order{{0, true, nil}, {time.Second, false, []Relay{d1}}, {2 * time.Second, true, []Relay{d1}}, {time.Second, true, []Relay{d1}}}, "leader 1280, d1 1281, d1 1281, leader 1282"},
		"a deputy that took over after a long silence": {[]order{{0, true, nil}, {time.Minute, false, []Relay{d1}}, {time.Second, true, []Relay{d1}}}, "leader 1280, d1 1281, d1 1281"},
		"a former deputy too soon":                     {[]order{{0, false, []Relay{d1}}, {0, false, []Relay{d2}}, {time.Second, false, []Relay{d1}}}, "d1 1281, d2 1282, none"},
	} {
		t.Run(name, func(t *testing.T) {
			h := NewHolders(5, 3*time.Second)
			now := ident.Time(time.Hour)
			var got []string
			for _, o := range c.orders {
				now = now.Add(o.after)
				holder, found := h.Choose(target("a", 1).Instance, o.direct, o.relays, now)
				if !found {
					got = append(got, "none")
					continue
				}
				got = append(got, fmt.Sprint(cmp.Or(holder.Deputy, "leader"), " ", holder.Fence))
			}
			assert.Equal(t, strings.Join(got, ", "), c.want)
		})
	}
}

// An engine that refuses a fencing token gets a higher one from the same holder; the tokens of a term are not exceeded.
func TestRaisedFences(t *testing.T) {
	h := NewHolders(5, 3*time.Second)
	i := target("a", 1).Instance
	assert.Assert(t, !h.Raise(i), "nothing was sent yet")
	now := ident.Time(time.Hour)
	first, found := h.Choose(i, true, nil, now)
	assert.Assert(t, found)
	assert.Assert(t, h.Raise(i))
	next, found := h.Choose(i, true, nil, now)
	assert.Assert(t, found)
	assert.Equal(t, next, Holder{Fence: first.Fence + 1})
	raised := 1
	for h.Raise(i) {
		raised++
	}
	last, _ := h.Choose(i, true, nil, now)
	assert.Equal(t, raised, 255)
	assert.Assert(t, h.Spent(i))
	assert.Assert(t, !h.Spent(target("a", 2).Instance))
	assert.Assert(t, last.Fence < 6<<deputyBits, "a later term has higher tokens")
}
