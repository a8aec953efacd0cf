package voter

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"shallotgap/core/census"
	"shallotgap/core/ident"
)

// Control hosts of an earlier version, which take no beats, are told the whole heartbeats that these stand for.
func TestBeatsForEarlierVersions(t *testing.T) {
	known := census.Entry{Instance: ident.Instance{ID: "g1", Born: 1}, Seq: 4, Service: "llm", Address: "x", State: census.Ready}
	cases := map[string]struct {
		older bool
		beat  ident.Instance
		want  int
	}{
		"none is linked":            {beat: known.Instance},
		"one is linked":             {older: true, beat: known.Instance, want: 1},
		"of an endpoint since gone": {older: true, beat: ident.Instance{ID: "g2", Born: 1}},
		"of a former start":         {older: true, beat: ident.Instance{ID: "g1", Born: 0}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			v := &Voter{census: census.New(time.Minute), older: c.older, beats: []census.ShortHeartbeat{{Instance: c.beat, Seq: 4}}}
			v.census.Observe(known, 1)
			assert.Equal(t, len(v.wholeBeats(nil)), c.want)
		})
	}
}
