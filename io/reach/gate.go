package reach

import (
	"errors"
	"fmt"
	"net/http"
	"time"

	"shallotgap/core/heed"
	"shallotgap/core/reach"
	"shallotgap/io/clock"
	"shallotgap/io/dial"
)

// HeldError is a send that was not made because of what its endpoint had said.
type HeldError struct {
	Leaving bool
	// Rest is how long the endpoint still wants nothing from the host that would send.
	Rest time.Duration
}

// Error describes why the endpoint accepts no requests.
func (e *HeldError) Error() string {
	if e.Leaving {
		return "the endpoint leaves"
	}
	return fmt.Sprintf("the endpoint wants a rest of %s", e.Rest)
}

// stepGate is the step of an error of a send that was not made.
const stepGate = "gate"

// heldBack returns the error of a send that must not be made, or nil. own is true for a send of this host itself.
func (c *Client) heldBack(t reach.Target, own bool) error {
	c.mu.Lock()
	leaving, rest := c.gate.Leaving(t.Instance), c.gate.Rest(t.Instance, clock.Boot())
	c.mu.Unlock()
	switch {
	case leaving:
		rest = 0
	case !own || rest == 0:
		return nil
	}
	c.Meter.Count("shallotgap_held_sends_total", "cause", map[bool]string{true: "leaving", false: "rest"}[leaving])
	return &dial.Error{Step: stepGate, Peer: t.Address, Err: &HeldError{Leaving: leaving, Rest: rest}}
}

// Held reports whether a request must not be sent to an endpoint now, and how long it still wants nothing; 0 for one that leaves.
func (c *Client) Held(t reach.Target) (rest time.Duration, held bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.gate.Leaving(t.Instance) {
		return 0, true
	}
	rest = c.gate.Rest(t.Instance, clock.Boot())
	return rest, rest > 0 && c.paths.Direct(t, c.relays.Len() > 0)
}

// HeldEndpoints returns the endpoints that are held back.
func (c *Client) HeldEndpoints() []heed.Held {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.gate.List(clock.Boot())
}

// OnSaid sets the function that is called when an endpoint says something new of itself. It must not block.
func (c *Client) OnSaid(f func(reach.Target, heed.Said)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.onSaid = f
}

// note records the endpoint state in a response. own is true if this host sent the request itself, not through a relay.
func (c *Client) note(t reach.Target, status int, h http.Header, own bool) {
	if c.Said == nil || status == http.StatusMisdirectedRequest { // another endpoint may listen at the address now
		return
	}
	said := c.Said(status, h)
	if !said.Leaving && said.Rest == 0 && said.Bad == "" {
		return
	}
	c.mu.Lock()
	news, f := c.gate.Note(t.Instance, said, own, clock.Boot()), c.onSaid
	_, logged := c.badFrom[t.Instance]
	bad := said.Bad != "" && !logged
	if bad {
		if len(c.badFrom) >= maxBadLogged {
			clear(c.badFrom)
		}
		c.badFrom[t.Instance] = struct{}{}
	}
	c.mu.Unlock()
	if news || bad {
		c.Log.WithField("step", "gate").WithField("endpoint", t.Instance.ID).WithField("service", t.Service).WithField("leaving", said.Leaving).
			WithField("rest", said.Rest.String()).WithField("own", own).WithField("bad", said.Bad).Info("said")
	}
	if news && f != nil {
		f(t, said)
	}
}

// maxBadLogged is the number of endpoints whose values that were not understood are logged once each.
const maxBadLogged = 1000

// heldResult returns the head of the reply to a relayed request that this host must not send, and false if err is another error.
func heldResult(err error) (relayHead, bool) {
	var held *HeldError
	if !errors.As(err, &held) {
		return relayHead{}, false
	}
	return relayHead{Result: relayHeld, Leaving: held.Leaving, Rest: held.Rest}, true
}
