package voter

import (
	"context"
	"testing"

	"gotest.tools/v3/assert"

	"shallotgap/core/ident"
	"shallotgap/core/poison"
	"shallotgap/io/link"
)

// recordingNetwork records to which of some peers each message is sent.
type recordingNetwork struct {
	peers []link.Hello
	sent  map[ident.HostID][]link.Message
}

func (*recordingNetwork) Run(context.Context) error            { return nil }
func (*recordingNetwork) Target(ident.HostID)                  {}
func (*recordingNetwork) Send(ident.HostID, link.Message) bool { return true }

func (n *recordingNetwork) SendEncoded(ident.HostID, link.Encoded) bool { return true }

func (n *recordingNetwork) SendAll(m link.Message, match func(link.Hello) bool) {
	for _, p := range n.peers {
		if match(p) {
			n.sent[p.Host] = append(n.sent[p.Host], m)
		}
	}
}

// While no host leads, a control host still passes a crash on to the other entry hosts, so that none sends the request again. A report
// that was passed on goes no further.
func TestCrashesAreRelayedWithoutLeader(t *testing.T) {
	v := newVoter(t, t.TempDir())
	n := &recordingNetwork{peers: []link.Hello{{Host: "f1"}, {Host: "f2"}, {Host: "c2", Control: true}}, sent: map[ident.HostID][]link.Message{}}
	v.mesh = n
	crash := poison.Crash{Instance: ident.Instance{ID: "p1"}, Suspects: []poison.Request{{Whole: []poison.Part{"request-1"}, Label: "GET /x from c"}}}
	v.receive(link.Hello{Host: "f1"}, link.Message{Crashed: &link.CrashReport{Crash: crash}})
	assert.Equal(t, len(n.sent["f1"])+len(n.sent["c2"]), 0)
	assert.Equal(t, len(n.sent["f2"]), 1)
	relayed := n.sent["f2"][0].Crashed
	assert.Assert(t, relayed.Relayed)
	assert.DeepEqual(t, relayed.Crash, crash)
	v.receive(link.Hello{Host: "f1"}, link.Message{Crashed: relayed})
	assert.Equal(t, len(n.sent["f2"]), 1)
}
