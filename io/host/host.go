// Package host runs one entry host: a loop passes events to the decision core and performs the effects that the core
// returns.
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
	"shallotgap/io/quota"
	"shallotgap/io/relay"
	"shallotgap/io/trace"
)

// tickInterval is the interval between tick events for the decision core.
const tickInterval = 20 * time.Millisecond

// inboxLength is the number of events that may wait for the loop. Senders block while the inbox is full.
const inboxLength = 8192

// Config configures a host.
type Config struct {
	Settings conf.Settings
	// Callers accepts connections of callers and endpoints, Peers those of other hosts.
	Callers net.Listener
	Peers   net.Listener
	// Seed makes the host's random choices reproducible.
	Seed uint64
	// Stop is closed to make the host drain and then exit; nil means that the host never drains.
	Stop <-chan struct{}
	// Dial replaces the dialer for links to other hosts; nil means TCP.
	Dial peer.DialFunc
	// WrapLog wraps the file of the replicated log; nil means no wrapper. Tests use it to make writes fail.
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
	// loopDone is closed when the loop has returned; later events are dropped.
	loopDone chan struct{}

	logged loggedState // accessed only by the loop

	// mu guards running, tickets, lastTicket and lastSeq.
	mu         sync.Mutex
	running    map[ident.RequestID]context.CancelFunc // cancels requests that are in progress at endpoints
	tickets    map[world.Ticket]chan any              // channels for the replies to proposals and queries
	lastTicket world.Ticket                           // the last ticket issued
	lastSeq    uint64                                 // sequence number of the last request ID issued
	notes      noteRing
}

// New opens the data folder, if one is configured, and returns a host; Run starts it.
func New(common logs.Common, c Config) (*Host, error) {
	answers := quota.New(quota.Config{Limit: quota.Bytes(c.Settings.AnswerBytes)})
	h := &Host{
		Common:      common,
		Config:      c,
		Relay:       relay.New(relay.Config{Memory: answers}),
		Meter:       metric.New(c.Settings.Objectives),
		Incarnation: ident.Incarnation(time.Now().UnixNano()),
		client:      engine.New(common, engine.Config{Memory: answers}),
		inbox:       make(chan func(*world.World) *world.Event, inboxLength),
		writes:      disk.NewQueue[world.Write](),
		loopDone:    make(chan struct{}),
		running:     map[ident.RequestID]context.CancelFunc{},
		tickets:     map[world.Ticket]chan any{},
	}
	h.network = peer.New(common, peer.Config{Self: c.Settings.Name, Hosts: c.Settings.Hosts, Listener: c.Peers, Receiver: h, Dial: c.Dial, Tokens: c.Settings.Tokens.Peers})
	return h, h.open()
}

// open reads the data folder, starts the trace and creates the decision core.
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
		store, stored, err := disk.OpenWith(disk.Config{Folder: h.Settings.DataFolder, Wrap: h.wrapLog, WaitForRoom: true, Stop: h.Stop}.Observed(h.Common, h.Meter))
		if err != nil {
			return err
		}
		store.Stop = nil // a host that drains waits for room, as its requests go on
		h.store = store
		c.Stored = &stored
	}
	if err := h.startTrace(c); err != nil {
		return err
	}
	w, err := world.New(c)
	h.world = w
	return err
}

func (h *Host) now() ident.Time { return ident.Time(h.Since()) }

// Run runs the host until ctx is cancelled or a disk write fails.
func (h *Host) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return h.network.Run(ctx) })
	group.Go(func() error { return h.loop(ctx) })
	if h.store != nil {
		context.AfterFunc(ctx, h.store.Abandon)
		group.Go(func() error { return h.writeLoop(ctx) })
	}
	return group.Wait()
}

// loop passes events to the decision core. No other goroutine accesses h.world.
func (h *Host) loop(ctx context.Context) error {
	defer close(h.loopDone)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	defer h.closeTrace()
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
		h.traceStep(in, effects)
		for _, e := range effects {
			h.applyEffect(ctx, e)
		}
	}
}

// post sends an event to the loop. It drops the event once the loop has returned.
func (h *Host) post(e world.Event) {
	select {
	case h.inbox <- func(*world.World) *world.Event { return &e }:
	case <-h.loopDone:
	}
}

// View calls f in the goroutine of the loop and waits for it. f must not change the world or retain references into it.
func (h *Host) View(ctx context.Context, f func(*world.World)) error {
	done := make(chan struct{})
	visit := func(w *world.World) *world.Event {
		f(w)
		close(done)
		return nil
	}
	select {
	case h.inbox <- visit:
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
