package replay

import (
	"bytes"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"shallotgap/core/world"
)

// shortened returns a profile with a trace that replays within a second.
func shortened(p Profile, faults bool) Profile {
	p.Length = 20 * time.Second
	p.Adapters = 300
	p.HostCount = 3
	p.Faults = faults
	return p
}

func TestTheSameSeedGivesTheSameRun(t *testing.T) {
	for name, full := range Profiles() {
		t.Run(name, func(t *testing.T) {
			p := shortened(full, true)
			trace := Generate(p, 3)
			assert.DeepEqual(t, trace, Generate(p, 3))
			first := System(p, world.Defaults(), 3, trace)
			assert.DeepEqual(t, first, System(p, world.Defaults(), 3, trace))
			assert.DeepEqual(t, Baseline(p, 3, trace), Baseline(p, 3, trace))
		})
	}
}

// The two invariants of residency hold, nothing stays without an end, and no policy beats the bound.
func TestEveryRequestEndsOnItsAdapter(t *testing.T) {
	cases := map[string]Profile{
		"zahlwerk":              shortened(Zahlwerk(), false),
		"zahlwerk with faults":  shortened(Zahlwerk(), true),
		"mungitura":             shortened(Mungitura(), false),
		"mungitura with faults": shortened(Mungitura(), true),
	}
	for name, p := range cases {
		t.Run(name, func(t *testing.T) {
			trace := Generate(p, 5)
			bound := BoundOf(p, trace)
			for _, r := range []Result{Baseline(p, 5, trace), System(p, world.Defaults(), 5, trace)} {
				assert.Equal(t, r.EvictedInUse, 0, r.Policy)
				assert.Equal(t, r.Unended, 0, r.Policy)
				assert.Assert(t, r.P95 >= bound.P95, "%s: %v below %v", r.Policy, r.P95, bound.P95)
				assert.Assert(t, r.Batch <= bound.Batch, "%s: %v above %v", r.Policy, r.Batch, bound.Batch)
				if !p.Faults {
					assert.Equal(t, r.SentWithoutAdapter, 0, r.Policy)
				}
			}
		})
	}
}

func TestATraceIsReadAsItWasSaved(t *testing.T) {
	list := Generate(shortened(Zahlwerk(), false), 1)
	var file bytes.Buffer
	assert.NilError(t, Save(&file, list))
	read, err := Read(&file)
	assert.NilError(t, err)
	assert.DeepEqual(t, read, list)
}
