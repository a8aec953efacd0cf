package probe

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"

	"shallotgap/core/rows"
	"shallotgap/core/state"
	"shallotgap/core/world"
	"shallotgap/fakes/fleet"
	"shallotgap/fakes/sizes"
	"shallotgap/io/admin"
)

// domainDelay is the one-way delay between failure domains.
const domainDelay = 1500 * time.Microsecond

// realFleet starts seven hosts in one process, with real links and disks, and waits until they serve.
func realFleet(folder string, voters int, sent *atomic.Int64) (*fleet.Fleet, error) {
	p := world.Defaults()
	p.Voters = voters
	f, err := fleet.New(fleet.Config{
		Hosts: 7, Disks: voters, Domains: 3, Folder: filepath.Join(folder, fmt.Sprint(voters)), Params: p, Seed: 1, Delay: domainDelay, Sent: sent,
	})
	if err != nil {
		return nil, err
	}
	for _, h := range f.Hosts {
		if !fleet.Await(20*time.Second, func() bool { return serving(h.URL()) }) {
			f.Close()
			return nil, fmt.Errorf("host %s does not serve", h.Name)
		}
	}
	return f, nil
}

func serving(url string) bool {
	resp, err := http.Get(url + "/admin/status")
	if err != nil {
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	var s admin.Status
	return json.NewDecoder(resp.Body).Decode(&s) == nil && s.Serving
}

// Edits measures the time of an edit from request to answer, one at a time and 64 at a time, at 3 and 5 voters.
func Edits(out io.Writer, folder string) error {
	for _, voters := range []int{3, 5} {
		f, err := realFleet(folder, voters, nil)
		if err != nil {
			return err
		}
		for _, clients := range []int{1, 64} {
			if err := editRun(out, f, voters, clients); err != nil {
				f.Close()
				return err
			}
		}
		f.Close()
	}
	return nil
}

func editRun(out io.Writer, f *fleet.Fleet, voters, clients int) error {
	total := 300 * min(clients, 10)
	var mu sync.Mutex
	var times []time.Duration
	var next atomic.Int64
	begun := time.Now()
	var group errgroup.Group
	for client := range clients {
		group.Go(func() error {
			for n := next.Add(1); n <= int64(total); n = next.Add(1) {
				started := time.Now()
				if err := edit(f.Hosts[client%len(f.Hosts)].URL(), int(n)+clients*100_000); err != nil {
					return err
				}
				mu.Lock()
				times = append(times, time.Since(started))
				mu.Unlock()
			}
			return nil
		})
	}
	if err := group.Wait(); err != nil {
		return err
	}
	span := time.Since(begun)
	_, err := fmt.Fprintf(out, "measure=edits voters=%d clients=%d edits=%d edits-per-s=%.0f p50=%v p95=%v max=%v\n",
		voters, clients, total, float64(total)/span.Seconds(), at(times, 0.5), at(times, 0.95), at(times, 1))
	return err
}

func edit(url string, n int) error {
	body, err := json.Marshal(sizes.Edit(n, 0))
	if err != nil {
		return err
	}
	resp, err := http.Post(url+"/admin/table", "application/json", bytes.NewReader(body))
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	var res state.Result
	if err := json.NewDecoder(resp.Body).Decode(&res); err != nil {
		return err
	}
	if res.Edit == nil || res.Edit.Verdict != rows.Accepted {
		return fmt.Errorf("edit %d at %s: not accepted: %+v", n, url, res)
	}
	return nil
}

// idleSpan is the time over which an idle fleet is watched.
const idleSpan = 10 * time.Second

// Idle measures the bytes sent and the processor time per host of an idle fleet without endpoints.
func Idle(out io.Writer, folder string) error {
	for _, voters := range []int{3, 5} {
		var sent atomic.Int64
		f, err := realFleet(folder, voters, &sent)
		if err != nil {
			return err
		}
		bytesBefore, cpuBefore := sent.Load(), processorTime()
		<-time.After(idleSpan)
		hosts := float64(len(f.Hosts))
		rate := float64(sent.Load()-bytesBefore) / idleSpan.Seconds() / hosts
		cpu := float64(processorTime()-cpuBefore) / float64(idleSpan) / hosts
		f.Close()
		if _, err := fmt.Fprintf(out, "measure=idle voters=%d hosts=%.0f sent-bytes-per-s-per-host=%.0f core-share-per-host=%.4f\n", voters, hosts, rate, cpu); err != nil {
			return err
		}
	}
	return nil
}

func processorTime() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
