package host

import (
	"shallotgap/core/world"
	"shallotgap/io/trace"
)

// record starts a trace of the decision core, if the settings name a file.
func (h *Host) record(c world.Config) error {
	if h.Settings.Trace == "" {
		return nil
	}
	header := world.NewTraceHeader(c, [2]uint64{h.Seed, uint64(h.Incarnation)})
	w, err := trace.Create(h.Settings.Trace, h.Settings.TraceBytes, header)
	h.trace = w
	return err
}

// recordStep adds an input with its effects; a trace that cannot go on ends, the host serves on.
func (h *Host) recordStep(in world.Input, effects []world.Effect) {
	if h.trace == nil {
		return
	}
	if err := h.trace.Add(in, effects); err != nil {
		h.Log.WithField("step", "trace").WithError(err).Warn("trace-ended")
		h.endRecord()
	}
}

func (h *Host) endRecord() {
	if h.trace == nil {
		return
	}
	if err := h.trace.Close(); err != nil {
		h.Log.WithField("step", "trace").WithError(err).Warn("trace-ended")
	}
	h.trace = nil
}
