// Package fleet runs a whole deployment in one process for tests and measurements: entry hosts with their HTTP servers
// on free loopback ports, stand-ins for engines and plain services, and links between hosts that can be cut or delayed.
package fleet

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"shallotgap/core/ident"
	"shallotgap/core/world"
	"shallotgap/fakes/stand"
	"shallotgap/io/conf"
	"shallotgap/io/disk"
	"shallotgap/io/host"
	"shallotgap/io/logs"
	"shallotgap/io/serve"
)

// Config configures a fleet.
type Config struct {
	// Hosts is the number of entry hosts; the first Disks hosts have a data folder. Domains is the number of failure
	// domains, which the hosts join in turn.
	Hosts, Disks, Domains int
	// Folder holds the data folders of the hosts.
	Folder string
	// Params are the parameters of the decision core, the same on all hosts.
	Params world.Params
	// Logs receives the log lines of all hosts; nil discards them.
	Logs io.Writer
	// Seed is the seed of the random numbers of all hosts.
	Seed uint64
	// WrapLog, if set, wraps the log file of a host, for example to inject disk faults.
	WrapLog func(h ident.HostID, f disk.File) disk.File
	// Delay is the one-way delay between hosts of different failure domains.
	Delay time.Duration
	// Sent, if set, counts the bytes that hosts send on connections that they opened to other hosts.
	Sent *atomic.Int64
}

// Fleet is a running deployment.
type Fleet struct {
	Config
	Hosts   []*Host
	Engines []*Endpoint[*stand.Engine]
	Plains  []*Endpoint[*stand.Plain]
	Store   string // base URL of the weight store

	ctx     context.Context
	cancel  context.CancelFunc
	wait    sync.WaitGroup
	mu      sync.Mutex
	cuts    map[linkDirection]bool              // links that fail until Heal
	conns   map[linkDirection]map[net.Conn]bool // connections of each link, which Cut closes
	closers []func()                            // stop the HTTP servers of the stand-ins
}

// Host is one entry host of a fleet.
type Host struct {
	conf.Host
	settings conf.Settings
	stop     context.CancelFunc // ends the host without a drain
	drain    chan struct{}      // closed to start the drain
	done     chan struct{}      // closed when the host has ended
	// Err is the error with which the host ended; it may be read after Kill or Drain.
	Err error
}

// URL returns the base URL at which the host serves callers.
func (h *Host) URL() string { return "http://" + h.Listen }

// Endpoint is a stand-in for an endpoint, with its HTTP server.
type Endpoint[T any] struct {
	Fake   T
	Server *httptest.Server
}

// linkDirection identifies a link by the host that opens the connections and the host that accepts them.
type linkDirection struct{ from, to ident.HostID }

// New starts the hosts of a fleet. The fleet has no endpoints until AddEngine or AddPlain.
func New(c Config) (*Fleet, error) {
	f := &Fleet{Config: c, cuts: map[linkDirection]bool{}, conns: map[linkDirection]map[net.Conn]bool{}}
	f.ctx, f.cancel = context.WithCancel(context.Background())
	listeners, err := f.planHosts()
	if err != nil {
		return nil, err
	}
	for i, h := range f.Hosts {
		if err := f.start(h, listeners[i].callers, listeners[i].peers); err != nil {
			return nil, err
		}
	}
	return f, nil
}

// hostListeners are the sockets of one host.
type hostListeners struct{ callers, peers net.Listener }

// firstHostOctet is the last octet of the loopback address of the first host.
const firstHostOctet = 10

// Listen opens a free port on the loopback address of the n-th host of this process. No host uses 127.0.0.1, the source
// address of all connections here: an outgoing connection could occupy the port of a stopped host and prevent its restart.
// For the same reason the addresses depend on the process id, so that test processes rarely share them.
func Listen(n int) (net.Listener, error) {
	pid := os.Getpid()
	return net.Listen("tcp", fmt.Sprintf("127.%d.%d.%d:0", 1+pid%250, pid/250%250, firstHostOctet+n))
}

// planHosts opens the listeners and prepares the settings of all hosts.
func (f *Fleet) planHosts() ([]hostListeners, error) {
	var listeners []hostListeners
	var hosts []conf.Host
	for n := range f.Config.Hosts {
		callers, err := Listen(n)
		if err != nil {
			return nil, err
		}
		peers, err := Listen(n)
		if err != nil {
			return nil, err
		}
		listeners = append(listeners, hostListeners{callers, peers})
		hosts = append(hosts, conf.Host{
			Name:   ident.HostID(fmt.Sprintf("e%d", n+1)),
			Domain: ident.DomainID(rune('a' + n%f.Domains)),
			Listen: callers.Addr().String(),
			Peer:   peers.Addr().String(),
			Disk:   n < f.Disks,
		})
	}
	for _, h := range hosts {
		settings := conf.Defaults()
		settings.Name, settings.Domain, settings.Hosts, settings.Params = h.Name, h.Domain, hosts, f.Params
		if f.Params.EntryLife > 0 {
			settings.EntryLife = f.Params.EntryLife
		}
		if h.Disk {
			settings.DataFolder = filepath.Join(f.Folder, string(h.Name))
		}
		f.Hosts = append(f.Hosts, &Host{Host: h, settings: settings})
	}
	return listeners, nil
}

// start runs a host on its listeners until it is killed, drained or fails.
func (f *Fleet) start(h *Host, callers, peers net.Listener) error {
	logOutput := f.Logs
	if logOutput == nil {
		logOutput = io.Discard
	}
	logger, err := logs.New(logOutput, string(h.Name), "info")
	if err != nil {
		return err
	}
	ctx, stop := context.WithCancel(f.ctx)
	h.stop = stop
	h.done = make(chan struct{})
	h.drain = make(chan struct{})
	wrapLog := f.WrapLog
	c := host.Config{Stop: h.drain, Settings: h.settings, Callers: callers, Peers: peers, Seed: f.Seed, Dial: f.dialFrom(h.Name)}
	if wrapLog != nil {
		c.WrapLog = func(file disk.File) disk.File { return wrapLog(h.Name, file) }
	}
	f.wait.Go(func() {
		h.Err = serve.Run(ctx, logger, c)
		_ = callers.Close()
		_ = peers.Close()
		close(h.done)
	})
	return nil
}

// Kill stops a host at once, without a drain, and waits until it has ended.
func (f *Fleet) Kill(h *Host) {
	h.stop()
	<-h.done
}

// Drain makes a host finish its requests and stop, as SIGTERM does, and waits until it has ended.
func (f *Fleet) Drain(h *Host) {
	close(h.drain)
	<-h.done
}

// Ended reports whether the host has stopped, for any reason.
func (h *Host) Ended() bool {
	select {
	case <-h.done:
		return true
	default:
		return false
	}
}

// Restart starts a stopped host again on the same addresses, with the same data folder.
func (f *Fleet) Restart(h *Host) error {
	callers, err := net.Listen("tcp", h.Listen)
	if err != nil {
		return err
	}
	peers, err := net.Listen("tcp", h.Peer)
	if err != nil {
		return err
	}
	return f.start(h, callers, peers)
}

// Close stops all hosts and stand-ins.
func (f *Fleet) Close() {
	f.cancel()
	f.wait.Wait()
	for _, closeServer := range f.closers {
		closeServer()
	}
}

// URLs returns the base URLs of all hosts, also of stopped ones.
func (f *Fleet) URLs() []string {
	var urls []string
	for _, h := range f.Hosts {
		urls = append(urls, h.URL())
	}
	return urls
}

// AddStore starts the weight store. Engines that are added later fetch adapters from this store.
func (f *Fleet) AddStore(c stand.StoreConfig) {
	server := httptest.NewServer(stand.NewStore(c).Handler())
	f.Store = server.URL
	f.closers = append(f.closers, server.Close)
}

// AddEngine starts an engine that announces itself to the hosts.
func (f *Fleet) AddEngine(c stand.EngineConfig) *Endpoint[*stand.Engine] {
	c.Store = f.Store
	fake := stand.NewEngine(f.ctx, c)
	e := &Endpoint[*stand.Engine]{Fake: fake, Server: f.serve(fake.Handler())}
	f.Engines = append(f.Engines, e)
	f.wait.Go(func() {
		stand.Announce(f.ctx, f.URLs(), func() stand.Announcement { return fake.Announcement(e.Server.URL) })
	})
	return e
}

// AddPlain starts a plain service that announces itself to the hosts.
func (f *Fleet) AddPlain(c stand.PlainConfig) *Endpoint[*stand.Plain] {
	fake := stand.NewPlain(c)
	e := &Endpoint[*stand.Plain]{Fake: fake, Server: f.serve(fake.Handler())}
	f.Plains = append(f.Plains, e)
	f.wait.Go(func() {
		stand.Announce(f.ctx, f.URLs(), func() stand.Announcement { return fake.Announcement(e.Server.URL) })
	})
	return e
}

// serve starts an HTTP server on a free port; Close stops it.
func (f *Fleet) serve(h http.Handler) *httptest.Server {
	server := httptest.NewServer(h)
	f.closers = append(f.closers, func() {
		server.CloseClientConnections()
		server.Close()
	})
	return server
}

// pollInterval is the time between two checks of a condition in Await.
const pollInterval = 10 * time.Millisecond

// Await polls a condition until it holds or the time limit has passed, and reports whether it held.
func Await(limit time.Duration, holds func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); {
		if holds() {
			return true
		}
		<-time.After(pollInterval)
	}
	return holds()
}
