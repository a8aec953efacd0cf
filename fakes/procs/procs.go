// Package procs runs a deployment as real processes on loopback ports that the system gives, for the scenarios that
// need signals: processes killed, stood still and told to stop. Endpoints are stand-ins in the calling process.
package procs

import (
	"context"
	"fmt"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"

	"shallotgap/fakes/fleet"
	"shallotgap/fakes/stand"
)

// Config is what a deployment is made from.
type Config struct {
	// Program is the shallotgap binary, Folder where settings, data and logs go.
	Program, Folder       string
	Hosts, Disks, Domains int
	EntryLife             time.Duration
}

// Host is one process.
type Host struct {
	Name, Domain, Listen, Peer string

	settings string
	command  *exec.Cmd
	ended    chan struct{}
}

// URL returns the host's address for callers.
func (h *Host) URL() string { return "http://" + h.Listen }

// Deployment is a number of running processes with their endpoints.
type Deployment struct {
	Config
	Hosts  []*Host
	Plains []*stand.Plain

	ctx     context.Context
	cancel  context.CancelFunc
	group   errgroup.Group
	servers []*httptest.Server
}

// Build builds the program from the module's root.
func Build(root, folder string) (string, error) {
	program := filepath.Join(folder, "shallotgap")
	build := exec.Command("go", "build", "-o", program, ".")
	build.Dir = root
	if out, err := build.CombinedOutput(); err != nil {
		return "", fmt.Errorf("build: %w: %s", err, out)
	}
	return program, nil
}

// New starts all hosts and, in each failure domain, an engine and a plain service.
func New(c Config) (*Deployment, error) {
	d := &Deployment{Config: c}
	d.ctx, d.cancel = context.WithCancel(context.Background())
	if err := d.plan(); err != nil {
		return nil, err
	}
	for _, h := range d.Hosts {
		if err := d.Start(h); err != nil {
			return nil, err
		}
	}
	store := d.serve(httptest.NewServer(stand.NewStore(stand.StoreConfig{Rate: 50, InFlight: 8, Time: 20 * time.Millisecond}).Handler()))
	for n := range c.Domains {
		d.addEndpoints(string(rune('a'+n)), store)
	}
	return d, nil
}

func (d *Deployment) serve(s *httptest.Server) string {
	d.servers = append(d.servers, s)
	return s.URL
}

func (d *Deployment) addEndpoints(domain, store string) {
	engine := stand.NewEngine(d.ctx, stand.EngineConfig{ID: "g" + domain, Domain: domain, Model: "base", Store: store, Slots: 4, Batch: 16, StepTime: 5 * time.Millisecond})
	plain := stand.NewPlain(stand.PlainConfig{ID: "p" + domain, Service: "payments", Domain: domain})
	d.Plains = append(d.Plains, plain)
	engineURL := d.serve(httptest.NewServer(engine.Handler()))
	plainURL := d.serve(httptest.NewServer(plain.Handler()))
	d.group.Go(func() error {
		stand.Announce(d.ctx, d.URLs(), func() stand.Announcement { return engine.Announcement(engineURL) })
		return nil
	})
	d.group.Go(func() error {
		stand.Announce(d.ctx, d.URLs(), func() stand.Announcement { return plain.Announcement(plainURL) })
		return nil
	})
}

// URLs returns the addresses of all hosts for callers.
func (d *Deployment) URLs() []string {
	var list []string
	for _, h := range d.Hosts {
		list = append(list, h.URL())
	}
	return list
}

// plan takes ports from the system and writes the settings files.
func (d *Deployment) plan() error {
	var sections strings.Builder
	_, _ = fmt.Fprintf(&sections, "[callers]\nentry-life = %s\n", d.EntryLife)
	for n := range d.Config.Hosts {
		listen, peer, err := addresses(n)
		if err != nil {
			return err
		}
		h := &Host{Name: fmt.Sprintf("e%d", n+1), Domain: string(rune('a' + n%d.Domains)), Listen: listen, Peer: peer}
		d.Hosts = append(d.Hosts, h)
		_, _ = fmt.Fprintf(&sections, "[host.%s]\ndomain = %s\nlisten = %s\npeer = %s\ndisk = %v\n", h.Name, h.Domain, h.Listen, h.Peer, n < d.Disks)
	}
	for n, h := range d.Hosts {
		self := fmt.Sprintf("[self]\nname = %s\ndrain-timeout = 20s\n", h.Name)
		if n < d.Disks {
			self += fmt.Sprintf("data-folder = %s\n", filepath.Join(d.Folder, h.Name))
		}
		h.settings = filepath.Join(d.Folder, h.Name+".ini")
		if err := os.WriteFile(h.settings, []byte(self+sections.String()), 0o600); err != nil {
			return err
		}
	}
	return nil
}

// addresses returns two addresses of the n-th host whose ports the system gave and nobody listens on.
func addresses(n int) (listen, peer string, err error) {
	var list []string
	for range 2 {
		l, err := fleet.Listen(n)
		if err != nil {
			return "", "", err
		}
		defer func() { _ = l.Close() }()
		list = append(list, l.Addr().String())
	}
	return list[0], list[1], nil
}

// Start starts a host's process.
func (d *Deployment) Start(h *Host) error {
	log, err := os.OpenFile(filepath.Join(d.Folder, h.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	c := exec.Command(d.Program, "serve", h.settings)
	c.Stdout, c.Stderr = log, log
	if err := c.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	h.command, h.ended = c, ended
	go func() {
		_ = c.Wait()
		_ = log.Close()
		close(ended)
	}()
	return nil
}

// Signal sends a signal to a host's process.
func (h *Host) Signal(s syscall.Signal) { _ = h.command.Process.Signal(s) }

// Kill ends a host's process at once.
func (h *Host) Kill() {
	h.Signal(syscall.SIGKILL)
	<-h.ended
}

// Ended is closed when the host's process has ended.
func (h *Host) Ended() <-chan struct{} { return h.ended }

// Runs returns how often each key ran at all plain services.
func (d *Deployment) Runs() map[string]int {
	runs := map[string]int{}
	for _, p := range d.Plains {
		for key, n := range p.Counts() {
			runs[key] += n
		}
	}
	return runs
}

// Close ends all processes that this deployment started.
func (d *Deployment) Close() {
	for _, h := range d.Hosts {
		if h.command != nil {
			h.Signal(syscall.SIGCONT)
			h.Kill()
		}
	}
	d.cancel()
	_ = d.group.Wait()
	for _, s := range d.servers {
		s.CloseClientConnections()
		s.Close()
	}
}
