//go:build review

package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// Times of the deployment, as in the settings of a small one.
const (
	contact      = 3 * time.Second
	drainTime    = 2 * time.Second
	configApply  = 2 * time.Second
	beatInterval = 1200 * time.Millisecond
)

// zones are the failure domains, with the number of entry machines in each.
var zones = []struct {
	name    string
	entries int
}{{"nord", 3}, {"mitte", 2}, {"sued", 2}}

// process is one process of the system under test.
type process struct {
	name, role, ip, zone string
	settings, dataDir    string
	metrics              int
	command              *exec.Cmd
	exited               chan struct{}
}

// ports are the ports of all machines, each of which has a loopback address of its own.
type ports struct{ links, control, directory, front, ready int }

// deployment is the system under test with its operator.
type deployment struct {
	*record
	program, folder, network string
	ports                    ports
	control, calls, entries  []*process
	log                      *os.File
	client                   *http.Client
}

// newDeployment starts the processes of all roles of the deploy file.
func newDeployment(rec *record, program string) (*deployment, error) {
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	d := &deployment{record: rec, program: program, folder: folder, network: fmt.Sprintf("127.%d", 60+os.Getpid()%150), client: &http.Client{Timeout: time.Second, CheckRedirect: func(_ *http.Request, via []*http.Request) error {
		if len(via) > 2 {
			return errors.New("more than two redirects")
		}
		return nil
	}}}
	if d.log, err = os.Create(filepath.Join(folder, "processes.log")); err != nil {
		return d, err
	}
	numbers, err := freePorts(d.network+".99.1", 5)
	if err != nil {
		return d, err
	}
	d.ports = ports{numbers[0], numbers[1], numbers[2], numbers[3], numbers[4]}
	for z, zone := range zones {
		d.control = append(d.control, &process{name: "core-" + zone.name + "-1", role: "control-host", ip: fmt.Sprintf("%s.%d.41", d.network, z+1), zone: zone.name, dataDir: filepath.Join(folder, "data-"+zone.name)})
		for n := range zone.entries {
			p := &process{name: fmt.Sprintf("front-%s-%d", zone.name, n+1), role: "entry-host", ip: fmt.Sprintf("%s.%d.%d", d.network, z+1, n+1), zone: zone.name}
			d.entries = append(d.entries, p)
			if n == 0 { // the role call-host runs on one machine of each zone
				d.calls = append(d.calls, &process{name: p.name, role: "call-host", ip: p.ip, zone: zone.name})
			}
		}
	}
	for _, p := range d.all() {
		metrics, err := freePorts("0.0.0.0", 1)
		if err != nil {
			return d, err
		}
		p.metrics = metrics[0]
		if err := d.start(p, true); err != nil {
			return d, err
		}
	}
	return d, nil
}

// freePorts returns ports that are free at an address.
func freePorts(ip string, count int) ([]int, error) {
	var list []int
	for range count {
		l, err := net.Listen("tcp", ip+":0")
		if err != nil {
			return nil, err
		}
		defer func() { _ = l.Close() }()
		list = append(list, l.Addr().(*net.TCPAddr).Port)
	}
	return list, nil
}

func (d *deployment) all() []*process {
	return append(append(append([]*process{}, d.control...), d.calls...), d.entries...)
}

// writeSettings writes the settings file of a process.
func (d *deployment) writeSettings(p *process, bootstrap bool) error {
	seeds := []string{}
	for _, c := range d.control {
		seeds = append(seeds, fmt.Sprintf("%s:%d", c.ip, d.ports.control))
	}
	all := map[string]string{}
	for _, z := range zones {
		all[z.name] = "bayern"
	}
	s := map[string]any{
		"node": p.name, "role": p.role, "machineClass": "front", "ip": p.ip, "zone": p.zone, "region": "bayern", "zones": all,
		"portRange": []int{d.ports.links, d.ports.links + 15}, "seeds": seeds, "bootstrap": bootstrap, "countsAsLoss": p.role == "control-host",
		"limits":    map[string]any{"cpuShare": 0.96, "cores": 1, "memoryMb": 280, "maxFds": 4096, "linkMbps": 1000.0, "diskMb": 128},
		"discovery": "registry", "entry": "directory", "beatIntervalMs": beatInterval.Milliseconds(),
		"contracts":      []string{"base", "drain", "config", "cost", "retry", "recover", "fleet", "stream", "engine"},
		"faultTolerance": map[string]int{"machines": 1, "zones": 0, "regions": 0}, "configMode": "highest",
		"bounds": map[string]any{
			"seedLagS": 3, "reuseAfterS": 2, "contactMs": contact.Milliseconds(), "ackMs": 4000, "catchUpS": 4, "drainMs": drainTime.Milliseconds(), "graceS": 8, "lossSlackMs": 200,
			"configApplyMs": configApply.Milliseconds(), "rollbackSlackMs": 250, "maxStretchMs": 5000, "retryBudgetRatio": 0.2, "budgetWindowS": 10, "budgetExtra": 54, "recoveryS": 12,
			"passMs": 120, "retryAfterS": 0, "fencingEnforced": true, "leaseMs": 3000, "thawSlackMs": 300, "ceilingWindowS": 5, "ceilingFactor": 1.1, "version_ms": 5000, "ttl_max_s": 5,
		},
	}
	address := func(port int) string { return fmt.Sprintf("%s:%d", p.ip, port) }
	switch p.role {
	case "control-host":
		s["machineClass"], s["serves"], s["dataDir"] = "core", []string{"control", "directory"}, p.dataDir
		s["listen"] = map[string]string{"control": address(d.ports.control), "directory": address(d.ports.directory)}
	case "call-host":
		s["serves"], s["dataDir"], s["listen"] = []string{"control"}, nil, map[string]string{"control": address(d.ports.control)}
	default:
		s["serves"], s["dataDir"] = []string{"front"}, nil
		s["listen"] = map[string]string{"front": address(d.ports.front), "ready": address(d.ports.ready)}
	}
	data, err := json.Marshal(s)
	if err != nil {
		return err
	}
	p.settings = filepath.Join(d.folder, p.role+"-"+p.name+".json")
	return os.WriteFile(p.settings, data, 0o600)
}

// start starts a process with the command of its role in the deploy file, on a free port for metrics.
func (d *deployment) start(p *process, bootstrap bool) error {
	if err := d.writeSettings(p, bootstrap); err != nil {
		return err
	}
	p.command = exec.Command(d.program, "platform", "--metrics", fmt.Sprint(p.metrics))
	p.command.Env = []string{"SHALLOTGAP_SETTINGS=" + p.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	p.command.Stdout, p.command.Stderr = d.log, d.log
	if err := p.command.Start(); err != nil {
		return err
	}
	p.exited = make(chan struct{})
	go func(c *exec.Cmd, exited chan struct{}) {
		_ = c.Wait()
		close(exited)
	}(p.command, p.exited)
	d.note("%s %s started, pid %d", p.role, p.name, p.command.Process.Pid)
	return nil
}

// signal sends a signal to a process.
func (d *deployment) signal(p *process, s syscall.Signal) {
	_ = p.command.Process.Signal(s)
	d.say("%s %s: %v", p.role, p.name, s)
}

// hasExited reports whether a process has ended.
func (p *process) hasExited() bool {
	select {
	case <-p.exited:
		return true
	default:
		return false
	}
}

// closeOnSignal ends all processes, and this one, once it gets a signal to stop.
func (d *deployment) closeOnSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	<-signals
	d.close()
	os.Exit(couldNotRun)
}

// close ends all processes and removes their files.
func (d *deployment) close() {
	for _, p := range d.all() {
		if p.command == nil || p.command.Process == nil || p.hasExited() {
			continue
		}
		_ = p.command.Process.Signal(syscall.SIGCONT)
		_ = p.command.Process.Kill()
		<-p.exited
	}
	_ = d.log.Close()
	if keep := os.Getenv("KEEP_LOGS"); keep != "" {
		if data, err := os.ReadFile(filepath.Join(d.folder, "processes.log")); err == nil {
			_ = os.WriteFile(keep, data, 0o600)
		}
	}
	_ = os.RemoveAll(d.folder)
}

// controlURL returns the URL at which a process takes the calls of replicas and the operator.
func (d *deployment) controlURL(p *process) string {
	return fmt.Sprintf("http://%s:%d", p.ip, d.ports.control)
}

// call makes a call of a replica or the operator, with a timeout of a second.
func (d *deployment) call(method, url string, body []byte) (int, []byte, error) {
	r, err := http.NewRequest(method, url, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	r.Header.Set("Content-Type", "application/json")
	resp, err := d.client.Do(r)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	return resp.StatusCode, data, err
}

// putConfig sends a configuration to one machine after the other until one acknowledges it.
func (d *deployment) putConfig(text string, within time.Duration) error {
	end := time.Now().Add(within)
	for n := 0; time.Now().Before(end); n++ {
		p := d.control[n%len(d.control)]
		status, data, err := d.call(http.MethodPut, d.controlURL(p)+"/-/config", []byte(text))
		if err == nil && status == http.StatusOK {
			d.say("configuration acknowledged by %s", p.name)
			return nil
		}
		if err == nil && status/100 == 4 {
			return fmt.Errorf("configuration refused: %d %s", status, data)
		}
		time.Sleep(100 * time.Millisecond)
	}
	return errors.New("no machine acknowledged the configuration")
}

// awaitReady waits until all entry machines say that they are ready.
func (d *deployment) awaitReady(within time.Duration) error {
	end := time.Now().Add(within)
	for _, p := range d.entries {
		for {
			status, _, err := d.call(http.MethodGet, fmt.Sprintf("http://%s:%d/-/readiness", p.ip, d.ports.ready), nil)
			if err == nil && status == http.StatusOK {
				break
			}
			if time.Now().After(end) {
				return fmt.Errorf("%s is not ready", p.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}
