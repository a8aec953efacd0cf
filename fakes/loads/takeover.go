package loads

import (
	"fmt"
	"slices"
	"time"

	"shallotgap/core/ident"
	"shallotgap/fakes/fleet"
	"shallotgap/io/admin"
)

// Takeover is the command that times how long a service is not served after its owner was killed.
type Takeover struct {
	Runs int `default:"10" help:"Owners to kill, one after the other."`
}

// retryEvery is the interval at which the caller tries again.
const retryEvery = 10 * time.Millisecond

// Run starts seven hosts and a plain service in one process, kills the owner again and again, and prints the time
// from the kill to the first whole answer through another host.
func (c *Takeover) Run() error {
	f, end, err := deploy(7)
	if err != nil {
		return err
	}
	defer end()
	var times []time.Duration
	for range c.Runs {
		took, err := killOwner(f)
		if err != nil {
			return err
		}
		times = append(times, took)
	}
	slices.Sort(times)
	_, err = fmt.Printf("measure=takeover runs=%d p50=%v max=%v\n", len(times), at(times, 0.5), times[len(times)-1])
	return err
}

// killOwner kills the owner once all hosts serve, times the gap, and starts the host again.
func killOwner(f *fleet.Fleet) (time.Duration, error) {
	var owner *fleet.Host
	if !fleet.Await(settle, func() bool { owner = ownerOf(f); return owner != nil }) {
		return 0, fmt.Errorf("the endpoint got no owner within %v", settle)
	}
	other := f.Hosts[0]
	if other == owner {
		other = f.Hosts[1]
	}
	start := time.Now()
	f.Kill(owner)
	for {
		if _, err := send(other.URL()+"/services/payments/status", ""); err == nil {
			break
		}
		if time.Since(start) > settle {
			return 0, fmt.Errorf("the service is not served %v after its owner %s was killed", settle, owner.Name)
		}
		<-time.After(retryEvery)
	}
	took := time.Since(start)
	return took, f.Restart(owner)
}

// ownerOf returns the owner of the only endpoint, or nil while not all hosts serve and know it.
func ownerOf(f *fleet.Fleet) *fleet.Host {
	var name ident.HostID
	for _, h := range f.Hosts {
		var s admin.Status
		if get(h.URL()+"/admin/status", &s) != nil || !s.Serving || len(s.Endpoints) == 0 {
			return nil
		}
		name = s.Endpoints[0].Owner
	}
	for _, h := range f.Hosts {
		if h.Name == name {
			return h
		}
	}
	return nil
}
