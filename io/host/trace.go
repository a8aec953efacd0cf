package host

import (
	"shallotgap/core/world"
	"shallotgap/io/trace"
)

// startTrace creates a trace file for the decision core, if the settings name one.
func (h *Host) startTrace(c world.Config) error {
	if h.Settings.Trace == "" {
		return nil
	}
	header := world.NewTraceHeader(c, [2]uint64{h.Seed, uint64(h.Incarnation)})
	w, err := trace.Create(h.Settings.Trace, h.Settings.TraceBytes, header)
	h.trace = w
	return err
}

// traceStep appends an input and its effects to the trace. A failed write ends the trace but not the host.
func (h *Host) traceStep(in world.Input, effects []world.Effect) {
	if h.trace == nil {
		return
	}
	if err := h.trace.Add(in, effects); err != nil {
		h.Log.WithField("step", "trace").WithError(err).Warn("trace-ended")
		h.closeTrace()
	}
}

// closeTrace closes the trace, if one is open.
func (h *Host) closeTrace() {
	if h.trace == nil {
		return
	}
	if err := h.trace.Close(); err != nil {
		h.Log.WithField("step", "trace").WithError(err).Warn("trace-ended")
	}
	h.trace = nil
}
