package link

import (
	"testing"

	"gotest.tools/v3/assert"

	"shallotgap/io/logs"
)

// counter counts the links that came up and were lost.
type counter struct{ ups, downs int }

func (c *counter) Receive(Hello, Message) {}
func (c *counter) LinkUp(Hello)           { c.ups++ }
func (c *counter) LinkDown(Hello)         { c.downs++ }

// Two hosts that dial each other at the same moment have two connections. When one of them breaks, the other one is used:
// a connection that is alive but used in one direction only would look sound to both sides for ever.
func TestOneOfTwoConnectionsBreaks(t *testing.T) {
	common, err := logs.New(t.Output(), "a", "error")
	assert.NilError(t, err)
	for name, broken := range map[string]int{"the older one": 0, "the newer one": 1} {
		t.Run(name, func(t *testing.T) {
			c := &counter{}
			m := New(common, Config{Self: Hello{Host: "a"}, Handler: c})
			conns := []*conn{newConn(nil), newConn(nil)}
			for _, x := range conns {
				x.peer = Hello{Host: "b"}
				m.up(x)
			}
			m.down(conns[broken])
			assert.Assert(t, m.Send("b", Message{Withdraw: "1"}))
			assert.Equal(t, len(conns[1-broken].out), 1)
			assert.Equal(t, c.downs, 0)
			m.down(conns[1-broken])
			assert.Assert(t, !m.Send("b", Message{Withdraw: "2"}))
			assert.Equal(t, c.downs, 1)
		})
	}
}
