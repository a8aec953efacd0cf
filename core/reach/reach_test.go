package reach

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"shallotgap/core/ident"
)

func target(service string, n int) Target {
	return Target{Instance: ident.Instance{ID: ident.EndpointID(fmt.Sprint(service, n)), Born: 1}, Service: ident.Service(service), Address: fmt.Sprint(service, ":", n)}
}

// step is an outcome of a connection: + for a success, - for a failure, g for an endpoint that nobody reaches, each with a target.
type step struct {
	kind byte
	Target
}

// Paths to a service are lost when several endpoints fail in a row, and all are back with the first success.
func TestMap(t *testing.T) {
	a1, a2, a3, b1 := target("a", 1), target("a", 2), target("a", 3), target("b", 1)
	for name, c := range map[string]struct {
		steps  []step
		direct map[Target]bool
		cutOff bool
		lost   int
	}{
		"nothing known":                          {nil, map[Target]bool{a1: true}, false, 0},
		"one endpoint fails":                     {[]step{{'+', a2}, {'-', a1}}, map[Target]bool{a1: false, a2: true, a3: true}, false, 1},
		"two endpoints fail":                     {[]step{{'-', a1}, {'-', a2}}, map[Target]bool{a1: false, a2: false, a3: false, b1: true}, true, 0},
		"one endpoint fails twice":               {[]step{{'-', a1}, {'-', a1}}, map[Target]bool{a1: false, a2: true}, false, 1},
		"a success between two failures":         {[]step{{'-', a1}, {'+', a3}, {'-', a2}}, map[Target]bool{a1: false, a2: false, a3: true}, false, 2},
		"endpoints of two services fail":         {[]step{{'-', a1}, {'-', b1}}, map[Target]bool{a1: false, a2: true, b1: false}, false, 2},
		"a success ends the cut":                 {[]step{{'-', a1}, {'-', a2}, {'+', a3}}, map[Target]bool{a1: true, a2: true, a3: true}, false, 0},
		"two endpoints are gone":                 {[]step{{'-', a1}, {'g', a1}, {'-', a2}, {'g', a2}}, map[Target]bool{a1: true, a2: true, a3: true}, false, 0},
		"one of two that failed is gone":         {[]step{{'-', a1}, {'-', a2}, {'g', a1}}, map[Target]bool{a2: false, a3: true}, false, 1},
		"another service is not cut off by this": {[]step{{'+', b1}, {'-', a1}, {'-', a2}}, map[Target]bool{b1: true}, true, 0},
	} {
		t.Run(name, func(t *testing.T) {
			m := New()
			now := ident.Time(time.Hour)
			for _, s := range c.steps {
				now = now.Add(time.Millisecond)
				switch s.kind {
				case '+':
					m.Succeed(s.Target, now)
				case '-':
					m.Fail(s.Target, now)
				case 'g':
					m.Gone(s.Target, now)
				}
			}
			for x, want := range c.direct {
				assert.Equal(t, m.Direct(x, true), want, "%s", x.Instance.ID)
			}
			assert.Equal(t, m.CutOff("a"), c.cutOff)
			assert.Equal(t, len(m.Faults().Endpoints), c.lost)
		})
	}
}

// Without relays, an endpoint that did not fail itself is tried even if others failed.
func TestCutOffWithoutRelays(t *testing.T) {
	m := New()
	m.Fail(target("a", 1), 1)
	m.Fail(target("a", 2), 2)
	assert.Assert(t, m.Direct(target("a", 3), false))
	assert.Assert(t, !m.Direct(target("a", 1), false))
}

// A host without relays gives up on a service only when several endpoints have failed, or all that it knows, and lets a request through now and then.
func TestHopeless(t *testing.T) {
	for name, c := range map[string]struct {
		known, failed int
		want          bool
	}{
		"one of one fails":       {known: 1, failed: 1},
		"both of two fail":       {known: 2, failed: 2, want: true},
		"two of three fail":      {known: 3, failed: 2},
		"three of sixty fail":    {known: 60, failed: 3},
		"several of sixty fail":  {known: 60, failed: hopelessEndpoints, want: true},
		"none of a service fail": {known: 5},
		"none is known":          {},
	} {
		t.Run(name, func(t *testing.T) {
			m := New()
			for n := range c.known {
				m.Learn(target("a", n), 1)
			}
			for n := range c.failed {
				m.Fail(target("a", n), 2)
			}
			now := ident.Time(time.Hour)
			for n := range 100 { // within ten intervals
				let := n%10 == 0
				assert.Equal(t, m.Hopeless("a", now), c.want && !let, "request %d", n)
				now = now.Add(probeInterval / 10)
			}
			m.Succeed(target("a", c.known), now)
			assert.Assert(t, !m.Hopeless("a", now))
		})
	}
}

// For a service with at most one known endpoint, the paths to the endpoints of other services decide.
func TestHopelessByOtherServices(t *testing.T) {
	lose := func(m *Map, s ident.Service) {
		for n := range 2 {
			m.Fail(target(string(s), n), 2)
		}
	}
	m := New()
	lose(m, "b")
	assert.Assert(t, m.allLost("a"), "all that is known is lost")
	m.Learn(target("a", 1), 3)
	assert.Assert(t, !m.allLost("a"), "its endpoint was not tried")
	m.Fail(target("a", 1), 4)
	assert.Assert(t, m.allLost("a"))
	m.Learn(target("c", 0), 5)
	m.Learn(target("c", 1), 5)
	assert.Assert(t, !m.allLost("a"), "another service is not lost")
	lose(m, "c")
	assert.Assert(t, m.allLost("a"))
}

// While a host is cut off from 140 endpoints, its probes are few, and the end of the cut is noticed within a second.
func TestProbesAreFew(t *testing.T) {
	m := New()
	now := ident.Time(time.Hour)
	for n := range 140 {
		m.Succeed(target("a", n), now)
	}
	assert.Equal(t, len(m.Due(now)), 0)
	cut := now.Add(12 * time.Second)
	healed := ident.Time(0)
	m.Fail(target("a", 1), now)
	m.Fail(target("a", 2), now)
	probes := 0
	for ; now < cut.Add(2*time.Second); now = now.Add(100 * time.Millisecond) {
		for _, x := range m.Due(now) {
			probes++
			if now < cut {
				m.Fail(x, now)
			} else if m.Succeed(x, now) && healed == 0 {
				healed = now
			}
		}
	}
	assert.Assert(t, probes <= 50, "%d probes in 14 s", probes)
	assert.Assert(t, healed != 0 && healed.Sub(cut) <= time.Second, "healed after %s", healed.Sub(cut))
	assert.Assert(t, m.Faults().Empty())
}

// A silent endpoint is probed once, not again and again while it answers connections.
func TestSilentEndpointIsProbed(t *testing.T) {
	m := New()
	now := ident.Time(time.Hour)
	probes := 0
	for range 20 {
		now = now.Add(100 * time.Millisecond)
		m.Suspect(target("a", 1), now)
		for _, x := range m.Due(now) {
			probes++
			m.Succeed(x, now)
		}
	}
	assert.Assert(t, probes >= 1 && probes <= 7, "%d probes in 2 s", probes)
	assert.Assert(t, m.Direct(target("a", 1), true))
}

// An endpoint that has ended is probed for a while only.
func TestEndedEndpointIsForgotten(t *testing.T) {
	m := New()
	start := ident.Time(time.Hour)
	now := start
	m.Fail(target("a", 1), now)
	probes := 0
	for ; now.Sub(start) < 3*retention; now = now.Add(100 * time.Millisecond) {
		for _, x := range m.Due(now) {
			probes++
			m.Fail(x, now)
		}
		m.Forget(now)
	}
	assert.Assert(t, probes >= 50 && probes <= 61, "%d probes", probes)
	assert.Assert(t, m.Faults().Empty())
	assert.Equal(t, len(m.paths), 0)
}

// What a host names of its faults grows with the faults, and unused endpoints are forgotten.
func TestFaultsAreBounded(t *testing.T) {
	m := New()
	now := ident.Time(time.Hour)
	for n := range 2000 {
		m.Succeed(target("b", 0), now) // the service is not cut off
		m.Fail(target("b", 1+n), now)
	}
	assert.Equal(t, len(m.Faults().Endpoints), maxFaults)
	for n := range 2000 {
		m.Fail(target("c", n), now)
	}
	assert.DeepEqual(t, m.Faults().Services, []ident.Service{"c"})
	m.Forget(now.Add(retention + 1))
	assert.Equal(t, len(m.paths), 0)
	assert.Assert(t, m.Faults().Empty())
}
