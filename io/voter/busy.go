package voter

import (
	"time"

	"shallotgap/core/ident"
	"shallotgap/io/clock"
)

// busyTurn is the length of a turn of the loop above which the turn is logged. No heartbeat leaves during a turn.
const busyTurn = quorumHeartbeat

// turn is what one turn of the loop has done.
type turn struct {
	startedAt ident.Time
	events    int
	fetches   int // fetches of entry hosts that were answered
	applied   int // log entries that were applied
}

// endTurn measures the current turn of the loop, and logs a long one with its work.
func (v *Voter) endTurn() {
	took := clock.Boot().Sub(v.turn.startedAt)
	v.Meter.ObserveDuration("shallotgap_loop_turn_seconds", took)
	if took > busyTurn {
		v.Log.WithField("step", "loop").WithField("took", took.Round(time.Millisecond).String()).WithField("events", v.turn.events).WithField("fetches", v.turn.fetches).
			WithField("applied", v.turn.applied).WithField("waiting", len(v.inbox)).WithField("role", v.node.Role()).Warn("busy")
	}
}
