package site

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"runtime/debug"
	"time"

	"golang.org/x/sync/errgroup"

	"shallotgap/core/burn"
	"shallotgap/core/grant"
	"shallotgap/core/ident"
	"shallotgap/io/front"
	"shallotgap/io/logs"
	"shallotgap/io/metric"
	"shallotgap/io/voter"
)

// Edge is how a host speaks to callers, operators and endpoints.
type Edge struct {
	Dialect front.Dialect
	Engines func(common logs.Common, holder string) voter.Engines
	// Control and Directory handle the calls of operators and endpoints, and of callers that ask where to connect.
	Control   func(common logs.Common, v *voter.Voter) http.Handler
	Directory func(common logs.Common, v *voter.Voter, life time.Duration) http.Handler
	Ready     func(ready func() bool) http.Handler
	// Reload reads the settings again.
	Reload func() (Config, error)
}

// Signals are how a process is told to stop or to read its settings again.
type Signals struct {
	Stop   <-chan struct{}
	Reload <-chan os.Signal
}

// Bounds of a host.
const (
	// memoryPart is the part of the memory limit from which on the garbage collector works harder.
	memoryPart    = 0.7
	headerTimeout = 10 * time.Second
	idleTimeout   = 2 * time.Minute
	// reloadEvery is how often the settings file is looked at, since it may change without a signal.
	reloadEvery = time.Second
	// authorityPart is the part of the constant retry budget that the engines' authority spends; the rest is for sends of
	// entry hosts that were lost with what they had counted.
	authorityPart = 0.8
	// extraPart is that for plain services, which all entry hosts share by their number: some may know of fewer.
	extraPart = 0.4
	// addressLife is how long callers keep the addresses that they are given: short, so that they are gone from a
	// stopping host well before its grace ends.
	addressLife = 2 * time.Second
)

// host is one process.
type host struct {
	logs.Common
	Config
	edge  Edge
	meter *metric.Meter
	voter *voter.Voter
	front *front.Front
	group *errgroup.Group
}

// Run serves until the host was told to stop and has drained, or a part fails.
func Run(ctx context.Context, common logs.Common, c Config, e Edge, s Signals) error {
	if c.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(float64(c.MemoryBytes) * memoryPart))
	}
	ctx, end := context.WithCancel(ctx)
	defer end()
	group, ctx := errgroup.WithContext(ctx)
	h := &host{Common: common, Config: c, edge: e, meter: metric.New(burn.Targets{}), group: group}
	if err := h.start(ctx); err != nil {
		return err
	}
	common.Log.WithField("file", c.File).WithField("domain", c.Domain).WithField("seeds", len(c.Seeds)).WithField("found", c.Bootstrap).Info("started")
	group.Go(func() error { return h.watch(ctx, s.Reload) })
	group.Go(func() error {
		select {
		case <-ctx.Done():
		case <-s.Stop:
			h.drain(ctx)
		}
		end()
		return nil
	})
	err := group.Wait()
	common.Log.WithField("cause", fmt.Sprint(err)).Info("stopped")
	return err
}

func (h *host) start(ctx context.Context) error {
	if h.Control != "" {
		if err := h.startVoter(ctx); err != nil {
			return err
		}
	}
	if h.Callers != "" {
		if err := h.startFront(ctx); err != nil {
			return err
		}
	}
	if h.Metrics == "" {
		return nil
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		if err := h.meter.WriteText(w); err != nil {
			h.Log.WithField("step", "metrics").WithError(err).Warn("reader-left")
		}
	})
	_, err := h.serve(ctx, h.Metrics, mux)
	return err
}

func (h *host) startVoter(ctx context.Context) error {
	links, err := net.Listen("tcp", string(cmp.Or(h.BindLinks, h.Links)))
	if err != nil {
		return fmt.Errorf("listen for links: %w", err)
	}
	places := grant.Defaults()
	places.RetryRatio, places.RetryExtra, places.RetryWindow = h.RetryRatio, int(float64(h.RetryExtra)*authorityPart), h.RetryWindow
	places.HeartbeatTimeout = 3*h.HeartbeatInterval + 900*time.Millisecond // three heartbeats, the last of which may be late
	places.HeartbeatLag = h.HeartbeatInterval + 800*time.Millisecond       // a heartbeat and the age of its list
	v, err := voter.New(h.Common, h.meter, voter.Config{
		Self: ident.HostID(h.Links), Domain: h.Domain, Seeds: h.Seeds, Bootstrap: h.Bootstrap, TargetVoters: h.Voters, Folder: h.Folder,
		OrderPause: h.OrderPause, GrantParams: places, Listener: links, Engines: h.edge.Engines(h.Common, h.Name), RandomSeed: uint64(time.Now().UnixNano()),
	})
	if err != nil {
		return err
	}
	h.voter = v
	h.group.Go(func() error { return v.Run(ctx) })
	if _, err := h.serve(ctx, h.Control, h.edge.Control(h.Common, v)); err != nil {
		return err
	}
	if h.Directory == "" {
		return nil
	}
	life := addressLife
	if h.MaxAddressLife > 0 {
		life = min(life, h.MaxAddressLife)
	}
	_, err = h.serve(ctx, h.Directory, h.edge.Directory(h.Common, v, life))
	return err
}

func (h *host) startFront(ctx context.Context) error {
	f := front.New(h.Common, h.meter, front.Config{
		Self: ident.HostID(h.Name), Domain: h.Domain, Seeds: h.Seeds, Address: string(h.Callers), Dialect: h.edge.Dialect,
		RetryRatio: h.RetryRatio, RetryExtra: int(float64(h.RetryExtra) * extraPart), RetryWindow: h.RetryWindow,
	})
	h.front = f
	h.group.Go(func() error { return f.Run(ctx) })
	if h.Ready != "" {
		if _, err := h.serve(ctx, h.Ready, h.edge.Ready(f.Ready)); err != nil {
			return err
		}
	}
	server, err := h.serveWith(ctx, h.Callers, &http.Server{Handler: f, ConnState: f.ConnState()})
	f.Server = server
	return err
}

// serve answers requests on an address until the context ends.
func (h *host) serve(ctx context.Context, l Listen, handler http.Handler) (*http.Server, error) {
	return h.serveWith(ctx, l, &http.Server{Handler: handler})
}

// serveWith does so with a server that has settings of its own.
func (h *host) serveWith(ctx context.Context, l Listen, server *http.Server) (*http.Server, error) {
	listener, err := net.Listen("tcp", string(l))
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	server.ReadHeaderTimeout, server.IdleTimeout, server.ErrorLog = headerTimeout, idleTimeout, quiet
	h.group.Go(func() error {
		if err := server.Serve(listener); err != nil && !errors.Is(err, http.ErrServerClosed) && ctx.Err() == nil {
			return fmt.Errorf("serve %s: %w", l, err)
		}
		return nil
	})
	context.AfterFunc(ctx, func() { _ = server.Close() })
	return server, nil
}
