package world

import (
	"crypto/sha256"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"

	"shallotgap/core/ident"
	"shallotgap/core/wire"
)

// TraceHeader is the first record of a trace: everything needed to create the recorded World.
type TraceHeader struct {
	Version     int               `json:"version"`
	Self        ident.HostID      `json:"self"`
	Incarnation ident.Incarnation `json:"incarnation"`
	Peers       []Peer            `json:"peers"`
	Stored      *Stored           `json:"stored,omitempty"`
	Params      Params            `json:"params"`
	// Seeds are the seeds of the PCG random number generator.
	Seeds [2]uint64  `json:"seeds"`
	Now   ident.Time `json:"now"`
}

// TraceVersion is the version of the trace format.
const TraceVersion = 1

// TraceStep is a record after the header: an input and a digest of the effects that it had.
type TraceStep struct {
	Input Input `json:"input"`
	// Sum is a truncated SHA-256 of the CBOR encoding of the effects; empty if the input had no effects.
	Sum []byte `json:"sum,omitempty"`
}

// digestLength is the length in bytes of a digest in a trace.
const digestLength = 8

// Config returns the configuration of the recorded World, with a fresh random number generator.
func (h TraceHeader) Config() Config {
	return Config{
		Self: h.Self, Incarnation: h.Incarnation, Peers: h.Peers, Stored: h.Stored, Params: h.Params,
		Rand: rand.New(rand.NewPCG(h.Seeds[0], h.Seeds[1])), Now: h.Now,
	}
}

// NewTraceHeader returns the header for a World created from c, whose random numbers have the given seeds.
func NewTraceHeader(c Config, seeds [2]uint64) TraceHeader {
	return TraceHeader{
		Version: TraceVersion, Self: c.Self, Incarnation: c.Incarnation, Peers: c.Peers, Stored: c.Stored,
		Params: c.Params, Seeds: seeds, Now: c.Now,
	}
}

// NewTraceStep returns the record of an input and its effects.
func NewTraceStep(in Input, effects []Effect) (TraceStep, error) {
	sum, err := effectsDigest(effects)
	return TraceStep{Input: in, Sum: sum}, err
}

// effectsDigest returns the digest of an input's effects; nil if there are none.
func effectsDigest(effects []Effect) ([]byte, error) {
	if len(effects) == 0 {
		return nil, nil
	}
	data, err := wire.Marshal(effects)
	if err != nil {
		return nil, err
	}
	sum := sha256.Sum256(data)
	return sum[:digestLength], nil
}

// ReplayError reports the first record of a trace whose effects a replay did not reproduce.
type ReplayError struct {
	Step    int // number of the record, counted from 1
	Input   Input
	Effects []Effect // effects that the replay returned for the record
}

// Error implements the error interface.
func (e *ReplayError) Error() string {
	return fmt.Sprintf("replay: the effects of record %d at %d ns differ from the recorded ones", e.Step, e.Input.Now)
}

// Next returns the next record of a trace, or io.EOF after the last one.
type Next func() (TraceStep, error)

// Rerun feeds the inputs of a trace to a new World and returns the number of inputs handled. It calls seen with every
// record and the effects of this run; an error from seen ends the run.
func Rerun(h TraceHeader, next Next, seen func(TraceStep, []Effect) error) (int, error) {
	if h.Version != TraceVersion {
		return 0, fmt.Errorf("replay: unsupported trace version %d, want %d", h.Version, TraceVersion)
	}
	w, err := New(h.Config())
	if err != nil {
		return 0, err
	}
	for n := 0; ; n++ {
		step, err := next()
		if errors.Is(err, io.EOF) {
			return n, nil
		}
		if err != nil {
			return n, fmt.Errorf("replay: record %d: %w", n+1, err)
		}
		if err := seen(step, w.Handle(step.Input)); err != nil {
			return n, err
		}
	}
}

// Replay is like Rerun, but ends with a ReplayError at the first input whose effects differ from the recorded ones.
func Replay(h TraceHeader, next Next, seen func(Input, []Effect)) (int, error) {
	n := 0
	return Rerun(h, next, func(step TraceStep, effects []Effect) error {
		n++
		seen(step.Input, effects)
		sum, err := effectsDigest(effects)
		if err != nil {
			return err
		}
		if string(sum) != string(step.Sum) {
			return &ReplayError{Step: n, Input: step.Input, Effects: effects}
		}
		return nil
	})
}
