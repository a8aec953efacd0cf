// Package site assembles and runs one host of a deployment: a control host, an entry host, both in one process, or a call host, which only
// passes the calls of operators and endpoints on to the leader.
package site

import (
	"errors"
	"fmt"
	"net/netip"
	"time"

	"shallotgap/core/ident"
)

// Listen is an IP address and port to listen on; empty means that the host does not serve there.
type Listen string

// Config holds the settings of one host.
type Config struct {
	// File is the path of the settings file.
	File   string
	Name   string
	Domain ident.DomainID
	// Regions are the regions of the deployment's failure domains.
	Regions map[ident.DomainID]ident.RegionID
	// Seeds are the link addresses of the hosts to which the host connects first.
	Seeds []ident.HostID
	// Bootstrap is true at the first start of the whole deployment, when all disks are empty.
	Bootstrap bool
	// Folder is the data folder of a control host.
	Folder string
	// Voters is the wanted number of voters among the control hosts.
	Voters int
	// Links is the address at which the host accepts links from other hosts. It is also the ID of a control host.
	Links Listen
	// BindLinks is the local address for links if it differs from Links, for example behind port forwarding.
	BindLinks Listen
	// Callers serves callers' requests and Ready the readiness probe of an entry host. Control serves operators and endpoints
	// on either kind of host. Directory serves the address list for callers on a control host.
	Callers, Ready, Control, Directory Listen
	// Metrics serves the metrics of either kind of host.
	Metrics Listen
	// MemoryBytes is the memory limit of the process; 0 for none.
	MemoryBytes int64
	// Grace is the grace period: how long the process may take to exit after a stop signal.
	Grace time.Duration
	// HeartbeatInterval is the interval between heartbeats of an endpoint.
	HeartbeatInterval time.Duration
	// OrderPause is the period within which orders of two hosts to one engine must not alternate.
	OrderPause time.Duration
	// RetryRatio, RetryExtra and RetryWindow set the retry budget of a service, which all hosts share: within a window, the
	// retries are limited to a ratio of the first sends plus a constant number.
	RetryRatio  float64
	RetryExtra  int
	RetryWindow time.Duration
	// MaxAddressLife limits the time for which callers cache the address list; 0 means no further limit.
	MaxAddressLife time.Duration
}

// WithDefaults returns the settings with defaults for the durations and the number of voters that are not set.
func (c Config) WithDefaults() Config {
	setDefault(&c.Grace, 8*time.Second)                     // shortest grace period of the known deployments
	setDefault(&c.HeartbeatInterval, 1200*time.Millisecond) // interval of the known deployments
	setDefault(&c.OrderPause, 3*time.Second)                // lease length of the known deployments
	setDefault(&c.RetryWindow, 10*time.Second)              // window of the known deployments
	c.Voters = max(1, c.Voters)
	return c
}

func setDefault(d *time.Duration, value time.Duration) {
	if *d <= 0 {
		*d = value
	}
}

// runsControlHost reports whether the process runs a control host. An entry host or a call host takes the calls of operators and
// endpoints without one.
func (c Config) runsControlHost() bool { return c.Control != "" && c.Folder != "" }

// followsControlHosts reports whether the process follows the control hosts of others, as entry hosts and call hosts do.
func (c Config) followsControlHosts() bool { return c.Callers != "" || !c.runsControlHost() }

// Check returns an error if the settings are invalid.
func (c Config) Check() error {
	if c.Callers == "" && c.Control == "" {
		return errors.New("neither callers nor operators are served")
	}
	if c.Directory != "" && !c.runsControlHost() {
		return errors.New("only a control host, which has a data folder, serves the directory")
	}
	for name, l := range map[string]Listen{"links": c.Links, "callers": c.Callers, "ready": c.Ready, "control": c.Control, "directory": c.Directory} {
		if l == "" {
			continue
		}
		if _, err := netip.ParseAddrPort(string(l)); err != nil {
			return fmt.Errorf("address for %s: %w", name, err)
		}
	}
	return nil
}
