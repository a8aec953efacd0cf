package matrix_test

import (
	"bytes"
	"encoding/json"
	"os"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"shallotgap/core/ident"
	"shallotgap/fakes/matrix"
)

// A replay of the recorded inputs of a host gives the effects that were recorded.
func TestRecordedInputsGiveTheSameEffects(t *testing.T) {
	cases := map[string]struct {
		cell matrix.Cell
		host ident.HostID
	}{
		"leader cut off":                   {matrix.Cell{Step: matrix.Claim, Faults: []matrix.Fault{matrix.CutBoth}}, "e1"},
		"voter frozen":                     {matrix.Cell{Step: matrix.Commit, Faults: []matrix.Fault{matrix.Frozen}}, "e2"},
		"host without disk, late messages": {matrix.Cell{Step: matrix.Forward, Faults: []matrix.Fault{matrix.Late, matrix.Late}}, "e4"},
		"host without disk, links reset":   {matrix.Cell{Step: matrix.Forward, Faults: []matrix.Fault{matrix.LinkReset}}, "e4"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var file bytes.Buffer
			want, err := matrix.RecordCell(c.cell, c.host, &file, 64<<20)
			assert.NilError(t, err)
			got, n, err := matrix.ReplayAll(&file)
			assert.NilError(t, err)
			assert.Equal(t, got, want)
			assert.Assert(t, n > 500 && got.Notes > 0, "%d records, %+v", n, got)
		})
	}
}

// Recorded traces lead to the outcomes in testdata. After an intended change of the decisions, run with -update to record
// the traces and outcomes again; the diff of the outcomes shows the effect of the change.
func TestRecordedTracesLeadToTheirStatedOutcomes(t *testing.T) {
	cases := map[string]struct {
		cell matrix.Cell
		host ident.HostID
	}{
		"owner-link-reset": {matrix.Cell{Step: matrix.Drain, Faults: []matrix.Fault{matrix.LinkReset}}, "e4"},
		"voter-start":      {matrix.Cell{Step: matrix.Commit, Faults: []matrix.Fault{matrix.Frozen}}, "e2"},
		"entry-late":       {matrix.Cell{Step: matrix.Forward, Faults: []matrix.Fault{matrix.Late, matrix.Late}}, "e4"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			path := golden.Path(name + ".trace")
			if golden.FlagUpdate() {
				var file bytes.Buffer
				_, err := matrix.RecordCell(c.cell, c.host, &file, traceBytes)
				assert.NilError(t, err)
				assert.NilError(t, os.WriteFile(path, file.Bytes(), 0o600))
			}
			file, err := os.Open(path)
			assert.NilError(t, err)
			defer func() { _ = file.Close() }()
			got, err := matrix.Rerun(file)
			assert.NilError(t, err)
			text, err := json.MarshalIndent(got, "", "  ")
			assert.NilError(t, err)
			golden.Assert(t, string(text)+"\n", name+".golden")
		})
	}
}

// traceBytes is the maximum size of a recorded trace.
const traceBytes = 300 << 10
