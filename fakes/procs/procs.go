// Package procs runs a deployment as operating system processes on free loopback ports, for scenarios that send signals:
// SIGKILL, SIGSTOP and SIGTERM. Engines and plain services are stand-ins in the calling process.
package procs

import (
	"context"
	"fmt"
	"net/http"
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

// Config configures a deployment.
type Config struct {
	// Program is the path of the shallotgap binary, Folder the directory for settings, data and logs.
	Program, Folder string
	// Hosts is the number of hosts; the first Disks hosts have a data folder. Domains is the number of failure domains.
	Hosts, Disks, Domains int
	// EntryLife is the setting entry-life: how long callers may use a list of entry hosts.
	EntryLife time.Duration
	// AnswerBytes is the setting answer-bytes, 0 for its default.
	AnswerBytes int64
	// WrapEngine changes the handler of each engine; nil for no change.
	WrapEngine func(http.Handler) http.Handler
}

// Host is one shallotgap process; Start starts it.
type Host struct {
	Name, Domain, Listen, Peer string

	settings string // path of the settings file
	command  *exec.Cmd
	ended    chan struct{} // closed when the process has ended
}

// URL returns the base URL at which the host serves callers.
func (h *Host) URL() string { return "http://" + h.Listen }

// Deployment is a set of host processes with their endpoints.
type Deployment struct {
	Config
	Hosts  []*Host
	Plains []*stand.Plain

	ctx     context.Context
	cancel  context.CancelFunc
	group   errgroup.Group
	servers []*httptest.Server
}

// Build compiles shallotgap from the module at root into folder and returns the path of the binary.
func Build(root, folder string) (string, error) {
	program := filepath.Join(folder, "shallotgap")
	build := exec.Command("go", "build", "-o", program, ".")
	build.Dir = root
	if out, err := build.CombinedOutput(); err != nil {
		return "", fmt.Errorf("build shallotgap: %w: %s", err, out)
	}
	return program, nil
}

// New starts all hosts and, in each failure domain, an engine and a plain service.
func New(c Config) (*Deployment, error) {
	d := &Deployment{Config: c}
	d.ctx, d.cancel = context.WithCancel(context.Background())
	if err := d.writeSettings(); err != nil {
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

// serve registers the server so that Close stops it, and returns the base URL of the server.
func (d *Deployment) serve(s *httptest.Server) string {
	d.servers = append(d.servers, s)
	return s.URL
}

// addEndpoints starts an engine and a plain service in a failure domain; both announce themselves to the hosts.
func (d *Deployment) addEndpoints(domain, store string) {
	engine := stand.NewEngine(d.ctx, stand.EngineConfig{
		ID: "g" + domain, Domain: domain, Model: "base", Store: store, Slots: 4, Batch: 16, StepTime: 5 * time.Millisecond,
	})
	plain := stand.NewPlain(stand.PlainConfig{ID: "p" + domain, Service: "payments", Domain: domain})
	d.Plains = append(d.Plains, plain)
	handler := engine.Handler()
	if d.WrapEngine != nil {
		handler = d.WrapEngine(handler)
	}
	engineURL := d.serve(httptest.NewServer(handler))
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

// URLs returns the base URLs of all hosts, also of stopped ones.
func (d *Deployment) URLs() []string {
	var urls []string
	for _, h := range d.Hosts {
		urls = append(urls, h.URL())
	}
	return urls
}

// writeSettings reserves the addresses of all hosts and writes their settings files.
func (d *Deployment) writeSettings() error {
	var sections strings.Builder
	_, _ = fmt.Fprintf(&sections, "[callers]\nentry-life = %s\n", d.EntryLife)
	for n := range d.Config.Hosts {
		listen, peer, err := freeAddresses(n)
		if err != nil {
			return err
		}
		h := &Host{Name: fmt.Sprintf("e%d", n+1), Domain: string(rune('a' + n%d.Domains)), Listen: listen, Peer: peer}
		d.Hosts = append(d.Hosts, h)
		_, _ = fmt.Fprintf(&sections, "[host.%s]\ndomain = %s\nlisten = %s\npeer = %s\ndisk = %v\n",
			h.Name, h.Domain, h.Listen, h.Peer, n < d.Disks)
	}
	for n, h := range d.Hosts {
		self := fmt.Sprintf("[self]\nname = %s\ndrain-timeout = 20s\n", h.Name)
		if d.AnswerBytes > 0 {
			self += fmt.Sprintf("answer-bytes = %d\n", d.AnswerBytes)
		}
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

// freeAddresses returns two addresses of the n-th host with free ports. Both ports stay open until freeAddresses
// returns, so that the operating system chooses two different ports.
func freeAddresses(n int) (listen, peer string, err error) {
	var free []string
	for range 2 {
		l, err := fleet.Listen(n)
		if err != nil {
			return "", "", err
		}
		defer func() { _ = l.Close() }()
		free = append(free, l.Addr().String())
	}
	return free[0], free[1], nil
}

// Start starts the process of a host, for the first time or again after its end. Its output is appended to a log file.
func (d *Deployment) Start(h *Host) error {
	log, err := os.OpenFile(filepath.Join(d.Folder, h.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	command := exec.Command(d.Program, "serve", h.settings)
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	h.command, h.ended = command, ended
	go func() {
		_ = command.Wait()
		_ = log.Close()
		close(ended)
	}()
	return nil
}

// Signal sends a signal to a host's process.
func (h *Host) Signal(s syscall.Signal) { _ = h.command.Process.Signal(s) }

// ResidentMB returns the resident memory of the process in MB, 0 if it does not run.
func (h *Host) ResidentMB() int { return ResidentMB(h.command.Process.Pid) }

// ResidentMB returns the resident memory of a process in MB, 0 if it does not run.
func ResidentMB(pid int) int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	kb := 0
	for line := range strings.Lines(string(data)) {
		if _, err := fmt.Sscanf(line, "VmRSS: %d kB", &kb); err == nil {
			break
		}
	}
	return kb / 1024
}

// Kill ends the process with SIGKILL and waits for its end.
func (h *Host) Kill() {
	h.Signal(syscall.SIGKILL)
	<-h.ended
}

// Ended returns a channel that is closed when the process has ended.
func (h *Host) Ended() <-chan struct{} { return h.ended }

// Runs returns the number of runs of each idempotency key, summed over all plain services.
func (d *Deployment) Runs() map[string]int {
	runs := map[string]int{}
	for _, p := range d.Plains {
		for key, n := range p.Counts() {
			runs[key] += n
		}
	}
	return runs
}

// Close kills all host processes and stops the stand-ins. Each process gets SIGCONT first, since SIGSTOP may have suspended
// it.
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
