package front

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"shallotgap/core/ident"
	"shallotgap/core/layout"
	"shallotgap/core/limit"
	"shallotgap/io/clock"
	"shallotgap/io/link"
)

// The constant part of a retry budget is shared by the entry hosts of the moment. A host that counted them when it made the budget,
// or asked a control host that had just started, kept a share that was several times too large.
func TestRetryBudgetFollowsNumberOfEntryHosts(t *testing.T) {
	cases := map[string]struct {
		before, after []int         // entry hosts that each control host knows, as of its status
		started       bool          // the control hosts start between the statuses before and after
		repeated      time.Duration // the time for which the statuses after are repeated
		lost          string
		want          int // retries without requests
	}{
		"hosts that join later":                {before: []int{1, 1}, after: []int{5, 5}, want: 2},
		"a control host that has just started": {before: []int{5, 5}, after: []int{5, 0}, want: 2},
		"a host that leaves":                   {before: []int{5, 5}, after: []int{2, 2}, repeated: limit.PeakTTL, want: 5},
		"a host that leaves, at first":         {before: []int{5, 5}, after: []int{2, 2}, want: 2},
		"all control hosts have just started":  {before: []int{5, 5}, after: []int{0, 1}, started: true, want: 2},
		"no control host any longer":           {before: []int{5}, lost: "c1", want: 2},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			now := ident.Time(time.Hour)
			defer clock.Replace(func() ident.Time { return now })()
			f, _ := newFront(t)
			ex := &exchange{Front: f, service: layout.Service{Name: "pay"}}
			report := func(counts []int) {
				for i, n := range counts {
					f.handleStatus(ident.HostID([]string{"c1", "c2"}[i]), link.Status{EntryHosts: n})
				}
				f.mu.Lock()
				ex.retryBudget()
				f.mu.Unlock()
			}
			report(c.before)
			if c.started {
				for i := range c.before {
					f.LinkDown(link.Hello{Host: ident.HostID([]string{"c1", "c2"}[i]), Control: true})
				}
			}
			report(c.after)
			for end := now.Add(c.repeated); now < end; {
				now = now.Add(200 * time.Millisecond)
				report(c.after)
			}
			if c.lost != "" {
				f.LinkDown(link.Hello{Host: ident.HostID(c.lost), Control: true})
			}
			spent := 0
			for ex.spendRetry() {
				spent++
			}
			assert.Equal(t, spent, c.want)
		})
	}
}
