package voter

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"shallotgap/core/burn"
	"shallotgap/core/ident"
	"shallotgap/core/quorum"
	"shallotgap/io/clock"
	"shallotgap/io/logs"
	"shallotgap/io/metric"
)

// The log must tell why a leader sent no heartbeats: how long its loop was busy, and with what.
func TestBusyTurnIsLogged(t *testing.T) {
	cases := map[string]struct {
		took time.Duration
		want string
	}{
		"short": {took: 0},
		"long":  {took: 2 * busyTurn, want: "fetches=7"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var out bytes.Buffer
			common, err := logs.New(&out, "c1", "info")
			assert.NilError(t, err)
			v := &Voter{Common: common, Meter: metric.New(burn.Targets{}), node: &quorum.Node{}, turn: turn{startedAt: clock.Boot().Add(-c.took), fetches: 7}}
			v.endTurn()
			assert.Equal(t, strings.Contains(out.String(), "busy"), c.want != "", out.String())
			assert.Assert(t, strings.Contains(out.String(), c.want), out.String())
		})
	}
}

// A leader that handled 128 expensive events in one turn sent no heartbeat meanwhile and lost the leadership.
func TestTurnEndsAfterExpensiveEvents(t *testing.T) {
	cases := map[string]struct {
		cost time.Duration // of an event
		most int           // events in one turn
	}{
		"cheap":     {cost: time.Microsecond, most: maxEventBatch + 1},
		"expensive": {cost: 5 * time.Millisecond, most: 4},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			now := ident.Time(time.Hour)
			t.Cleanup(clock.Replace(func() ident.Time { return now }))
			v := &Voter{inbox: make(chan func(), inboxCapacity), turn: turn{startedAt: now, events: 1}}
			for range 2 * maxEventBatch {
				v.inbox <- func() { now = now.Add(c.cost) }
			}
			v.runQueued()
			assert.Equal(t, v.turn.events, c.most)
		})
	}
}
