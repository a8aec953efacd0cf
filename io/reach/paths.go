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

func (c *Client) due(now ident.Time) []reach.Target {
	c.mu.Lock()
	defer c.mu.Unlock()
	quiet := now.Sub(ident.Time(c.heard.Load())) > silenceLimit
	for s := range c.open {
		if silence := now.Sub(ident.Time(s.heardAt.Load())); silence > longSilence || (quiet && silence > silenceLimit) {
			c.paths.Suspect(s.Target, now)
		}
	}
	c.paths.Forget(now)
	return c.paths.Due(now)
}

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

func (c *Client) succeed(t reach.Target) {
	c.mu.Lock()
	healed := c.paths.Succeed(t, clock.Boot())
	c.mu.Unlock()
	if healed {
		c.logPath(t, "back", nil)
		c.publish()
	}
}

func (c *Client) fail(t reach.Target, err error) {
	c.dial.CloseIdle(Key(t.Instance))
	c.mu.Lock()
	news := c.paths.Fail(t, clock.Boot())
	c.mu.Unlock()
	if news {
		c.logPath(t, "lost", err)
		c.publish()
	}
}

func (c *Client) gone(t reach.Target) {
	c.mu.Lock()
	c.paths.Gone(t, clock.Boot())
	c.mu.Unlock()
	c.logPath(t, "gone", nil)
	c.publish()
}

func (c *Client) logPath(t reach.Target, outcome string, err error) {
	c.mu.Lock()
	cutOff := c.paths.CutOff(t.Service)
	c.mu.Unlock()
	c.Log.WithField("step", "reach").WithField("endpoint", t.Instance.ID).WithField("service", t.Service).WithField("peer", t.Address).
		WithField("outcome", outcome).WithField("cut-off", cutOff).WithField("cause", fmt.Sprint(err)).Info("path")
}

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

func (c *Client) Faults() reach.Faults {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.faults
}

func (c *Client) OnFaults(f func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.onFaults = f
}

func (c *Client) SetLister(l Lister) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.list = l
}

func (c *Client) Learn(targets []reach.Target) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, t := range targets {
		c.paths.Learn(t, clock.Boot())
	}
}

func (c *Client) CutOff(s ident.Service) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.paths.CutOff(s)
}

func (c *Client) SetRelays(list []reach.Relay) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.relays.Set(list)
	select {
	case <-c.listed:
	default:
		close(c.listed)
	}
}

func (c *Client) begin(t reach.Target) *openSend {
	s := &openSend{Target: t}
	s.heardAt.Store(int64(clock.Boot()))
	c.mu.Lock()
	defer c.mu.Unlock()
	c.open[s] = struct{}{}
	return s
}

func (c *Client) hear(s *openSend) {
	now := int64(clock.Boot())
	c.heard.Store(now)
	s.heardAt.Store(now)
}

func (c *Client) end(s *openSend) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.open, s)
}

func (c *Client) Direct(t reach.Target) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.paths.Direct(t, true)
}
