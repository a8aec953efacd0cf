package site

import (
	"cmp"
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"runtime/debug"
	"time"

	"golang.org/x/sync/errgroup"

	"shallotgap/core/book"
	"shallotgap/core/burn"
	"shallotgap/core/census"
	"shallotgap/core/grant"
	"shallotgap/core/ident"
	"shallotgap/core/layout"
	"shallotgap/core/limit"
	"shallotgap/core/poison"
	"shallotgap/io/dial"
	"shallotgap/io/front"
	"shallotgap/io/logs"
	"shallotgap/io/metric"
	"shallotgap/io/quota"
	"shallotgap/io/reach"
	"shallotgap/io/voter"
)

// Edge provides the HTTP interfaces of a platform to callers, operators and endpoints.
type Edge struct {
	Dialect front.Dialect
	Engines func(common logs.Common, holder string, paths *reach.Client) voter.Engines
	// DecodeLayout decodes the operators' text of a configuration.
	DecodeLayout func(source []byte) (*layout.Layout, error)
	// OpenEndpoint opens connections to endpoints; nil for TCP.
	OpenEndpoint dial.Opener
	// Control handles the calls of operators and endpoints. leader returns the address to which a host sends operators with large
	// configurations, or nothing if it answers them itself. Directory returns entry host addresses to callers, which may
	// cache them for ttl.
	Control   func(common logs.Common, c Controller, leader func() string) http.Handler
	Directory func(common logs.Common, v *voter.Voter, ttl time.Duration) http.Handler
	// Ready handles the readiness probe of an entry host.
	Ready func(ready func() bool) http.Handler
	// Reload reads the settings file again.
	Reload func() (Config, error)
}

// Controller carries out the calls of operators and endpoints. Control hosts and entry hosts implement it.
type Controller interface {
	// SetLayout puts a validated configuration in force, unless one with the same or a higher version is in force already.
	SetLayout(ctx context.Context, l *layout.Layout) error
	// SetNewest records the newest version of the weights of an adapter or a model.
	SetNewest(ctx context.Context, n book.Newest) error
	// Layout returns the text of the configuration in force, as an operator sent it.
	Layout(ctx context.Context) ([]byte, error)
	// Announce handles an endpoint's heartbeat. After an error, the endpoint should send the heartbeat to another host.
	Announce(ctx context.Context, e census.Entry) error
	// Leave deregisters an endpoint.
	Leave(ctx context.Context, call census.LeaveCall) error
	// PoisonParts returns the parts of prompts that are suspected or blocked, as this host knows them.
	PoisonParts(ctx context.Context) ([]poison.Record, error)
	// LiftPart removes a part from those on all hosts.
	LiftPart(ctx context.Context, p poison.Part) error
	// Limits returns the limits that endpoints ask for, as this host knows them.
	Limits(ctx context.Context) ([]limit.Record, error)
}

var (
	_ Controller = (*voter.Voter)(nil)
	_ Controller = (*front.Front)(nil)
)

// Signals are channels that request a stop of the host or a reload of its settings.
type Signals struct {
	Stop   <-chan struct{}
	Reload <-chan os.Signal
}

// Limits and intervals of a host.
const (
	// memoryLimitShare is the share of the memory limit that is set as Go's soft memory limit, near which the garbage collector
	// runs more often.
	memoryLimitShare = 0.7
	// entryMemoryLimitShare is that share for hosts without a log. It leaves half of the limit free, however much garbage answers without end make.
	entryMemoryLimitShare = 0.4
	// answerMemoryShare is the share of the memory limit that answers under way may take. The garbage collector lets the heap grow to twice
	// what is in use, and a buffer is copied as it grows.
	answerMemoryShare = 0.1
	headerTimeout     = 10 * time.Second
	idleTimeout       = 2 * time.Minute
	// reloadPollInterval is how often the settings file is checked for a change, since a change may come without a signal.
	reloadPollInterval = time.Second
	// authorityRetryShare is the share of the constant retry budget that the grant authority may spend on engines. The rest
	// covers retries that crashed entry hosts never reported.
	authorityRetryShare = 0.8
	// serviceRetryShare is the share of the constant retry budget that entry hosts may spend on a plain service. Entry hosts
	// divide the share by their number, and the margin covers hosts that know too low a number.
	serviceRetryShare = 0.4
	// addressTTL is how long callers cache the address list: short enough for callers to leave a stopping host well before
	// the host's grace period ends.
	addressTTL = 2 * time.Second
)

// host is one process, which runs a control host, an entry host or both.
type host struct {
	logs.Common
	Config
	edge  Edge
	meter *metric.Meter
	voter *voter.Voter
	front *front.Front
	paths *reach.Client
	group *errgroup.Group
	// interrupt is closed when waits for room on a full disk must end.
	interrupt <-chan struct{}
	// callers serves callers, calls operators and endpoints, and directory callers that ask for addresses; each is nil if the host does not.
	callers, calls, directory *server
}

// Run serves until the host has drained after a stop signal, or until one of its components fails.
func Run(ctx context.Context, common logs.Common, c Config, e Edge, s Signals) error {
	if c.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(float64(c.MemoryBytes) * c.memoryLimitShare()))
	}
	ctx, end := context.WithCancel(ctx)
	defer end()
	group, ctx := errgroup.WithContext(ctx)
	h := &host{Common: common, Config: c, edge: e, meter: metric.New(burn.Targets{}), group: group}
	if err := h.startUnless(ctx, s.Stop); err != nil {
		return err
	}
	common.Log.WithField("file", c.File).WithField("domain", c.Domain).WithField("seeds", c.Seeds).WithField("found", c.Bootstrap).Info("started")
	group.Go(func() error { return h.watchSettings(ctx, s.Reload) })
	group.Go(func() error { return h.watchPauses(ctx) })
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

// memoryLimitShare returns the share of the memory limit that is set as Go's soft memory limit.
func (c Config) memoryLimitShare() float64 {
	if c.runsControlHost() {
		return memoryLimitShare
	}
	return entryMemoryLimitShare
}

// answerMemory returns the pool for the answers that the host holds at a time.
func (h *host) answerMemory() *quota.Pool {
	return quota.New(quota.Config{Limit: quota.Bytes(float64(h.MemoryBytes) * answerMemoryShare), OnEvict: func(quota.Bytes) {
		h.meter.Count("shallotgap_answers_evicted_total")
	}})
}

// startUnless starts the components of the host. A stop signal ends the wait for room on a full disk, in which nothing is served yet.
func (h *host) startUnless(ctx context.Context, stop <-chan struct{}) error {
	interrupted, interrupt := context.WithCancel(ctx)
	started := make(chan struct{})
	defer close(started)
	go func() {
		select {
		case <-stop:
			interrupt()
		case <-started:
		}
	}()
	context.AfterFunc(ctx, interrupt)
	h.interrupt = interrupted.Done()
	return h.start(ctx)
}

func (h *host) start(ctx context.Context) error {
	h.paths = reach.New(h.Common, reach.Config{Open: h.edge.OpenEndpoint, Greeting: h.edge.Dialect.Greeting, Said: h.edge.Dialect.Said, Meter: h.meter, Memory: h.answerMemory()})
	h.group.Go(func() error { return h.paths.Run(ctx) })
	if h.runsControlHost() {
		if err := h.startControlHost(ctx); err != nil {
			return err
		}
	}
	if h.followsControlHosts() {
		if err := h.startEntryHost(ctx); err != nil {
			return err
		}
	}
	return h.serveMetrics(ctx)
}

func (h *host) startControlHost(ctx context.Context) error {
	links, err := h.listenForLinks()
	if err != nil {
		return err
	}
	grantParams := grant.Defaults()
	grantParams.RetryRatio, grantParams.RetryExtra, grantParams.RetryWindow = h.RetryRatio, int(float64(h.RetryExtra)*authorityRetryShare), h.RetryWindow
	grantParams.HeartbeatTimeout = 3*h.HeartbeatInterval + 900*time.Millisecond // three heartbeat intervals and a delay
	grantParams.HeartbeatLag = h.HeartbeatInterval + 800*time.Millisecond       // one heartbeat interval and the age of its adapter list
	v, err := voter.New(h.Common, h.meter, voter.Config{
		Self: ident.HostID(h.Links), Domain: h.Domain, Regions: h.Regions, Operators: string(h.Control), Seeds: h.Seeds, Bootstrap: h.Bootstrap, TargetVoters: h.Voters, Folder: h.Folder,
		OrderPause: h.OrderPause, GrantParams: grantParams, Listener: links, Engines: h.edge.Engines(h.Common, h.Name, h.paths), DecodeLayout: h.edge.DecodeLayout, Interrupt: h.interrupt, Paths: h.paths, RandomSeed: uint64(time.Now().UnixNano()),
	})
	if err != nil {
		return err
	}
	h.voter = v
	h.group.Go(func() error { return v.Run(ctx) })
	if err := h.serveControl(ctx, v, func() string { return "" }); err != nil {
		return err
	}
	if h.Directory == "" {
		return nil
	}
	ttl := addressTTL
	if h.MaxAddressLife > 0 {
		ttl = min(ttl, h.MaxAddressLife)
	}
	h.directory, err = h.serve(ctx, h.Directory, h.edge.Directory(h.Common, v, ttl))
	return err
}

// listenForLinks listens for links from other hosts.
func (h *host) listenForLinks() (net.Listener, error) {
	links, err := net.Listen("tcp", string(cmp.Or(h.BindLinks, h.Links)))
	if err != nil {
		return nil, fmt.Errorf("listen for links: %w", err)
	}
	return links, nil
}

// serveControl answers the calls of operators and endpoints.
func (h *host) serveControl(ctx context.Context, c Controller, leader func() string) error {
	if h.Control == "" {
		return nil
	}
	var err error
	h.calls, err = h.serveWith(ctx, h.Control, h.measuredServer(h.withLimitCalls(c, h.withPoisonCalls(c, h.edge.Control(h.Common, c, leader)))))
	return err
}

// startEntryHost starts an entry host, or a call host if it serves no callers.
func (h *host) startEntryHost(ctx context.Context) error {
	c := front.Config{
		Self: h.followerID(), Domain: h.Domain, Seeds: h.Seeds, Address: string(h.Callers), Dialect: h.edge.Dialect, Paths: h.paths,
		RetryRatio: h.RetryRatio, RetryExtra: int(float64(h.RetryExtra) * serviceRetryShare), RetryWindow: h.RetryWindow,
	}
	if h.voter == nil { // else the control host in this process accepts them
		links, err := h.listenForLinks()
		if err != nil {
			return err
		}
		c.Links, c.LinkAddress = links, ident.HostID(h.Links)
	}
	f := front.New(h.Common, h.meter, c)
	h.front = f
	if h.voter == nil {
		if err := h.serveControl(ctx, f, f.LeaderAddress); err != nil {
			return err
		}
	}
	h.group.Go(func() error { return f.Run(ctx) })
	if h.Ready != "" {
		if _, err := h.serve(ctx, h.Ready, h.edge.Ready(f.Ready)); err != nil {
			return err
		}
	}
	if h.Callers == "" {
		return nil
	}
	var err error
	h.callers, err = h.serveWith(ctx, h.Callers, &http.Server{Handler: f, ConnState: f.ConnState()})
	return err
}

// followerID returns the ID of an entry host or a call host. Both may run on one machine, whose name they share.
func (h *host) followerID() ident.HostID {
	if h.Callers == "" {
		return ident.HostID(h.Name + callHostSuffix)
	}
	return ident.HostID(h.Name)
}

// callHostSuffix tells the ID of a call host from that of an entry host.
const callHostSuffix = "/calls"
