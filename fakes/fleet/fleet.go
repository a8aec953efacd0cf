// Package fleet runs a whole deployment in one process: entry hosts with real edges on loopback ports that the
// system gives, stand-ins for engines and services, and links that can be cut.
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

// Config is what a fleet is made from.
type Config struct {
	// Hosts is the number of entry hosts, Disks the number of those with a data folder, spread over Domains.
	Hosts, Disks, Domains int
	// Folder is where the data folders go.
	Folder string
	Params world.Params
	// Logs receives the hosts' log lines; nil drops them.
	Logs io.Writer
	Seed uint64
	// WrapLog, if set, stands before the log file of a host.
	WrapLog func(h ident.HostID, f disk.File) disk.File
	// Delay is the one-way delay between hosts of different failure domains.
	Delay time.Duration
	// Sent, if set, counts the bytes that the hosts send each other.
	Sent *atomic.Int64
}

// Fleet is a running deployment.
type Fleet struct {
	Config
	Hosts   []*Host
	Engines []*Endpoint[*stand.Engine]
	Plains  []*Endpoint[*stand.Plain]
	Store   string // address of the weight store

	ctx    context.Context
	cancel context.CancelFunc
	wait   sync.WaitGroup
	mu     sync.Mutex
	cuts   map[way]bool
	conns  map[way]map[net.Conn]bool
	close  []func()
}

// Host is one entry host of a fleet.
type Host struct {
	conf.Host
	settings conf.Settings
	stop     context.CancelFunc
	drain    chan struct{}
	done     chan struct{}
	// Err is why the host ended; read it after Kill.
	Err error
}

// URL returns the host's address for callers.
func (h *Host) URL() string { return "http://" + h.Listen }

// Endpoint is a stand-in with its HTTP server.
type Endpoint[T any] struct {
	Fake   T
	Server *httptest.Server
}

// way is one direction of a link.
type way struct{ from, to ident.HostID }

// New starts a fleet without endpoints.
func New(c Config) (*Fleet, error) {
	f := &Fleet{Config: c, cuts: map[way]bool{}, conns: map[way]map[net.Conn]bool{}}
	f.ctx, f.cancel = context.WithCancel(context.Background())
	listeners, err := f.plan()
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

type sockets struct{ callers, peers net.Listener }

// firstIP is the last number of the loopback address of the first host.
const firstIP = 10

// Listen takes a port from the system on the loopback address of the n-th host of this process. No host uses
// 127.0.0.1, the source address of all connections here: a connection could hold the port of a host that is started
// again. Nor do two test processes share addresses, for the same reason.
func Listen(n int) (net.Listener, error) {
	pid := os.Getpid()
	return net.Listen("tcp", fmt.Sprintf("127.%d.%d.%d:0", 1+pid%250, pid/250%250, firstIP+n))
}

// plan takes ports from the system and writes the settings of all hosts.
func (f *Fleet) plan() ([]sockets, error) {
	var list []sockets
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
		list = append(list, sockets{callers, peers})
		hosts = append(hosts, conf.Host{
			Name:   ident.HostID(fmt.Sprintf("e%d", n+1)),
			Domain: ident.DomainID(rune('a' + n%f.Domains)),
			Listen: callers.Addr().String(),
			Peer:   peers.Addr().String(),
			Disk:   n < f.Disks,
		})
	}
	for _, h := range hosts {
		s := conf.Defaults()
		s.Name, s.Domain, s.Hosts, s.Params = h.Name, h.Domain, hosts, f.Params
		if f.Params.EntryLife > 0 {
			s.EntryLife = f.Params.EntryLife
		}
		if h.Disk {
			s.DataFolder = filepath.Join(f.Folder, string(h.Name))
		}
		f.Hosts = append(f.Hosts, &Host{Host: h, settings: s})
	}
	return list, nil
}

func (f *Fleet) start(h *Host, callers, peers net.Listener) error {
	out := f.Logs
	if out == nil {
		out = io.Discard
	}
	common, err := logs.New(out, string(h.Name), "info")
	if err != nil {
		return err
	}
	ctx, stop := context.WithCancel(f.ctx)
	h.stop = stop
	h.done = make(chan struct{})
	h.drain = make(chan struct{})
	wrap := f.WrapLog
	c := host.Config{Stop: h.drain, Settings: h.settings, Callers: callers, Peers: peers, Seed: f.Seed, Dial: f.dialFrom(h.Name)}
	if wrap != nil {
		c.WrapLog = func(file disk.File) disk.File { return wrap(h.Name, file) }
	}
	f.wait.Go(func() {
		h.Err = serve.Run(ctx, common, c)
		_ = callers.Close()
		_ = peers.Close()
		close(h.done)
	})
	return nil
}

// Kill ends a host.
func (f *Fleet) Kill(h *Host) {
	h.stop()
	<-h.done
}

// Drain tells a host to stop, as SIGTERM does, and waits until it has ended.
func (f *Fleet) Drain(h *Host) {
	close(h.drain)
	<-h.done
}

// Ended reports whether a host has ended by itself.
func (h *Host) Ended() bool {
	select {
	case <-h.done:
		return true
	default:
		return false
	}
}

// Restart starts a killed host again at its old addresses.
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

// Close ends everything.
func (f *Fleet) Close() {
	f.cancel()
	f.wait.Wait()
	for _, c := range f.close {
		c()
	}
}

// URLs returns the addresses of all hosts for callers.
func (f *Fleet) URLs() []string {
	var list []string
	for _, h := range f.Hosts {
		list = append(list, h.URL())
	}
	return list
}

// AddStore starts the weight store.
func (f *Fleet) AddStore(c stand.StoreConfig) {
	server := httptest.NewServer(stand.NewStore(c).Handler())
	f.Store = server.URL
	f.close = append(f.close, server.Close)
}

// AddEngine starts an engine that announces itself.
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

// AddPlain starts a plain service that announces itself.
func (f *Fleet) AddPlain(c stand.PlainConfig) *Endpoint[*stand.Plain] {
	fake := stand.NewPlain(c)
	e := &Endpoint[*stand.Plain]{Fake: fake, Server: f.serve(fake.Handler())}
	f.Plains = append(f.Plains, e)
	f.wait.Go(func() {
		stand.Announce(f.ctx, f.URLs(), func() stand.Announcement { return fake.Announcement(e.Server.URL) })
	})
	return e
}

func (f *Fleet) serve(h http.Handler) *httptest.Server {
	server := httptest.NewServer(h)
	f.close = append(f.close, func() {
		server.CloseClientConnections()
		server.Close()
	})
	return server
}

// awaitEvery is the interval between looks at a condition.
const awaitEvery = 10 * time.Millisecond

// Await looks at a condition until it holds, for at most limit, and reports whether it held.
func Await(limit time.Duration, holds func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); {
		if holds() {
			return true
		}
		<-time.After(awaitEvery)
	}
	return holds()
}
