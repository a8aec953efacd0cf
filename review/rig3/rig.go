//go:build review

// Package rig3 runs a small deployment of the real program as processes on loopback addresses, with the roles and the commands of
// deploy/system.toml, for the cases 11 to 15 of the third review.
package rig3

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	Held     = 0
	Broken   = 1
	CouldNot = 2
)

// Trouble reports whether the case brings about its disruption; TROUBLE=0 leaves it out.
func Trouble() bool { return os.Getenv("TROUBLE") != "0" }

// Record is the file record.txt of a case.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

// NewRecord creates the record in the folder of a case.
func NewRecord(folder string) (*Record, error) {
	f, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	return &Record{file: f, start: time.Now()}, nil
}

// Add writes one line with the time since the start.
func (r *Record) Add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%7.3f s  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
	_, _ = r.file.WriteString(line)
	_, _ = os.Stdout.WriteString(line)
}

// Ports are the port numbers of a deployment, the same on all machines.
type Ports struct{ Front, Ready, Control, Directory, Links int }

// Host is one process of the system.
type Host struct {
	Name, Role, IP, Data string
	settings             string
	command              *exec.Cmd
	log                  *os.File
	exited               chan struct{}
	err                  error
}

// Rig is a deployment.
type Rig struct {
	Record  *Record
	Folder  string // temporary; removed by Close
	Root    string // of the repository
	Network string // first two numbers of its loopback addresses
	Ports   Ports
	// Controls are the three machines of the core, Entries the entry hosts, Calls the call host beside the first entry host.
	Controls, Entries, Calls []*Host
	replicas                 []*Replica
	client                   *http.Client
	version                  int
}

const entryHosts = 4

// New starts the system with empty disks.
func New(record *Record, root string) (*Rig, error) {
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	r := &Rig{Record: record, Folder: folder, Root: root, Network: fmt.Sprintf("127.%d", 100+os.Getpid()%100), client: &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}}
	if err := r.choosePorts(); err != nil {
		return nil, err
	}
	for i := range 3 {
		name := fmt.Sprintf("core-%d", i+1)
		r.Controls = append(r.Controls, &Host{Name: name, Role: "control-host", IP: fmt.Sprintf("%s.1.%d", r.Network, i+1), Data: filepath.Join(folder, name)})
	}
	for i := range entryHosts {
		r.Entries = append(r.Entries, &Host{Name: fmt.Sprintf("front-%d", i+1), Role: "entry-host", IP: fmt.Sprintf("%s.2.%d", r.Network, i+1)})
	}
	r.Calls = []*Host{{Name: "front-1", Role: "call-host", IP: r.Entries[0].IP}}
	for _, h := range r.All() {
		if err := r.Start(h, true); err != nil {
			return nil, err
		}
	}
	return r, nil
}

// All returns all hosts.
func (r *Rig) All() []*Host {
	list := append([]*Host{}, r.Controls...)
	return append(append(list, r.Entries...), r.Calls...)
}

// choosePorts finds port numbers that are free on the loopback network.
func (r *Rig) choosePorts() error {
	for range 50 {
		var listeners []net.Listener
		var numbers []int
		for range 5 {
			l, err := net.Listen("tcp", r.Network+".9.9:0")
			if err != nil {
				return err
			}
			listeners = append(listeners, l)
			numbers = append(numbers, l.Addr().(*net.TCPAddr).Port)
		}
		second, err := net.Listen("tcp", fmt.Sprintf("%s.9.9:%d", r.Network, numbers[4]+1))
		if err == nil {
			_ = second.Close()
		}
		for _, l := range listeners {
			_ = l.Close()
		}
		if err == nil {
			r.Ports = Ports{numbers[0], numbers[1], numbers[2], numbers[3], numbers[4]}
			return nil
		}
	}
	return errors.New("no free ports")
}

func address(ip string, port int) string { return fmt.Sprintf("%s:%d", ip, port) }

// FrontAddress returns the address of an entry host for clients.
func (r *Rig) FrontAddress(h *Host) string { return address(h.IP, r.Ports.Front) }

// ControlAddresses returns the addresses at which replicas and operators call the system.
func (r *Rig) ControlAddresses() []string {
	var list []string
	for _, h := range append(append([]*Host{}, r.Controls...), r.Calls...) {
		list = append(list, address(h.IP, r.Ports.Control))
	}
	return list
}

// writeSettings writes the settings file in the form of DEPLOY.md, with the bounds of zwsued-lauf.
func (r *Rig) writeSettings(h *Host, bootstrap bool) error {
	var seeds []string
	for _, c := range r.Controls {
		seeds = append(seeds, address(c.IP, r.Ports.Control))
	}
	zones := []string{"bayern-nord", "bayern-mitte", "bayern-sued"}
	zone := zones[int(h.IP[len(h.IP)-1]-'1')%len(zones)]
	s := map[string]any{
		"node": h.Name, "role": h.Role, "machineClass": "front", "ip": h.IP, "zone": zone, "region": "bayern",
		"zones":     map[string]string{"bayern-nord": "bayern", "bayern-mitte": "bayern", "bayern-sued": "bayern"},
		"portRange": []int{r.Ports.Links, r.Ports.Links + 1}, "seeds": seeds, "bootstrap": bootstrap, "countsAsLoss": false,
		"limits":  map[string]any{"cpuShare": 0.4, "cores": 1, "memoryMb": 284, "maxFds": 4100, "linkMbps": 1000.0, "diskMb": 0},
		"dataDir": nil, "discovery": "registry", "entry": "directory", "beatIntervalMs": 1200,
		"contracts":      []string{"base", "drain", "config", "cost", "retry", "recover", "fleet", "stream", "engine"},
		"faultTolerance": map[string]int{"machines": 1, "zones": 0, "regions": 0},
		"bounds": map[string]any{
			"seedLagS": 3, "reuseAfterS": 2, "contactMs": 3000, "ackMs": 4000, "catchUpS": 4, "drainMs": 2000, "graceS": 8, "lossSlackMs": 200, "configApplyMs": 2000,
			"rollbackSlackMs": 250, "maxStretchMs": 5000, "retryBudgetRatio": 0.2, "budgetWindowS": 10, "budgetExtra": 54, "recoveryS": 12, "passMs": 120, "retryAfterS": 0,
			"fencingEnforced": true, "leaseMs": 3000, "thawSlackMs": 300, "ceilingWindowS": 5, "ceilingFactor": 1.1, "version_ms": 5000, "ttl_max_s": 5,
		},
		"configMode": "highest",
	}
	switch h.Role {
	case "control-host":
		s["machineClass"], s["countsAsLoss"], s["dataDir"] = "core", true, h.Data
		s["serves"] = []string{"control", "directory"}
		s["listen"] = map[string]string{"control": address(h.IP, r.Ports.Control), "directory": address(h.IP, r.Ports.Directory)}
		s["limits"] = map[string]any{"cpuShare": 0.96, "cores": 1, "memoryMb": 280, "maxFds": 4096, "linkMbps": 1000.0, "diskMb": 128}
	case "entry-host":
		s["serves"] = []string{"front"}
		s["listen"] = map[string]string{"front": address(h.IP, r.Ports.Front), "ready": address(h.IP, r.Ports.Ready)}
	case "call-host":
		s["serves"] = []string{"control"}
		s["listen"] = map[string]string{"control": address(h.IP, r.Ports.Control)}
	}
	data, err := json.Marshal(s)
	if err != nil {
		return err
	}
	h.settings = filepath.Join(r.Folder, h.Role+"-"+h.Name+".json")
	return os.WriteFile(h.settings, data, 0o600)
}

// Start starts the process of a host with the command of the deploy file.
func (r *Rig) Start(h *Host, bootstrap bool) error {
	if err := r.writeSettings(h, bootstrap); err != nil {
		return err
	}
	port := "9464"
	if h.Role == "call-host" {
		port = "9465"
	}
	if h.Data != "" {
		if err := os.MkdirAll(h.Data, 0o750); err != nil {
			return err
		}
	}
	if h.log == nil {
		var err error
		if h.log, err = os.OpenFile(filepath.Join(r.Folder, h.Role+"-"+h.Name+".log"), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600); err != nil {
			return err
		}
	}
	c := exec.Command(filepath.Join(r.Root, "target", "shallotgap"), "platform", "--metrics", port)
	c.Dir = r.Root
	c.Env = []string{"SHALLOTGAP_SETTINGS=" + h.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	c.Stdout, c.Stderr = h.log, h.log
	if err := c.Start(); err != nil {
		return err
	}
	h.command, h.exited = c, make(chan struct{})
	go func(exited chan struct{}) {
		err := c.Wait()
		h.err = err
		close(exited)
	}(h.exited)
	return nil
}

// Signal sends a signal to the process of a host.
func (h *Host) Signal(s syscall.Signal) { _ = h.command.Process.Signal(s) }

// Pid returns the process id.
func (h *Host) Pid() int { return h.command.Process.Pid }

// Kill ends the process of a host at once, and waits for that.
func (h *Host) Kill() {
	h.Signal(syscall.SIGCONT)
	h.Signal(syscall.SIGKILL)
	<-h.exited
}

// Exited reports whether the process ends within a time.
func (h *Host) Exited(within time.Duration) bool {
	select {
	case <-h.exited:
		return true
	case <-time.After(within):
		return false
	}
}

// ExitError returns how the process ended.
func (h *Host) ExitError() error { return h.err }

// LogTail returns the last lines of the log of a host.
func (r *Rig) LogTail(h *Host, lines int) []string {
	data, _ := os.ReadFile(h.log.Name())
	all := strings.Split(strings.TrimSpace(strings.ReplaceAll(string(data), r.Folder, "FOLDER")), "\n")
	return all[max(0, len(all)-lines):]
}

// Close ends all processes and removes the folder. KEEP=1 leaves the folder, with the logs, for a look.
func (r *Rig) Close() {
	for _, x := range r.replicas {
		x.Kill()
	}
	for _, h := range r.All() {
		if h.command != nil {
			h.Kill()
		}
	}
	if os.Getenv("KEEP") == "1" {
		fmt.Println("logs are in", r.Folder)
		return
	}
	_ = os.RemoveAll(r.Folder)
}

// call sends a call to a host and returns the status and the body of the answer.
func (r *Rig) call(method, url, body string) (int, string, error) {
	req, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		return 0, "", err
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := r.client.Do(req)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(data), err
}

// Control sends a call of the operator to the hosts that serve control, one after the other as the page tells, until one gives an answer other
// than a 5xx, or until the time is over.
func (r *Rig) Control(method, path, body string, within time.Duration) (int, string, error) {
	end := time.Now().Add(within)
	pause := 50 * time.Millisecond
	for n := 0; ; n++ {
		list := r.ControlAddresses()
		status, answer, err := r.call(method, "http://"+list[n%len(list)]+path, body)
		if err == nil && status < 500 {
			return status, answer, nil
		}
		if time.Now().After(end) {
			if err == nil {
				err = fmt.Errorf("status %d: %s", status, strings.TrimSpace(answer))
			}
			return status, answer, err
		}
		time.Sleep(pause)
		pause = min(2*pause, 400*time.Millisecond)
	}
}

// Route is a route of the configuration.
type Route struct {
	Name, Prefix, Type, Service string
	TimeoutMS                   int
	Attempts                    int
}

// Service is a service of the configuration; Engine is true for replicas of a model.
type Service struct {
	Name   string
	Engine bool
}

// Host name of all routes, and the model of all engines.
const (
	HostName  = "ficu95.example"
	ModelName = "daka510000"
)

// Config returns a configuration as the operator sends it.
func Config(version int, routes []Route, services []Service, extra int) string {
	rs, ss := []any{}, []any{}
	for _, x := range routes {
		rs = append(rs, map[string]any{
			"name": x.Name, "host": HostName, "pathPrefix": x.Prefix, "routeType": x.Type, "timeoutMs": x.TimeoutMS, "targetLatencyMs": 1000, "priority": 1,
			"service": x.Service, "maxAttempts": x.Attempts, "sticky": x.Type == "streaming", "resumable": false, "targetGapMs": 400,
		})
	}
	for n := range extra { // many idle routes, as of big_config
		rs = append(rs, map[string]any{
			"name": fmt.Sprintf("r-idle%d", n), "host": HostName, "pathPrefix": fmt.Sprintf("/idle%d/", n), "routeType": "safe", "timeoutMs": 1000 + version, "targetLatencyMs": 150,
			"priority": 2, "service": services[0].Name, "maxAttempts": 2, "sticky": false, "resumable": false, "targetGapMs": 400,
		})
	}
	for _, x := range services {
		s := map[string]any{"name": x.Name, "healthPath": "/health", "maxConns": 100, "protocol": "h1", "tls": false}
		if x.Engine {
			s["engine"] = map[string]any{
				"slots": 96, "kvCapacityTokens": 183294, "kvTokenBytes": 131072, "linkMbps": 1100000.0, "moves": true, "backups": true, "stride": 5, "maxCount": 12,
				"hostMb": 57000.0, "diskMb": 170000.0, "pinMs": 4000.0, "holdMs": 2000.0, "handle_s": 5.0, "weightsMb": 16500.0, "adapterSlots": 8, "loadsPerS": 2.1,
				"models": []any{map[string]any{"name": ModelName, "weightsMb": 16100.0, "loadS": 0.6, "adapters": 3000, "adapterMb": 14.0, "warmS": 0.27, "diskS": 0.35}},
			}
		}
		ss = append(ss, s)
	}
	data, _ := json.Marshal(map[string]any{
		"version": version, "routes": rs, "services": ss,
		"limits": map[string]int{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	return string(data)
}

// PutConfig sends the next version of a configuration until it is acknowledged.
func (r *Rig) PutConfig(routes []Route, services []Service, extra int, within time.Duration) error {
	r.version++
	status, answer, err := r.Control(http.MethodPut, "/-/config", Config(r.version, routes, services, extra), within)
	if err == nil && status != http.StatusOK {
		err = fmt.Errorf("status %d: %s", status, answer)
	}
	return err
}

// Version returns the version of the latest configuration that was sent.
func (r *Rig) Version() int { return r.version }

// AwaitReady waits until all entry hosts say that they are ready.
func (r *Rig) AwaitReady(within time.Duration) error {
	for end := time.Now().Add(within); ; time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, h := range r.Entries {
			if status, _, err := r.call(http.MethodGet, "http://"+address(h.IP, r.Ports.Ready)+"/-/readiness", ""); err == nil && status == http.StatusOK {
				ready++
			}
		}
		if ready == len(r.Entries) {
			return nil
		}
		if time.Now().After(end) {
			return fmt.Errorf("%d of %d entry hosts are ready", ready, len(r.Entries))
		}
	}
}

// ReadConfig reads the configuration once, at one of the hosts that serve control, and returns the status; 0 for no answer.
func (r *Rig) ReadConfig(n int) int {
	list := r.ControlAddresses()
	status, _, err := r.call(http.MethodGet, "http://"+list[n%len(list)]+"/-/config", "")
	if err != nil {
		return 0
	}
	return status
}
