package burn_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"shallotgap/core/burn"
	"shallotgap/core/ident"
)

func targets() burn.Targets {
	return burn.Targets{
		Targets: map[burn.Objective]burn.Target{
			burn.LoadStall: {Limit: 250 * time.Millisecond, Share: 0.9},
			burn.Answered:  {Share: 0.9},
		},
		Windows: []time.Duration{time.Minute, time.Hour},
	}
}

// A workspace whose adapters came late in two of ten requests has spent its budget twice over.
func Example() {
	b := burn.New(targets())
	for n := range 10 {
		stall := 10 * time.Millisecond
		if n >= 8 {
			stall = time.Second
		}
		b.Add(1000, burn.Event{Workspace: "dairy", Objective: burn.LoadStall, Value: stall, Cause: "load-grant"})
	}
	l := b.Report(1001)[0]
	fmt.Printf("%s %s: %d of %d, %.0f%% of the budget, by %s\n", l.Workspace, l.Objective, l.Bad, l.Events, 100*l.Spent, l.Causes[0].Cause)
	// Output: dairy load-stall: 2 of 10, 200% of the budget, by load-grant
}

func TestReport(t *testing.T) {
	type added struct {
		at    int64
		event burn.Event
	}
	bad := burn.Event{Workspace: "w", Objective: burn.Answered, Failed: true, Cause: "late"}
	good := burn.Event{Workspace: "w", Objective: burn.Answered}
	cases := map[string]struct {
		adds       []added
		now        int64
		bad        uint64
		fast, slow float64
	}{
		"all good":                   {adds: []added{{1000, good}, {1000, good}}, now: 1001},
		"half bad just now":          {adds: []added{{1000, good}, {1000, bad}}, now: 1001, bad: 1, fast: 5, slow: 5},
		"bad before the fast window": {adds: []added{{1000, bad}, {2000, good}}, now: 2001, bad: 1, fast: 0, slow: 5},
		"bad before the period":      {adds: []added{{1000, bad}, {9000, good}}, now: 9001},
		"out of order":               {adds: []added{{2000, good}, {1000, bad}}, now: 2001, bad: 1, fast: 0, slow: 5},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			b := burn.New(targets())
			for _, a := range c.adds {
				b.Add(a.at, a.event)
			}
			l := b.Report(c.now)[0]
			assert.Equal(t, l.Bad, c.bad)
			assert.Equal(t, fmt.Sprintf("%.3f", l.Windows[0].Rate), fmt.Sprintf("%.3f", c.fast))
			assert.Equal(t, fmt.Sprintf("%.3f", l.Windows[1].Rate), fmt.Sprintf("%.3f", c.slow))
		})
	}
}

// What two hosts counted apart gives the same report as if one had counted all.
func TestMergeIsAsIfOneHostHadCounted(t *testing.T) {
	one, merged := burn.New(targets()), burn.New(targets())
	halves := []*burn.Recorder{burn.New(targets()), burn.New(targets())}
	for n := range 400 {
		e := burn.Event{Workspace: "w", Objective: burn.LoadStall, Value: time.Duration(n*n) * 10 * time.Microsecond, Cause: "load-grant"}
		if n%7 == 0 {
			e = burn.Event{Workspace: "w", Objective: burn.LoadStall, Failed: true, Cause: "load-failed"}
		}
		at := int64(1000 + n*5)
		one.Add(at, e)
		halves[n%2].Add(at, e)
	}
	merged.Merge(halves[0].Snapshot())
	merged.Merge(halves[1].Snapshot())
	assert.DeepEqual(t, merged.Report(3000), one.Report(3000))
}

// Callers may name any workspace where no tokens are set; what they name must not fill the memory.
func TestWorkspacesAreBounded(t *testing.T) {
	b := burn.New(targets())
	for n := range 3 * burn.MaxSeries {
		b.Add(1000, burn.Event{Workspace: ident.Workspace(fmt.Sprint("w", n)), Objective: burn.Answered})
	}
	lines := b.Report(1001)
	assert.Equal(t, len(lines), burn.MaxSeries+1)
	var events uint64
	for _, l := range lines {
		events += l.Events
	}
	assert.Equal(t, events, uint64(3*burn.MaxSeries))
}

func TestQuantile(t *testing.T) {
	cases := map[string]struct {
		values []time.Duration
		q      float64
		want   time.Duration
	}{
		"empty":          {q: 0.5, want: 0},
		"one":            {values: []time.Duration{3 * time.Millisecond}, q: 0.99, want: 5 * time.Millisecond},
		"on a limit":     {values: []time.Duration{5 * time.Millisecond}, q: 0.5, want: 5 * time.Millisecond},
		"two, high q":    {values: []time.Duration{1, time.Second}, q: 0.95, want: time.Second},
		"beyond all":     {values: []time.Duration{time.Hour}, q: 0.5, want: 160 * time.Second},
		"median of many": {values: []time.Duration{1, 1, 1, time.Second, time.Second}, q: 0.5, want: time.Millisecond},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var h burn.Histogram
			for _, v := range c.values {
				h.Add(v)
			}
			assert.Equal(t, h.Quantile(c.q), c.want)
		})
	}
}
