package poison_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"shallotgap/core/ident"
	"shallotgap/core/poison"
)

func ExampleIdentity_Label() {
	id := poison.Identity{Method: "GET", Target: "farm.example/yield?robot=4", Caller: "192.0.2.7"}
	fmt.Println(id.Label())
	// Output: GET farm.example/yield from 192.0.2.7
}

// The parts of a request tell callers apart and name no content; a second part stands for the request of any caller.
func TestIdentityParts(t *testing.T) {
	base := poison.Identity{Method: "POST", Target: "a/b", Caller: "c", Body: []byte("body")}
	key := []byte("key")
	parts := base.Parts(key)
	assert.Equal(t, len(parts), 2)
	for _, p := range parts {
		assert.Assert(t, p.IsRequest() && !strings.Contains(string(p), "body"))
	}
	cases := map[string]struct {
		change          func(*poison.Identity)
		key             string
		same, anyCaller bool
	}{
		"nothing":         {change: func(*poison.Identity) {}, key: "key", same: true, anyCaller: true},
		"another caller":  {change: func(i *poison.Identity) { i.Caller = "d" }, key: "key", anyCaller: true},
		"another path":    {change: func(i *poison.Identity) { i.Target = "a/c" }, key: "key"},
		"another body":    {change: func(i *poison.Identity) { i.Body = []byte("bodY") }, key: "key"},
		"another prompt":  {change: func(i *poison.Identity) { i.Prompt = "x" }, key: "key"},
		"another key":     {change: func(*poison.Identity) {}, key: "other"},
		"shifted borders": {change: func(i *poison.Identity) { i.Target, i.Method = "OST a/b", "P" }, key: "key"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			other := base
			c.change(&other)
			got := other.Parts([]byte(c.key))
			assert.Equal(t, got[0] == parts[0], c.same)
			assert.Equal(t, got[1] == parts[1], c.anyCaller)
		})
	}
}

// Repeated crashes block a request at the third; a lifted one is on trial under all its parts, and blocked again by one crash, also after a
// snapshot.
func TestRepeatedCrashesBlockRequest(t *testing.T) {
	table := poison.NewTable()
	apply := func(part poison.Part, crashed ...ident.EndpointID) poison.State {
		c := poison.Repeated{Part: part, Label: "GET /x from c"}
		for _, id := range crashed {
			c.Instances = append(c.Instances, ident.Instance{ID: id})
		}
		table.Apply(poison.Command{Repeated: &c})
		table = poison.Restore(table.Snapshot())
		r, _ := table.Get(part)
		return r.State
	}
	assert.Equal(t, apply("request-1", "a", "b"), poison.Suspect)
	assert.Equal(t, apply("request-1", "b", "a"), poison.Suspect, "a resent command counts nothing")
	assert.Equal(t, apply("request-1", "a", "b", "c"), poison.Blocked)
	assert.Equal(t, apply("request-2", "a", "b", "c"), poison.Blocked)
	table.Apply(poison.Command{Clear: []poison.Part{"request-1"}})
	r, _ := table.Get("request-1")
	assert.Equal(t, r.State, poison.Blocked, "a late answer lifts nothing")
	assert.Assert(t, table.Apply(poison.Command{Lift: "request-1"}))
	for _, p := range []poison.Part{"request-1", "request-2"} {
		r, _ := table.Get(p)
		assert.Equal(t, r.State, poison.OnTrial, "%s", p)
	}
	assert.Assert(t, !table.Apply(poison.Command{Lift: "request-2"}))
	assert.Equal(t, apply("request-2", "a", "c"), poison.OnTrial, "crashes from before the lift count nothing")
	assert.Equal(t, apply("request-2", "d"), poison.Blocked)
	table.Apply(poison.Command{Clear: []poison.Part{"request-1"}})
	_, known := table.Get("request-1")
	assert.Assert(t, !known, "an answer on trial clears the request")
}

func TestKeyIsSetOnce(t *testing.T) {
	table := poison.NewTable()
	assert.Assert(t, table.Apply(poison.Command{Key: []byte("a")}))
	assert.Assert(t, !table.Apply(poison.Command{Key: []byte("b")}))
	assert.DeepEqual(t, poison.Restore(table.Snapshot()).Key, []byte("a"))
}

// What a host saw counts until the leader has judged, and as long as none leads; both sides of the timers.
func TestEvidence(t *testing.T) {
	at := ident.Time(time.Hour)
	instance := func(n int) ident.Instance { return ident.Instance{ID: ident.EndpointID(fmt.Sprint(n))} }
	parts := []poison.Part{"request-1"}
	cases := map[string]struct {
		crashes int
		led     bool
		after   time.Duration
		answer  bool
		want    poison.State
	}{
		"none":                            {},
		"one":                             {crashes: 1, want: poison.Suspect},
		"three":                           {crashes: 3, want: poison.Blocked},
		"one, just now, with a leader":    {crashes: 1, led: true, after: 2 * time.Second, want: poison.Suspect},
		"one, judged by the leader":       {crashes: 1, led: true, after: 4 * time.Second},
		"three, long without a leader":    {crashes: 3, after: 9 * time.Minute, want: poison.Blocked},
		"three, forgotten":                {crashes: 3, after: 11 * time.Minute},
		"one, then answered":              {crashes: 1, answer: true},
		"the same endpoint, many reports": {crashes: -5, want: poison.Suspect},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			e := poison.NewEvidence()
			for n := range max(c.crashes, -c.crashes) {
				if c.crashes < 0 {
					n = 0
				}
				e.Add("request-1", "x", at, instance(n))
			}
			if c.answer {
				e.Clear("request-1")
			}
			state, _ := e.StateOf(poison.NewTable(), parts, c.led, at.Add(c.after))
			assert.Equal(t, state, c.want)
		})
	}
}

func TestEvidenceIsBounded(t *testing.T) {
	e := poison.NewEvidence()
	for n := range 20_000 {
		e.Add(poison.Part(fmt.Sprint("request-", n)), "x", ident.Time(n), ident.Instance{ID: "e"})
	}
	assert.Assert(t, e.Len() <= 4096)
	n, _ := e.Count("request-19999", 20_000)
	assert.Equal(t, n, 1)
}
