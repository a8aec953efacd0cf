package reach

import (
	"context"
	"fmt"
	"time"

	"golang.org/x/sync/errgroup"

	"shallotgap/core/ident"
	"shallotgap/core/reach"
	"shallotgap/io/clock"
)

// Run probes lost and doubtful paths until the context ends.
func (c *Client) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return group.Wait()
		case <-ticker.C:
		}
		for _, t := range c.due(clock.Boot()) {
			group.Go(func() error { c.probe(ctx, t); return nil })
		}
	}
}

// due returns the endpoints to probe.
func (c *Client) due(now ident.Time) []reach.Target {
	if c.forget(now) {
		c.publish()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	quiet := c.isQuiet(now)
	for s := range c.open {
		if silence := now.Sub(ident.Time(s.heardAt.Load())); silence > longSilence || (quiet && silence > silenceLimit) {
			c.paths.Suspect(s.Target, now)
		}
	}
	return c.paths.Due(now)
}

// forget drops what is over, and reports whether lost paths were among it.
func (c *Client) forget(now ident.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.gate.Forget(now)
	return c.paths.Forget(now)
}

// isQuiet reports whether nothing has arrived from any endpoint for a while.
func (c *Client) isQuiet(now ident.Time) bool {
	return now.Sub(ident.Time(c.heard.Load())) > silenceLimit
}

// suspect has the path to an endpoint probed.
func (c *Client) suspect(t reach.Target) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.paths.Suspect(t, clock.Boot())
}

// probe opens a connection to an endpoint and keeps it for the next request.
func (c *Client) probe(ctx context.Context, t reach.Target) {
	err := c.dial.Probe(ctx, Key(t.Instance), t.Address)
	switch {
	case ctx.Err() != nil:
	case err != nil:
		c.fail(t, err)
	default:
		c.succeed(t)
	}
}

// succeed records that an endpoint was reached.
func (c *Client) succeed(t reach.Target) {
	c.mu.Lock()
	healed := c.paths.Succeed(t, clock.Boot())
	c.mu.Unlock()
	if healed {
		c.logPath(t, "back", nil)
		c.publish()
	}
}

// fail records that no connection to an endpoint could be made.
func (c *Client) fail(t reach.Target, err error) {
	c.dial.CloseIdle(Key(t.Instance))
	c.mu.Lock()
	wasCutOff := c.paths.CutOff(t.Service)
	news := c.paths.Fail(t, clock.Boot())
	isCutOff := c.paths.CutOff(t.Service)
	c.mu.Unlock()
	switch {
	case isCutOff && !wasCutOff:
		c.learnAll(t.Service)
	case news && !isCutOff:
		c.learnService(t.Service)
		c.mu.Lock()
		c.paths.SuspectPeers(t.Service, clock.Boot())
		c.mu.Unlock()
	}
	if news {
		c.logPath(t, "lost", err)
		c.publish()
	}
}

// gone records that no host can connect to an endpoint, as far as this one knows.
func (c *Client) gone(t reach.Target) {
	c.mu.Lock()
	c.paths.Gone(t, clock.Boot())
	c.mu.Unlock()
	c.logPath(t, "gone", nil)
	c.publish()
}

// logPath logs a change of a path.
func (c *Client) logPath(t reach.Target, outcome string, err error) {
	c.mu.Lock()
	cutOff := c.paths.CutOff(t.Service)
	c.mu.Unlock()
	c.Log.WithField("step", "reach").WithField("endpoint", t.Instance.ID).WithField("service", t.Service).WithField("peer", t.Address).
		WithField("outcome", outcome).WithField("cut-off", cutOff).WithField("cause", fmt.Sprint(err)).Info("path")
}

// publish tells a change of the lost paths.
func (c *Client) publish() {
	c.mu.Lock()
	had := !c.faults.Empty()
	c.faults = c.paths.Faults()
	f, notify := c.faults, c.onFaults
	if !had && !f.Empty() && c.relays.Len() == 0 {
		c.lostSince, c.listed = clock.Boot(), make(chan struct{})
	}
	c.mu.Unlock()
	c.Meter.Gauge("shallotgap_paths_lost", int64(len(f.Endpoints)))
	c.Meter.Gauge("shallotgap_services_cut_off", int64(len(f.Services)))
	if notify != nil {
		notify()
	}
}

// Faults returns the paths that this host has lost.
func (c *Client) Faults() reach.Faults {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.faults
}

// OnFaults sets the function that is called when the lost paths have changed. It must not block.
func (c *Client) OnFaults(f func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.onFaults = f
}

// SetLister sets the function that lists the endpoints of a service, which may be probed. It is called without a lock of the client.
func (c *Client) SetLister(l Lister) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.list = l
}

// Learn adds endpoints to those that may be probed.
func (c *Client) Learn(targets []reach.Target) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, t := range targets {
		c.paths.Learn(t, clock.Boot())
	}
}

// learnService adds all endpoints of a service that this host knows.
func (c *Client) learnService(s ident.Service) {
	if list := c.lister(); list != nil {
		c.Learn(list(s))
	}
}

// learnAll adds the endpoints of all services after the paths to one were lost, and has some of the others probed.
func (c *Client) learnAll(lost ident.Service) {
	list := c.lister()
	if list == nil {
		return
	}
	c.Learn(list(""))
	c.mu.Lock()
	defer c.mu.Unlock()
	c.paths.SuspectOthers(lost)
}

func (c *Client) lister() Lister {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.list
}

// Hopeless reports whether a request need not be tried, as neither this host nor one that it knows has a path to the service. One request is let
// through now and then.
func (c *Client) Hopeless(s ident.Service) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.relays.Len() == 0 && c.paths.Hopeless(s, clock.Boot())
}

// CutOff reports whether this host has lost its paths to all endpoints of a service.
func (c *Client) CutOff(s ident.Service) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.paths.CutOff(s)
}

// SetRelays takes in a control host's list of the hosts that can send for this one.
func (c *Client) SetRelays(list []reach.Relay) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.relays.Set(list, clock.Boot())
	select {
	case <-c.listed:
	default:
		close(c.listed)
	}
}

// begin registers a send without an answer.
func (c *Client) begin(t reach.Target) *openSend {
	s := &openSend{Target: t}
	s.heardAt.Store(int64(clock.Boot()))
	c.mu.Lock()
	defer c.mu.Unlock()
	c.open[s] = struct{}{}
	return s
}

// hear records the arrival of bytes of an endpoint.
func (c *Client) hear(s *openSend) {
	now := int64(clock.Boot())
	c.heard.Store(now)
	s.heardAt.Store(now)
}

// end ends the registration of a send.
func (c *Client) end(s *openSend) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.open, s)
}

// Direct reports whether this host has a path to an endpoint, as far as it knows.
func (c *Client) Direct(t reach.Target) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.paths.Direct(t, true)
}
