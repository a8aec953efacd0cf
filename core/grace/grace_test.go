package grace_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"shallotgap/core/grace"
	"shallotgap/core/ident"
)

func ExampleDurations_Expect() {
	d := grace.NewDurations()
	now := ident.Time(time.Hour)
	fmt.Println(d.Expect("/s/", 15*time.Second, now))
	d.Note("/s/", 2*time.Second, now)
	fmt.Println(d.Expect("/s/", 15*time.Second, now), d.Expect("/s/", time.Second, now))
	// Output:
	// 15s
	// 2.5s 1s
}

// A stopping host takes a request only if it should be over when the host ends its requests: by what is left of its time or, if requests of its
// kind were seen, by how long they took. What may be left of the grace does not count.
func TestAdmission(t *testing.T) {
	start := ident.Time(time.Hour)
	stop := &grace.Stop{CloseAt: start.Add(7600 * time.Millisecond)}
	cases := map[string]struct {
		stop  *grace.Stop
		after time.Duration // since the stop signal
		left  time.Duration
		took  []time.Duration // requests of the same kind just before the stop signal
		want  bool
	}{
		"not stopping":                                     {after: time.Hour, left: time.Hour, want: true},
		"a long limit just after the signal":               {stop: stop, after: 100 * time.Millisecond, left: 15 * time.Second},
		"a long limit, usually short":                      {stop: stop, after: 100 * time.Millisecond, left: 15 * time.Second, took: []time.Duration{2 * time.Second, time.Second}, want: true},
		"a long limit, usually short, late":                {stop: stop, after: 6 * time.Second, left: 15 * time.Second, took: []time.Duration{2 * time.Second, time.Second}},
		"a long limit, one was long":                       {stop: stop, after: 100 * time.Millisecond, left: 15 * time.Second, took: []time.Duration{7 * time.Second, time.Second}},
		"a short limit some seconds later":                 {stop: stop, after: 3077 * time.Millisecond, left: time.Second, want: true},
		"a short limit that goes past the end":             {stop: stop, after: 7 * time.Second, left: time.Second},
		"a short limit that goes past the end, mostly not": {stop: stop, after: 7 * time.Second, left: time.Second, took: []time.Duration{20 * time.Millisecond}, want: true},
		"after the end":                                    {stop: stop, after: 7700 * time.Millisecond, left: time.Second, took: []time.Duration{0}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			d := grace.NewDurations()
			for _, took := range c.took {
				d.Note("/s/", took, start)
			}
			now := start.Add(c.after)
			assert.Equal(t, c.stop.Admits(now, d.Expect("/s/", c.left, now)), c.want)
		})
	}
}

// What a route once took is forgotten, and the number of routes is bounded.
func TestDurationsAreBounded(t *testing.T) {
	d := grace.NewDurations()
	now := ident.Time(time.Hour)
	d.Note("/s/", 8*time.Second, now)
	later := now.Add(time.Minute)
	assert.Equal(t, d.Expect("/s/", time.Hour, later).Round(time.Millisecond), 1250*time.Millisecond)
	d.Note("/s/", 2*time.Second, later)
	assert.Equal(t, d.Expect("/s/", time.Hour, later), 2500*time.Millisecond)
	for n := range 10_000 {
		d.Note(grace.Route(fmt.Sprint(n)), time.Second, later)
	}
	assert.Equal(t, d.Expect("9999", time.Hour, later), 1250*time.Millisecond)
}
