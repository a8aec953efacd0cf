// Package loads measures what the system adds to a request, and how much one process relays.
package loads

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"slices"
	"strings"
	"time"

	"shallotgap/core/world"
	"shallotgap/fakes/fleet"
	"shallotgap/fakes/stand"
	"shallotgap/io/admin"
	"shallotgap/io/entry"
)

// Path is the command that compares the ways of a request to a plain service.
type Path struct {
	Requests int `default:"500" help:"Requests of each way and kind."`
}

// settle bounds the wait for the deployment to serve.
const settle = 20 * time.Second

// Run starts three hosts, a plain service and a client in one process and prints one line for each way and kind.
func (c *Path) Run() error {
	f, end, err := deploy(3)
	if err != nil {
		return err
	}
	defer end()
	service := f.Plains[0]
	owner, other := "", ""
	found := func() bool {
		owner, other = hosts(f)
		return owner != ""
	}
	if !fleet.Await(settle, found) {
		return fmt.Errorf("the endpoint got no owner within %v", settle)
	}
	return c.compare(os.Stdout, []way{
		{name: "direct", url: service.Server.URL},
		{name: "entry", url: owner + "/services/payments"},
		{name: "entry-and-owner", url: other + "/services/payments"},
	})
}

// deploy starts hosts, three of them voters, with one plain service; end stops them and removes their data.
func deploy(hosts int) (f *fleet.Fleet, end func(), err error) {
	folder, err := os.MkdirTemp("", "loads")
	if err != nil {
		return nil, nil, err
	}
	f, err = fleet.New(fleet.Config{Hosts: hosts, Disks: 3, Domains: 3, Folder: folder, Params: world.Defaults(), Seed: 1})
	if err != nil {
		return nil, nil, err
	}
	f.AddPlain(stand.PlainConfig{ID: "p1", Service: "payments", Domain: "a"})
	return f, func() {
		f.Close()
		_ = os.RemoveAll(folder)
	}, nil
}

// hosts returns the addresses of the host that owns the endpoint and of another one.
func hosts(f *fleet.Fleet) (owner, other string) {
	for _, h := range f.Hosts {
		var s admin.Status
		if get(h.URL()+"/admin/status", &s) != nil || !s.Serving || len(s.Endpoints) == 0 || s.Endpoints[0].Owner == "" {
			return "", ""
		}
		if s.Endpoints[0].Owner == h.Name {
			owner = h.URL()
		} else {
			other = h.URL()
		}
	}
	return owner, other
}

func get(url string, out any) error {
	resp, err := http.Get(url)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	return json.NewDecoder(resp.Body).Decode(out)
}

// way is one way to the service, with the times of its requests.
type way struct {
	name, url string
	times     []time.Duration
}

// compare sends the requests of all ways in turn, so that all see the same machine.
func (c *Path) compare(out io.Writer, ways []way) error {
	for _, keyed := range []bool{false, true} {
		for n := range c.Requests {
			for i := range ways {
				key := ""
				if keyed {
					key = fmt.Sprintf("%s-%d", ways[i].name, n)
				}
				took, err := send(ways[i].url+"/status", key)
				if err != nil {
					return fmt.Errorf("%s: %w", ways[i].name, err)
				}
				ways[i].times = append(ways[i].times, took)
			}
		}
		for i := range ways {
			w := &ways[i]
			slices.Sort(w.times)
			_, err := fmt.Fprintf(out, "measure=path way=%s unrepeatable=%t requests=%d p50=%v p95=%v added-p50=%v added-p95=%v\n",
				w.name, keyed, len(w.times), at(w.times, 0.5), at(w.times, 0.95),
				at(w.times, 0.5)-at(ways[0].times, 0.5), at(w.times, 0.95)-at(ways[0].times, 0.95))
			if err != nil {
				return err
			}
		}
		for i := range ways {
			ways[i].times = nil
		}
	}
	return nil
}

// at returns the quantile q of a sorted list.
func at[T cmp.Ordered](sorted []T, q float64) T {
	return sorted[int(q*float64(len(sorted)-1))]
}

// send posts one request and returns the time until its whole answer was read.
func send(url, key string) (time.Duration, error) {
	req, err := http.NewRequest(http.MethodPost, url, io.NopCloser(strings.NewReader("{}")))
	if err != nil {
		return 0, err
	}
	req.ContentLength = 2
	if key != "" {
		req.Header.Set(entry.KeyHeader, key)
	}
	start := time.Now()
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, err
	}
	if resp.StatusCode != http.StatusOK {
		return 0, fmt.Errorf("%s: %s", resp.Status, text)
	}
	return time.Since(start), nil
}
