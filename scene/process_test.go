package scene

import (
	"encoding/json"
	"math/rand/v2"
	"strconv"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"shallotgap/core/drain"
	"shallotgap/core/ident"
	"shallotgap/core/rows"
	"shallotgap/core/state"
	"shallotgap/fakes/fleet"
	"shallotgap/fakes/procs"
	"shallotgap/io/admin"
)

// processSeed is the seed of the choice of processes that get a fault.
const processSeed = 20261203

// newProcesses starts seven hosts as processes, three of them voters, in three failure domains, and adds a row.
func newProcesses(t *testing.T) *procs.Deployment {
	t.Helper()
	program, err := procs.Build("..", t.TempDir())
	assert.NilError(t, err)
	d, err := procs.New(procs.Config{Program: program, Folder: t.TempDir(), Hosts: 7, Disks: 3, Domains: 3, EntryLife: time.Second})
	assert.NilError(t, err)
	t.Cleanup(d.Close)
	addFirstRow(t, d)
	return d
}

// addFirstRow waits until all processes serve, adds a row, and waits until they all know it.
func addFirstRow(t *testing.T, d *procs.Deployment) {
	t.Helper()
	for _, h := range d.Hosts {
		awaitProcess(t, h)
	}
	row := rows.Row{Workspace: "default", Adapter: "feed-advice", Version: "v1", Weight: 1}
	e := rows.Edit{ID: "first", Key: rows.KeyOf(row.Workspace, row.Adapter), Row: &row}
	body, err := json.Marshal(e)
	assert.NilError(t, err)
	assert.Equal(t, post(d.Hosts[0].URL()+"/admin/table", string(body)).Status, 200)
	for _, h := range d.Hosts {
		known := func() bool {
			var table admin.Table
			return get(h.URL()+"/admin/table", &table) == nil && len(table.Rows) == 1
		}
		assert.Assert(t, fleet.Await(settleTime, known), "the row is not in force on host %s", h.Name)
	}
}

// asFleetHost wraps a process in a fleet.Host, as the helpers of this package expect it.
func asFleetHost(h *procs.Host) *fleet.Host {
	f := &fleet.Host{}
	f.Listen = h.Listen
	return f
}

// awaitProcess waits until a process serves.
func awaitProcess(t *testing.T, h *procs.Host) {
	t.Helper()
	assert.Assert(t, fleet.Await(2*settleTime, func() bool { return ready(asFleetHost(h), 6) }), "process %s does not serve", h.Name)
}

// markProcess submits a planned stop, or its withdrawal, to a process.
func markProcess(t *testing.T, h *procs.Host, m drain.Mark) {
	t.Helper()
	body, err := json.Marshal(m)
	assert.NilError(t, err)
	var res state.Result
	a := post(h.URL()+"/admin/stops", string(body))
	assert.NilError(t, json.Unmarshal([]byte(a.Body), &res), a.Body)
	assert.Assert(t, res.Mark != nil && res.Mark.Accepted, a.Body)
}

// Each failure domain in turn gets a planned stop. Once the stop is safe, the processes of the domain are killed and started
// again. No request is cut off and none runs twice.
func TestProcessStopOfEachFailureDomainCutsOffNoRequest(t *testing.T) {
	d := newProcesses(t)
	load := startLoad(t, d.URLs())
	for i, domain := range []string{"a", "b", "c"} {
		unstopped := d.Hosts[(i+1)%3]
		markProcess(t, unstopped, drain.Mark{ID: ident.EditID("stop-" + domain), Target: drain.Domain, Name: domain})
		awaitSafe(t, asFleetHost(unstopped), drain.IDOf(drain.Domain, domain))
		for _, h := range d.Hosts {
			if h.Domain == domain {
				h.Kill()
				assert.NilError(t, d.Start(h))
			}
		}
		for _, h := range d.Hosts {
			awaitProcess(t, h)
		}
		markProcess(t, unstopped, drain.Mark{ID: ident.EditID("end-" + domain), Target: drain.Domain, Name: domain, Withdraw: true})
	}
	outcomes := load.Stop()
	twice, wrongNotRun := fleet.AtMostOnceViolations(outcomes, d.Runs())
	t.Logf("%d requests", len(outcomes))
	assert.DeepEqual(t, fleet.CountFailures(outcomes), map[string]int{})
	assert.Equal(t, len(twice)+len(wrongNotRun), 0, "ran twice: %v; ran but reported as not-run: %v", twice, wrongNotRun)
}

// awaitEnd waits until a process has ended.
func awaitEnd(t *testing.T, h *procs.Host, limit time.Duration) {
	t.Helper()
	select {
	case <-h.Ended():
	case <-time.After(limit):
		t.Fatalf("process %s does not end", h.Name)
	}
}

// A process drains and ends after SIGTERM; a second SIGTERM ends it at once.
func TestProcessEndsAfterSignal(t *testing.T) {
	d := newProcesses(t)
	load := startLoad(t, d.URLs())
	for _, h := range d.Hosts[3:5] {
		h.Signal(syscall.SIGTERM)
		drains := func() bool {
			phase, _ := phaseOf(asFleetHost(d.Hosts[0]), drain.IDOf(drain.Host, h.Name))
			return phase == drain.Draining
		}
		assert.Assert(t, fleet.Await(settleTime, drains), "process %s does not drain", h.Name)
	}
	signaledOnce, signaledTwice := d.Hosts[3], d.Hosts[4]
	signaledTwice.Signal(syscall.SIGTERM)
	awaitEnd(t, signaledTwice, 2*time.Second)
	awaitEnd(t, signaledOnce, 15*time.Second)
	outcomes := load.Stop()
	twice, wrongNotRun := fleet.AtMostOnceViolations(outcomes, d.Runs())
	assert.Equal(t, len(twice)+len(wrongNotRun), 0, "ran twice: %v; ran but reported as not-run: %v", twice, wrongNotRun)
}

// Processes, chosen at random with a fixed seed, are killed or suspended for longer than a lease. No request runs twice,
// and requests reported as not-run did not run.
func TestRandomProcessFaultsRunNoRequestTwice(t *testing.T) {
	d := newProcesses(t)
	random := rand.New(rand.NewPCG(processSeed, 1))
	load := startLoad(t, d.URLs())
	for n := range 8 {
		h := d.Hosts[random.IntN(len(d.Hosts))]
		before := load.Count()
		if n%2 == 0 {
			h.Kill()
			assert.NilError(t, d.Start(h))
		} else {
			h.Signal(syscall.SIGSTOP)
			<-time.After(2500 * time.Millisecond)
			h.Signal(syscall.SIGCONT)
		}
		awaitProcess(t, h)
		assert.Assert(t, fleet.Await(settleTime, func() bool { return load.Count() > before+20 }), "no requests are served after fault %d", n)
	}
	outcomes := load.Stop()
	twice, wrongNotRun := fleet.AtMostOnceViolations(outcomes, d.Runs())
	t.Logf("seed %s: %d requests, without a complete answer: %v", strconv.Itoa(processSeed), len(outcomes), fleet.CountFailures(outcomes))
	assert.Equal(t, len(twice)+len(wrongNotRun), 0, "ran twice: %v; ran but reported as not-run: %v", twice, wrongNotRun)
}
