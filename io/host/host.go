// Package host runs one entry host: the loop that feeds the decision core and carries out its effects.
package host

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"shallotgap/core/ident"
	"shallotgap/core/world"
	"shallotgap/io/conf"
	"shallotgap/io/disk"
	"shallotgap/io/engine"
	"shallotgap/io/logs"
	"shallotgap/io/metric"
	"shallotgap/io/peer"
	"shallotgap/io/relay"
	"shallotgap/io/trace"
)

// tickEvery is the interval between ticks of the decision core.
const tickEvery = 20 * time.Millisecond

// inboxLength is the number of events that may wait for the loop.
const inboxLength = 8192

// Config is what a host is made from.
type Config struct {
	Settings conf.Settings
	Callers  net.Listener
	Peers    net.Listener
	// Seed makes the host's random choices repeatable.
	Seed uint64
	// Stop is closed when the host is to drain and then end; nil for never.
	Stop <-chan struct{}
	// Dial replaces the way to other hosts; nil for TCP.
	Dial peer.DialFunc
	// WrapLog stands before the log file; nil for none. Tests fail writes with it.
	WrapLog func(disk.File) disk.File
}

// Host is one running entry host.
type Host struct {
	logs.Common
	Config
	Relay       *relay.Table
	Meter       *metric.Meter
	Incarnation ident.Incarnation

	world   *world.World
	network *peer.Network
	client  *engine.Client
	store   *disk.Store
	trace   *trace.Writer
	inbox   chan func(*world.World) *world.Event
	writes  *disk.Queue[world.Write]
	// ended is closed when the loop has ended and takes no more events.
	ended chan struct{}

	logged logged // only the loop touches it

	mu      sync.Mutex
	running map[ident.RequestID]context.CancelFunc
	tickets map[world.Ticket]chan any
	ticket  world.Ticket
	seq     uint64
	notes   notebook
}

// New opens the data folder, if there is one, and returns a host that is not running yet.
func New(common logs.Common, c Config) (*Host, error) {
	h := &Host{
		Common:      common,
		Config:      c,
		Relay:       relay.New(),
		Meter:       metric.New(c.Settings.Objectives),
		Incarnation: ident.Incarnation(time.Now().UnixNano()),
		client:      engine.New(common),
		inbox:       make(chan func(*world.World) *world.Event, inboxLength),
		writes:      disk.NewQueue[world.Write](),
		ended:       make(chan struct{}),
		running:     map[ident.RequestID]context.CancelFunc{},
		tickets:     map[world.Ticket]chan any{},
	}
	h.network = peer.New(common, peer.Config{Self: c.Settings.Name, Hosts: c.Settings.Hosts, Listener: c.Peers, Receiver: h, Dial: c.Dial, Tokens: c.Settings.Tokens.Peers})
	return h, h.open()
}

func (h *Host) open() error {
	c := world.Config{
		Self:        h.Settings.Name,
		Incarnation: h.Incarnation,
		Peers:       h.Settings.Peers(),
		Params:      h.Settings.Params,
		Rand:        rand.New(rand.NewPCG(h.Seed, uint64(h.Incarnation))),
		Now:         h.now(),
	}
	if h.Settings.DataFolder != "" {
		store, stored, err := disk.OpenWith(h.Settings.DataFolder, h.WrapLog)
		if err != nil {
			return err
		}
		h.store = store
		c.Stored = &stored
	}
	if err := h.record(c); err != nil {
		return err
	}
	w, err := world.New(c)
	h.world = w
	return err
}

func (h *Host) now() ident.Time { return ident.Time(h.Since()) }

// Run serves until the context ends or the disk fails.
func (h *Host) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return h.network.Run(ctx) })
	group.Go(func() error { return h.loop(ctx) })
	if h.store != nil {
		group.Go(func() error { return h.writeAll(ctx) })
	}
	return group.Wait()
}

// loop is the only goroutine that touches the world.
func (h *Host) loop(ctx context.Context) error {
	defer close(h.ended)
	ticker := time.NewTicker(tickEvery)
	defer ticker.Stop()
	defer h.endRecord()
	for {
		var event *world.Event
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			h.logChanges()
			event = &world.Event{}
		case f := <-h.inbox:
			event = f(h.world)
		}
		if event == nil {
			continue
		}
		in := world.Input{Now: h.now(), Wall: time.Now().Unix(), Event: *event}
		effects := h.world.Handle(in)
		h.recordStep(in, effects)
		for _, e := range effects {
			h.carryOut(ctx, e)
		}
	}
}

// post hands an event to the loop, unless it has ended.
func (h *Host) post(e world.Event) {
	select {
	case h.inbox <- func(*world.World) *world.Event { return &e }:
	case <-h.ended:
	}
}

// View runs f in the loop; f must not change the world or keep what it reads.
func (h *Host) View(ctx context.Context, f func(*world.World)) error {
	done := make(chan struct{})
	look := func(w *world.World) *world.Event {
		f(w)
		close(done)
		return nil
	}
	select {
	case h.inbox <- look:
	case <-ctx.Done():
		return ctx.Err()
	}
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
