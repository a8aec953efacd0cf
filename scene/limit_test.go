package scene

import (
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"shallotgap/core/ident"
	"shallotgap/core/limit"
	"shallotgap/fakes/fleet"
	"shallotgap/fakes/stand"
	"shallotgap/io/admin"
)

const (
	limitWindow = 4 * time.Second
	limitRate   = 3.0 // requests a second that the endpoint of a limitScene takes
	limitDemand = 40  // requests a second that callers send
)

// limitScene has an endpoint with a limit, and callers that want far more.
type limitScene struct {
	*fleet.Fleet
	t                             *testing.T
	path, body                    string
	limited                       *stand.FaultInjector
	served, rejected, other, slow atomic.Int64
}

// newLimitScene starts a fleet that serves, with an engine and a plain service.
func newLimitScene(t *testing.T, path, body string) *limitScene {
	t.Helper()
	s := &limitScene{Fleet: newFleet(t, 1), t: t, path: path, body: body}
	putRow(t, s.Fleet, s.Hosts[0], "feed-advice@v1")
	for _, h := range s.Hosts {
		assert.Assert(t, awaitServed(func() bool { return s.serves(h) }), "%s", h.Name)
	}
	s.limited = &s.Plains[0].Fake.FaultInjector
	if strings.HasPrefix(path, "/v1/") {
		s.limited = &s.Engines[0].Fake.FaultInjector
	}
	return s
}

func (s *limitScene) serves(h *fleet.Host) bool {
	return post(h.URL()+s.path, s.body).Status == http.StatusOK
}

// demand sends requests to the hosts in turn and counts how they end.
func (s *limitScene) demand(span time.Duration, hosts []*fleet.Host) {
	var group sync.WaitGroup
	tick := time.NewTicker(time.Second / limitDemand)
	defer tick.Stop()
	end := time.Now().Add(span)
	for n := 0; time.Now().Before(end); n++ {
		group.Go(func() {
			start := time.Now()
			a := post(hosts[n%len(hosts)].URL()+s.path, s.body, "Shallotgap-Timeout: 2s")
			switch {
			case a.Status == http.StatusOK:
				s.served.Add(1)
			case a.Status == http.StatusServiceUnavailable && strings.Contains(a.Body, `"not-run"`) && a.Header.Get("Retry-After") != "":
				s.rejected.Add(1)
			default:
				s.other.Add(1)
				s.t.Logf("after %v: status %d, %s %v", time.Since(start).Round(time.Millisecond), a.Status, a.Body, a.Err)
			}
			if time.Since(start) > 1800*time.Millisecond {
				s.slow.Add(1)
			}
		})
		<-tick.C
	}
	group.Wait()
}

// checkWindows checks that the endpoint got no more than its limit in any window since a moment, and returns how many requests it got.
func (s *limitScene) checkWindows(t *testing.T, since time.Time) int {
	t.Helper()
	list := s.limited.Arrivals(since)
	most := stand.MostInWindow(list, limitWindow)
	t.Logf("%d requests, most in 4 s: %d; served %d, rejected %d, other %d", len(list), most, s.served.Load(), s.rejected.Load(), s.other.Load())
	assert.Check(t, float64(most) <= limitRate*limitWindow.Seconds()+2)
	return len(list)
}

const (
	servicePath, serviceBody = "/services/payments/status", `{"id":1}`
	modelPath, modelBody     = "/v1/completions", `{"model":"feed-advice@v1","max_tokens":2,"prompt":"cow"}`
)

// An endpoint names a limit, in its answers or its announcements. Its owner keeps the limit, and rejects at once what can't be served.
// When the limit ends, everything is served again.
func TestLimitOfEndpointIsKept(t *testing.T) {
	cases := map[string]struct {
		path, body string
		faults     stand.Faults
	}{
		"a plain service, in answers":       {path: servicePath, body: serviceBody, faults: stand.Faults{Limit: "3"}},
		"a plain service, in announcements": {path: servicePath, body: serviceBody, faults: stand.Faults{AnnouncedLimit: limitRate}},
		"an engine, in answers":             {path: modelPath, body: modelBody, faults: stand.Faults{Limit: "3"}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s := newLimitScene(t, c.path, c.body)
			s.limited.SetFaults(c.faults)
			s.demand(time.Second, s.Hosts)
			const span = 8 * time.Second
			since := time.Now()
			s.demand(span, s.Hosts)
			assert.Check(t, float64(s.checkWindows(t, since)) >= 0.9*limitRate*span.Seconds()-1)
			assert.Equal(t, s.other.Load(), int64(0))
			assert.Equal(t, s.slow.Load(), int64(0))
			assert.Assert(t, s.rejected.Load() > 0)

			var known []limit.Listed
			assert.NilError(t, get(s.Hosts[1].URL()+"/admin/limits", &known))
			assert.Equal(t, len(known), 1)
			assert.Equal(t, known[0].Rate, limit.Rate(limitRate))

			s.limited.SetFaults(stand.Faults{})
			assert.Assert(t, fleet.Await(settleTime, func() bool {
				_ = s.serves(s.Hosts[0])
				known = nil
				return get(s.Hosts[1].URL()+"/admin/limits", &known) == nil && len(known) == 0
			}), "the limit did not end")
		})
	}
}

// The owner of a limited endpoint dies under demand. The next owner knows the limit before its first send.
func TestLimitOutlivesOwner(t *testing.T) {
	s := newLimitScene(t, servicePath, serviceBody)
	s.limited.SetFaults(stand.Faults{Limit: "3"})
	s.demand(time.Second, s.Hosts)
	since := time.Now()
	s.demand(2*time.Second, s.Hosts)
	var status admin.Status
	assert.NilError(t, get(s.Hosts[0].URL()+"/admin/status", &status))
	var owner ident.HostID
	for _, e := range status.Endpoints {
		if e.ID == "p1" {
			owner = e.Owner
		}
	}
	var others []*fleet.Host
	for _, h := range s.Hosts {
		if h.Name == owner {
			s.Kill(h)
		} else {
			others = append(others, h)
		}
	}
	assert.Equal(t, len(others), len(s.Hosts)-1)
	before := len(s.limited.Arrivals(since))
	s.demand(8*time.Second, others)
	assert.Assert(t, s.checkWindows(t, since) > before, "the next owner sends nothing")
}
