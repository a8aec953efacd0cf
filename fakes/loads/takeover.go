package loads

import (
	"fmt"
	"slices"
	"time"

	"shallotgap/core/ident"
	"shallotgap/fakes/fleet"
	"shallotgap/io/admin"
)

// Takeover is the command that measures how long a plain service is unavailable after its owner was killed.
type Takeover struct {
	Runs int `default:"10" help:"Owners to kill, one after the other."`
}

// retryInterval is the time between two requests while the service is unavailable.
const retryInterval = 10 * time.Millisecond

// Run starts seven hosts and a plain service in this process. It kills the owner of the service several times and prints
// the time from the kill to the first complete answer through another host.
func (c *Takeover) Run() error {
	f, stop, err := deploy(7)
	if err != nil {
		return err
	}
	defer stop()
	var times []time.Duration
	for range c.Runs {
		outage, err := killOwner(f)
		if err != nil {
			return err
		}
		times = append(times, outage)
	}
	slices.Sort(times)
	_, err = fmt.Printf("measure=takeover runs=%d p50=%v max=%v\n", len(times), quantile(times, 0.5), times[len(times)-1])
	return err
}

// killOwner kills the owner of the service as soon as all hosts serve, returns how long the service was unavailable, and
// starts the host again.
func killOwner(f *fleet.Fleet) (time.Duration, error) {
	var owner *fleet.Host
	if !fleet.Await(settleTimeout, func() bool { owner = ownerOf(f); return owner != nil }) {
		return 0, fmt.Errorf("the plain service has no owner after %v", settleTimeout)
	}
	other := f.Hosts[0]
	if other == owner {
		other = f.Hosts[1]
	}
	start := time.Now()
	f.Kill(owner)
	for {
		if _, err := timeRequest(other.URL()+"/services/payments/status", ""); err == nil {
			break
		}
		if time.Since(start) > settleTimeout {
			return 0, fmt.Errorf("the plain service is still unavailable %v after its owner %s was killed", settleTimeout, owner.Name)
		}
		<-time.After(retryInterval)
	}
	outage := time.Since(start)
	return outage, f.Restart(owner)
}

// ownerOf returns the host that owns the only endpoint, or nil until all hosts serve and know the endpoint.
func ownerOf(f *fleet.Fleet) *fleet.Host {
	var name ident.HostID
	for _, h := range f.Hosts {
		var status admin.Status
		if getJSON(h.URL()+"/admin/status", &status) != nil || !status.Serving || len(status.Endpoints) == 0 {
			return nil
		}
		name = status.Endpoints[0].Owner
	}
	for _, h := range f.Hosts {
		if h.Name == name {
			return h
		}
	}
	return nil
}
