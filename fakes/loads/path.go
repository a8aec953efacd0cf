// Package loads measures the latency that shallotgap adds to a request, the outage after the death of an owner, and the
// throughput and processor time of an entry host.
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

// Path is the command that measures the latency that hosts add to requests for a plain service, compared with direct
// requests.
type Path struct {
	Requests int `default:"500" help:"Requests of each way and kind."`
}

// settleTimeout is the longest wait until the deployment serves requests.
const settleTimeout = 20 * time.Second

// Run starts three hosts and a plain service in this process, sends requests over three routes and prints the latencies of
// each route: straight to the service, through its owner, and through another host that forwards to the owner.
func (c *Path) Run() error {
	f, stop, err := deploy(3)
	if err != nil {
		return err
	}
	defer stop()
	service := f.Plains[0]
	owner, other := "", ""
	ownerKnown := func() bool {
		owner, other = ownerAndOther(f)
		return owner != ""
	}
	if !fleet.Await(settleTimeout, ownerKnown) {
		return fmt.Errorf("the plain service has no owner after %v", settleTimeout)
	}
	return c.compare(os.Stdout, []route{
		{name: "direct", url: service.Server.URL},
		{name: "entry", url: owner + "/services/payments"},
		{name: "entry-and-owner", url: other + "/services/payments"},
	})
}

// deploy starts hosts, three of them voters, with one plain service. The returned function stops them and removes their
// data folders.
func deploy(hosts int) (f *fleet.Fleet, stop func(), err error) {
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

// ownerAndOther returns the base URLs of the host that owns the endpoint and of another host; both are empty until all
// hosts serve and know the owner.
func ownerAndOther(f *fleet.Fleet) (owner, other string) {
	for _, h := range f.Hosts {
		var status admin.Status
		if getJSON(h.URL()+"/admin/status", &status) != nil || !status.Serving || len(status.Endpoints) == 0 || status.Endpoints[0].Owner == "" {
			return "", ""
		}
		if status.Endpoints[0].Owner == h.Name {
			owner = h.URL()
		} else {
			other = h.URL()
		}
	}
	return owner, other
}

// getJSON decodes the JSON answer of a GET request into out.
func getJSON(url string, out any) error {
	resp, err := http.Get(url)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	return json.NewDecoder(resp.Body).Decode(out)
}

// route is one of the compared routes to the service, with the latencies measured over it.
type route struct {
	name, url string
	times     []time.Duration
}

// compare sends requests over the routes in turn, so that load on the machine affects all routes alike, and prints the
// latencies of each route and how much they exceed those of the first route.
func (c *Path) compare(out io.Writer, routes []route) error {
	for _, keyed := range []bool{false, true} {
		for n := range c.Requests {
			for i := range routes {
				key := ""
				if keyed {
					key = fmt.Sprintf("%s-%d", routes[i].name, n)
				}
				latency, err := timeRequest(routes[i].url+"/status", key)
				if err != nil {
					return fmt.Errorf("%s: %w", routes[i].name, err)
				}
				routes[i].times = append(routes[i].times, latency)
			}
		}
		for i := range routes {
			r := &routes[i]
			slices.Sort(r.times)
			_, err := fmt.Fprintf(out, "measure=path way=%s unrepeatable=%t requests=%d p50=%v p95=%v added-p50=%v added-p95=%v\n",
				r.name, keyed, len(r.times), quantile(r.times, 0.5), quantile(r.times, 0.95),
				quantile(r.times, 0.5)-quantile(routes[0].times, 0.5), quantile(r.times, 0.95)-quantile(routes[0].times, 0.95))
			if err != nil {
				return err
			}
		}
		for i := range routes {
			routes[i].times = nil
		}
	}
	return nil
}

// quantile returns the quantile q of a sorted list.
func quantile[T cmp.Ordered](sorted []T, q float64) T {
	return sorted[int(q*float64(len(sorted)-1))]
}

// timeRequest sends a POST request, with an idempotency key if key is set, and returns the time until the whole answer
// was read.
func timeRequest(url, key string) (time.Duration, error) {
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
	answer, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, err
	}
	if resp.StatusCode != http.StatusOK {
		return 0, fmt.Errorf("%s: %s", resp.Status, answer)
	}
	return time.Since(start), nil
}
