package matrix

import (
	"io"

	"shallotgap/core/ident"
	"shallotgap/core/world"
	"shallotgap/fakes/vtime"
	"shallotgap/io/trace"
)

// Outcome counts what the inputs of a trace led to.
type Outcome struct {
	Dispatched int `json:"dispatched"`
	Refused    int `json:"refused"`
	Loads      int `json:"loads"`
	Evictions  int `json:"evictions"`
	Claims     int `json:"claims"`
	Notes      int `json:"notes"`
}

// Add counts effects.
func (o *Outcome) Add(effects []world.Effect) {
	for _, e := range effects {
		switch {
		case e.Dispatch != nil:
			o.Dispatched++
		case e.Refuse != nil:
			o.Refused++
		case e.Load != nil:
			o.Loads++
			if e.Load.Evict != nil {
				o.Evictions++
			}
		case e.Note != nil:
			o.Notes++
			if e.Note.Step == "claim" {
				o.Claims++
			}
		}
	}
}

// RecordCell runs a cell and writes the trace of the first run of a host, up to limit bytes.
func RecordCell(c Cell, host ident.HostID, out io.Writer, limit int64) (Outcome, error) {
	var o Outcome
	w := trace.NewWriter(out, limit)
	started := false
	var ended error
	b := NewBench(c.Seed(), func(h *vtime.Host, header world.TraceHeader) vtime.Recorder {
		if started || h.Name != host {
			return nil
		}
		started = true
		ended = w.WriteHeader(header)
		return func(in world.Input, effects []world.Effect) {
			if ended != nil {
				return
			}
			if ended = w.Add(in, effects); ended == nil {
				o.Add(effects)
			}
		}
	})
	run(b, c)
	return o, w.Flush()
}

// ReplayAll replays a trace and returns what it led to.
func ReplayAll(in io.Reader) (Outcome, int, error) {
	var o Outcome
	r, err := trace.NewReader(in)
	if err != nil {
		return o, 0, err
	}
	n, err := world.Replay(r.Header, r.Next, func(_ world.Input, effects []world.Effect) { o.Add(effects) })
	return o, n, err
}

// Rerun runs the inputs of a trace and returns what they lead to now, whatever they led to when they were recorded.
func Rerun(in io.Reader) (Outcome, error) {
	var o Outcome
	r, err := trace.NewReader(in)
	if err != nil {
		return o, err
	}
	_, err = world.Rerun(r.Header, r.Next, func(_ world.TraceStep, effects []world.Effect) error {
		o.Add(effects)
		return nil
	})
	return o, err
}
