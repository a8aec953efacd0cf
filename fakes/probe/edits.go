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

// startFleet starts seven hosts in this process, with TCP connections and data folders, and waits until all serve. If sent
// is not nil, it is increased by the bytes that hosts send each other.
func startFleet(folder string, voters int, sent *atomic.Int64) (*fleet.Fleet, error) {
	p := world.Defaults()
	p.Voters = voters
	f, err := fleet.New(fleet.Config{
		Hosts: 7, Disks: voters, Domains: 3, Folder: filepath.Join(folder, fmt.Sprint(voters)), Params: p, Seed: 1,
		Delay: domainDelay, Sent: sent,
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

// serving reports whether the host at url serves requests.
func serving(url string) bool {
	resp, err := http.Get(url + "/admin/status")
	if err != nil {
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	var status admin.Status
	return json.NewDecoder(resp.Body).Decode(&status) == nil && status.Serving
}

// Edits measures the time from sending an edit of the table to its answer, with 1 and 64 concurrent clients and with 3 and
// 5 voters.
func Edits(out io.Writer, folder string) error {
	for _, voters := range []int{3, 5} {
		f, err := startFleet(folder, voters, nil)
		if err != nil {
			return err
		}
		for _, clients := range []int{1, 64} {
			if err := measureEdits(out, f, voters, clients); err != nil {
				f.Close()
				return err
			}
		}
		f.Close()
	}
	return nil
}

// measureEdits sends edits from concurrent clients, spread over all hosts, and prints the rate and the latencies.
func measureEdits(out io.Writer, f *fleet.Fleet, voters, clients int) error {
	total := 300 * min(clients, 10)
	var mu sync.Mutex
	var times []time.Duration
	var next atomic.Int64
	start := time.Now()
	var group errgroup.Group
	for client := range clients {
		group.Go(func() error {
			for n := next.Add(1); n <= int64(total); n = next.Add(1) {
				sent := time.Now()
				if err := postEdit(f.Hosts[client%len(f.Hosts)].URL(), int(n)+clients*100_000); err != nil {
					return err
				}
				mu.Lock()
				times = append(times, time.Since(sent))
				mu.Unlock()
			}
			return nil
		})
	}
	if err := group.Wait(); err != nil {
		return err
	}
	elapsed := time.Since(start)
	_, err := fmt.Fprintf(out, "measure=edits voters=%d clients=%d edits=%d edits-per-s=%.0f p50=%v p95=%v max=%v\n",
		voters, clients, total, float64(total)/elapsed.Seconds(), quantile(times, 0.5), quantile(times, 0.95), quantile(times, 1))
	return err
}

// postEdit sends the n-th generated edit to a host and returns an error unless the edit is accepted.
func postEdit(url string, n int) error {
	body, err := json.Marshal(sizes.Edit(n, 0))
	if err != nil {
		return err
	}
	resp, err := http.Post(url+"/admin/table", "application/json", bytes.NewReader(body))
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	var result state.Result
	if err := json.NewDecoder(resp.Body).Decode(&result); err != nil {
		return err
	}
	if result.Edit == nil || result.Edit.Verdict != rows.Accepted {
		return fmt.Errorf("edit %d was not accepted by %s: %+v", n, url, result)
	}
	return nil
}

// idleDuration is the time over which an idle fleet is measured.
const idleDuration = 10 * time.Second

// Idle measures the bytes per second that a host sends and the share of a core that it uses in a fleet without endpoints.
func Idle(out io.Writer, folder string) error {
	for _, voters := range []int{3, 5} {
		var sent atomic.Int64
		f, err := startFleet(folder, voters, &sent)
		if err != nil {
			return err
		}
		bytesBefore, cpuBefore := sent.Load(), processorTime()
		<-time.After(idleDuration)
		hosts := float64(len(f.Hosts))
		rate := float64(sent.Load()-bytesBefore) / idleDuration.Seconds() / hosts
		cpu := float64(processorTime()-cpuBefore) / float64(idleDuration) / hosts
		f.Close()
		if _, err := fmt.Fprintf(out, "measure=idle voters=%d hosts=%.0f sent-bytes-per-s-per-host=%.0f core-share-per-host=%.4f\n",
			voters, hosts, rate, cpu); err != nil {
			return err
		}
	}
	return nil
}

// processorTime returns the user plus system time of this process, or 0 if it cannot be read.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
