package census_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"shallotgap/core/census"
	"shallotgap/core/ident"
)

const heartbeatInterval = 1200 * time.Millisecond

// One entry of another writer took an endpoint out of service for good: each later heartbeat of the endpoint looked older.
func TestEndpointPrevailsOverOddEntry(t *testing.T) {
	cases := map[string]census.Entry{
		"a later number":                     entry("i1", 100, 1_000_000, "x", census.Ready),
		"a later start":                      entry("i1", 900, 1, "x", census.Ready),
		"a later endpoint at its address":    entry("odd", 900, 1, "x", census.Ready),
		"a later start elsewhere":            entry("i1", 900, 1, "y", census.Ready),
		"a later number, of another service": {Instance: ident.Instance{ID: "i1", Born: 900}, Seq: 1, Service: "other", Address: "x", State: census.Ready},
	}
	for name, odd := range cases {
		t.Run(name, func(t *testing.T) {
			heard, told := census.New(time.Minute), census.NewFollower()
			now := ident.Time(time.Hour)
			seq := uint64(0)
			beat := func() census.Effect {
				now = now.Add(heartbeatInterval)
				seq++
				e := entry("i1", 100, seq, "x", census.Ready)
				effect := heard.Observe(e, now)
				if effect == census.Prevailed {
					e.Prevails = true
					assert.Equal(t, told.Observe(e, now), census.Prevailed)
				}
				return effect
			}
			for range 3 {
				beat()
			}
			told.Observe(entry("i1", 100, seq, "x", census.Ready), now)
			heard.Observe(odd, now)
			told.Observe(odd, now)
			outOfService := 0
			for range 50 {
				if beat() == census.Stale {
					outOfService++
				}
			}
			assert.Assert(t, outOfService <= 10, "%d heartbeats without effect", outOfService)
			for _, table := range []*census.Census{heard, told.Census} {
				e, _ := table.Get("i1")
				assert.Equal(t, e.Instance.Born, ident.Incarnation(100))
				assert.Equal(t, e.State, census.Ready)
				if other, known := table.Get("odd"); known {
					assert.Equal(t, other.State, census.Gone)
				}
			}
		})
	}
}

// Heartbeats that are late must not bring back what is gone or was replaced.
func TestLateHeartbeatsDoNotPrevail(t *testing.T) {
	cases := map[string]struct {
		known []census.Entry
		alive string // the endpoint whose heartbeats go on; "" for none
		every time.Duration
		late  int // number of late heartbeats
	}{
		"a burst after a cut":              {known: []census.Entry{entry("i1", 900, 1, "x", census.Ready)}, every: 10 * time.Millisecond, late: 20},
		"the later start is alive":         {known: []census.Entry{entry("i1", 900, 1, "x", census.Ready)}, alive: "i1", every: heartbeatInterval, late: 20},
		"the later endpoint is alive":      {known: []census.Entry{entry("i2", 900, 1, "x", census.Ready)}, alive: "i2", every: heartbeatInterval, late: 20},
		"the endpoint has left":            {known: []census.Entry{entry("i1", 100, 1000, "x", census.Gone)}, every: heartbeatInterval, late: 20},
		"the endpoint drains":              {known: []census.Entry{entry("i1", 100, 1000, "x", census.Draining)}, every: heartbeatInterval, late: 20},
		"the later start has left already": {known: []census.Entry{entry("i1", 900, 1, "x", census.Gone)}, every: heartbeatInterval, late: 20},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			table := census.New(time.Minute)
			now := ident.Time(time.Hour)
			for _, e := range c.known {
				table.Observe(e, now)
			}
			for n := range c.late {
				now = now.Add(c.every)
				if c.alive != "" {
					table.Observe(entry(c.alive, 900, uint64(n)+2, "x", census.Ready), now)
				}
				assert.Equal(t, table.Observe(entry("i1", 100, uint64(n)+1, "x", census.Ready), now), census.Stale)
			}
		})
	}
}

func TestCheck(t *testing.T) {
	now := time.UnixMilli(1_800_000_000_000)
	long := string(make([]byte, 1000))
	sound := func() census.Entry {
		e := entry("i1", uint64(now.UnixMilli()), 7, "10.0.0.1:80", census.Ready)
		e.Slots = 8
		return e
	}
	cases := map[string]struct {
		change func(*census.Entry)
		want   string // part of the error; "" for none
	}{
		"sound":                {change: func(*census.Entry) {}},
		"a clock that is late": {change: func(e *census.Entry) { e.Instance.Born += ident.Incarnation(time.Minute.Milliseconds()) }},
		"born in the future":   {change: func(e *census.Entry) { e.Instance.Born = 1<<64 - 1 }, want: "born"},
		"largest number":       {change: func(e *census.Entry) { e.Seq = 1<<64 - 1 }, want: "seq"},
		"too many slots":       {change: func(e *census.Entry) { e.Slots = 1<<63 - 1 }, want: "slots"},
		"negative slots":       {change: func(e *census.Entry) { e.Slots = -1 }, want: "slots"},
		"long id":              {change: func(e *census.Entry) { e.Instance.ID = ident.EndpointID(long) }, want: "id"},
		"long service":         {change: func(e *census.Entry) { e.Service = ident.Service(long) }, want: "service"},
		"long domain":          {change: func(e *census.Entry) { e.Domain = ident.DomainID(long) }, want: "domain"},
		"long build":           {change: func(e *census.Entry) { e.Build = ident.Build(long) }, want: "build"},
		"long model":           {change: func(e *census.Entry) { e.Models = []string{long} }, want: "model"},
		"long adapter":         {change: func(e *census.Entry) { e.Held = []census.HeldAdapter{{Adapter: ident.Adapter(long)}} }, want: "adapter"},
		"unknown state":        {change: func(e *census.Entry) { e.State = 9 }, want: "state"},
		"no service":           {change: func(e *census.Entry) { e.Service = "" }, want: "missing"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			e := sound()
			c.change(&e)
			err := e.Check(now)
			if c.want == "" {
				assert.NilError(t, err)
				return
			}
			assert.ErrorIs(t, err, census.ErrOdd)
			assert.ErrorContains(t, err, c.want)
		})
	}
}

// Entries with ever new ids must not fill the memory of all hosts, nor take the room of endpoints that are alive.
func TestNumberOfEntriesIsBounded(t *testing.T) {
	table := census.New(time.Minute)
	now := ident.Time(time.Hour)
	for n := range 1 << 16 {
		if n%32 == 0 {
			now = now.Add(50 * time.Millisecond)
			table.Observe(entry("i1", 1, uint64(n)+1, "x", census.Ready), now)
		}
		table.Observe(entry(fmt.Sprint("odd-", n), 1, 1, fmt.Sprint("y", n), census.Ready), now)
	}
	assert.Assert(t, len(table.List()) <= 1<<14)
	_, known := table.Get("i1")
	assert.Assert(t, known)
}
