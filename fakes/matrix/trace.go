package matrix

import (
	"io"

	"shallotgap/core/ident"
	"shallotgap/core/world"
	"shallotgap/fakes/vtime"
	"shallotgap/io/trace"
)

// EffectCounts counts the effects that the inputs of a trace led to.
type EffectCounts struct {
	Dispatched int `json:"dispatched"`
	Refused    int `json:"refused"`
	Loads      int `json:"loads"`
	Evictions  int `json:"evictions"`
	Claims     int `json:"claims"`
	Notes      int `json:"notes"`
}

// Add adds effects to the counts.
func (o *EffectCounts) Add(effects []world.Effect) {
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

// RecordCell runs a cell and writes a trace of a host from its first start until it stops, up to limit bytes. It returns
// the counts of the recorded effects.
func RecordCell(c Cell, host ident.HostID, out io.Writer, limit int64) (EffectCounts, error) {
	var o EffectCounts
	w := trace.NewWriter(out, limit)
	started := false
	var recordErr error // first error, after which nothing is recorded; reaching the limit is an error
	b := NewBench(c.Seed(), func(h *vtime.Host, header world.TraceHeader) vtime.Recorder {
		if started || h.Name != host {
			return nil
		}
		started = true
		recordErr = w.WriteHeader(header)
		return func(in world.Input, effects []world.Effect) {
			if recordErr != nil {
				return
			}
			if recordErr = w.Add(in, effects); recordErr == nil {
				o.Add(effects)
			}
		}
	})
	run(b, c)
	return o, w.Flush()
}

// ReplayAll replays a trace, checking the effects against the recorded ones. It returns the counts of the effects and the
// number of inputs.
func ReplayAll(in io.Reader) (EffectCounts, int, error) {
	var o EffectCounts
	r, err := trace.NewReader(in)
	if err != nil {
		return o, 0, err
	}
	n, err := world.Replay(r.Header, r.Next, func(_ world.Input, effects []world.Effect) { o.Add(effects) })
	return o, n, err
}

// Rerun runs the inputs of a trace and returns the counts of the resulting effects. These may differ from the recorded ones.
func Rerun(in io.Reader) (EffectCounts, error) {
	var o EffectCounts
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
