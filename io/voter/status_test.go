package voter

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"shallotgap/core/census"
	"shallotgap/core/ident"
)

// Control hosts of an earlier version cannot read short heartbeats, so they must receive each heartbeat in full form.
func TestFullHeartbeatsForEarlierVersions(t *testing.T) {
	known := census.Entry{Instance: ident.Instance{ID: "g1", Born: 1}, Seq: 4, Service: "llm", Address: "x", State: census.Ready}
	cases := map[string]struct {
		legacy   bool
		instance ident.Instance
		want     int
	}{
		"no earlier version linked": {instance: known.Instance},
		"earlier version linked":    {legacy: true, instance: known.Instance, want: 1},
		"unknown endpoint":          {legacy: true, instance: ident.Instance{ID: "g2", Born: 1}},
		"earlier incarnation":       {legacy: true, instance: ident.Instance{ID: "g1", Born: 0}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			v := &Voter{census: census.New(time.Minute), hasLegacyPeers: c.legacy, shortHeartbeats: []census.ShortHeartbeat{{Instance: c.instance, Seq: 4}}}
			v.census.Observe(known, 1)
			assert.Equal(t, len(v.expandShortHeartbeats(nil)), c.want)
		})
	}
}
