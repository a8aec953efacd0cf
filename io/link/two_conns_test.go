package link

import (
	"testing"

	"gotest.tools/v3/assert"

	"shallotgap/io/logs"
)

// counter counts calls of LinkUp and LinkDown.
type counter struct{ ups, downs int }

func (c *counter) Receive(Hello, Message) {}
func (c *counter) LinkUp(Hello)           { c.ups++ }
func (c *counter) LinkDown(Hello)         { c.downs++ }

// Two hosts that dial each other at the same time have two connections. When one breaks, messages must go over the other.
// Otherwise the remaining connection would carry messages in one direction only and still look healthy to both hosts.
func TestOneOfTwoConnectionsBreaks(t *testing.T) {
	common, err := logs.New(t.Output(), "a", "error")
	assert.NilError(t, err)
	for name, broken := range map[string]int{"older connection": 0, "newer connection": 1} {
		t.Run(name, func(t *testing.T) {
			c := &counter{}
			m := New(common, Config{Self: Hello{Host: "a"}, Handler: c})
			conns := []*conn{newConn(nil, nil), newConn(nil, nil)}
			for _, x := range conns {
				x.peer = Hello{Host: "b"}
				m.addConn(x)
			}
			m.removeConn(conns[broken])
			assert.Assert(t, m.Send("b", Message{Withdraw: "1"}))
			assert.Equal(t, len(conns[1-broken].sendQueue), 1)
			assert.Equal(t, c.downs, 0)
			m.removeConn(conns[1-broken])
			assert.Assert(t, !m.Send("b", Message{Withdraw: "2"}))
			assert.Equal(t, c.downs, 1)
		})
	}
}
