//go:build review

// Command stage plays the scripted cases of review 2: it starts the program as separate processes on loopback addresses, as the deploy file
// says, with stand-ins for clients, replicas and the operator, and checks what they have seen.
package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Ports are the same on all machines; each machine has a loopback address of its own.
const (
	portFront     = 8149
	portReady     = 8141
	portControl   = 8144
	portDirectory = 8143
	firstLinkPort = 7380
	lastLinkPort  = 7395
)

// machine is one process of a role.
type machine struct {
	name, ip, zone string
	serves         []string
	metrics        string
	disk           bool

	site    *site
	mu      sync.Mutex
	command *exec.Cmd
	ended   chan struct{}
}

// site is a small deployment.
type site struct {
	folder    string
	net       string // the first three numbers of all addresses
	zones     []string
	machines  []*machine
	bootstrap bool
	record    *record
}

// newSite prepares three core machines, as many fronts and one call host, each in a folder of its own.
func newSite(r *record, fronts int) (*site, error) {
	folder, err := os.MkdirTemp("", "stage")
	if err != nil {
		return nil, err
	}
	prefix, err := freeNet()
	if err != nil {
		return nil, err
	}
	s := &site{folder: folder, net: prefix, zones: []string{"catania", "ragusa", "enna"}, bootstrap: true, record: r}
	for n := range 3 {
		s.add(&machine{name: fmt.Sprintf("core-%s-1", s.zones[n]), ip: s.ip(11 + n), zone: s.zones[n], serves: []string{"control", "directory"}, metrics: "9464", disk: true})
	}
	for n := range fronts {
		s.add(&machine{name: fmt.Sprintf("front-%s-%d", s.zones[n%3], 1+n/3), ip: s.ip(31 + n), zone: s.zones[n%3], serves: []string{"front"}, metrics: "9464"})
	}
	s.add(&machine{name: s.machines[3].name, ip: s.machines[3].ip, zone: s.machines[3].zone, serves: []string{"control"}, metrics: "9465"})
	return s, nil
}

// freeNet returns three numbers of loopback addresses at which none of the ports is taken.
func freeNet() (string, error) {
	for n := range 200 {
		prefix := fmt.Sprintf("127.%d.%d", 60+os.Getpid()%100, 1+n)
		free := true
		for _, host := range []string{"11", "31"} {
			for _, port := range []int{portControl, portFront, firstLinkPort} {
				l, err := net.Listen("tcp", fmt.Sprintf("%s.%s:%d", prefix, host, port))
				if err != nil {
					free = false
					continue
				}
				_ = l.Close()
			}
		}
		if free {
			return prefix, nil
		}
	}
	return "", fmt.Errorf("no free loopback addresses")
}

func (s *site) ip(n int) string { return fmt.Sprintf("%s.%d", s.net, n) }

func (s *site) add(m *machine) {
	m.site = s
	s.machines = append(s.machines, m)
}

// find returns the machines that serve something.
func (s *site) find(what string) []*machine {
	var list []*machine
	for _, m := range s.machines {
		for _, x := range m.serves {
			if x == what {
				list = append(list, m)
			}
		}
	}
	return list
}

// settings returns the settings file of a machine, like that of the small deployment etnea-ops.
func (m *machine) settings(bootstrap bool) map[string]any {
	listen := map[string]string{}
	for _, s := range m.serves {
		switch s {
		case "front":
			listen["front"], listen["ready"] = m.at(portFront), m.at(portReady)
		case "control":
			listen["control"] = m.at(portControl)
		case "directory":
			listen["directory"] = m.at(portDirectory)
		}
	}
	zones, seeds := map[string]string{}, []string{}
	for n, z := range m.site.zones {
		zones[z] = "sicilia"
		seeds = append(seeds, m.site.machines[n].at(portControl))
	}
	class, memory, disk := "front", 284, 0
	var data any
	if m.disk {
		class, memory, disk, data = "core", 280, 128, filepath.Join(m.site.folder, m.name, "data")
	}
	return map[string]any{
		"node": m.name, "role": "role", "machineClass": class, "serves": m.serves, "ip": m.ip, "zone": m.zone, "region": "sicilia", "zones": zones,
		"listen": listen, "portRange": []int{firstLinkPort, lastLinkPort}, "seeds": seeds, "bootstrap": bootstrap, "countsAsLoss": m.disk,
		"limits":  map[string]any{"cpuShare": 0.4, "cores": 1, "memoryMb": memory, "maxFds": 4100, "linkMbps": 1000.0, "diskMb": disk},
		"dataDir": data, "discovery": "registry", "entry": "directory", "beatIntervalMs": 1200,
		"contracts":      []string{"base", "drain", "config", "cost", "retry", "recover", "fleet", "stream", "engine"},
		"faultTolerance": map[string]int{"machines": 1, "zones": 0, "regions": 0},
		"bounds": map[string]any{
			"seedLagS": 3, "reuseAfterS": 2, "contactMs": 3000, "ackMs": 4000, "catchUpS": 4, "drainMs": 2000, "graceS": 8, "lossSlackMs": 200,
			"configApplyMs": 2000, "rollbackSlackMs": 250, "maxStretchMs": 5000, "retryBudgetRatio": 0.2, "budgetWindowS": 10, "budgetExtra": 54,
			"recoveryS": 12, "passMs": 120, "retryAfterS": 0, "fencingEnforced": true, "leaseMs": 3000, "thawSlackMs": 300, "ceilingWindowS": 5,
			"ceilingFactor": 1.1, "version_ms": 5000, "ttl_max_s": 5,
		},
		"configMode": "highest",
	}
}

// at returns an address of the machine.
func (m *machine) at(port int) string { return fmt.Sprintf("%s:%d", m.ip, port) }

// start starts the process of a machine with the command of the deploy file.
func (m *machine) start() error {
	folder := filepath.Join(m.site.folder, m.name)
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return err
	}
	data, err := json.Marshal(m.settings(m.site.bootstrap))
	if err != nil {
		return err
	}
	file := filepath.Join(folder, "local-"+m.metrics+".json")
	if err := os.WriteFile(file, data, 0o644); err != nil {
		return err
	}
	out, err := os.OpenFile(filepath.Join(folder, "log-"+m.metrics), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	command := exec.Command("target/shallotgap", "platform", "--metrics", m.metrics)
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + folder, "LANG=C.UTF-8", "SHALLOTGAP_SETTINGS=" + file}
	command.Stdout, command.Stderr = out, out
	if err := command.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	m.mu.Lock()
	m.command, m.ended = command, ended
	m.mu.Unlock()
	go func() {
		_ = command.Wait()
		_ = out.Close()
		close(ended)
	}()
	return nil
}

// signal sends a signal to the process.
func (m *machine) signal(s syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.command != nil {
		m.site.record.note("signal %v to %s", s, m.name)
		_ = m.command.Process.Signal(s)
	}
}

// await waits until the process has ended.
func (m *machine) await() {
	m.mu.Lock()
	ended := m.ended
	m.mu.Unlock()
	<-ended
}

// start starts all machines; from then on, they start without bootstrap.
func (s *site) start() error {
	for _, m := range s.machines {
		if err := m.start(); err != nil {
			return err
		}
	}
	s.bootstrap = false
	return nil
}

// close ends all processes and removes their folders.
func (s *site) close() {
	for _, m := range s.machines {
		m.mu.Lock()
		if m.command != nil {
			_ = m.command.Process.Signal(syscall.SIGCONT)
			_ = m.command.Process.Kill()
		}
		m.mu.Unlock()
	}
	for _, m := range s.machines {
		if m.ended != nil {
			<-m.ended
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(s.folder)
	} else {
		fmt.Println("kept:", s.folder)
	}
}

// awaitReady waits until all fronts say that they are ready.
func (s *site) awaitReady(limit time.Duration) error {
	client := &http.Client{Timeout: time.Second}
	end := time.Now().Add(limit)
	for _, m := range s.find("front") {
		for {
			resp, err := client.Get("http://" + m.at(portReady) + "/-/readiness")
			if err == nil {
				_ = resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(end) {
				return fmt.Errorf("%s is not ready", m.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}
