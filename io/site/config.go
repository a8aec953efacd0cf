// Package site assembles one host of a deployment whose hosts find each other: a control host, an entry host, or both
// in one process.
package site

import (
	"errors"
	"fmt"
	"net/netip"
	"time"

	"shallotgap/core/ident"
)

// Listen is an address to listen on; empty for none.
type Listen string

// Config are the checked settings of one host.
type Config struct {
	// File is where the settings were read from.
	File   string
	Name   string
	Domain ident.DomainID
	// Seeds are the link addresses of control hosts to begin with.
	Seeds []ident.HostID
	// Bootstrap is true at the first start of the whole deployment, with empty disks.
	Bootstrap bool
	// Folder is the data folder of a control host.
	Folder string
	// Voters is the number of control hosts that should vote.
	Voters int
	// Links is where control hosts take links, and names them.
	Links Listen
	// BindLinks is where they listen for them, if that differs, as behind a forwarded address.
	BindLinks Listen
	// Callers and Ready are set for an entry host, Control and Directory for a control host.
	Callers, Ready, Control, Directory Listen
	// Metrics is the address of the metrics; empty for none.
	Metrics     Listen
	MemoryBytes int64
	// Grace is how long the process may take to end after it was told to.
	Grace time.Duration
	// HeartbeatInterval is how often endpoints announce themselves.
	HeartbeatInterval time.Duration
	// OrderPause is the time in which orders of two hosts to one engine must not alternate.
	OrderPause time.Duration
	// RetryRatio, RetryExtra and RetryWindow bound the repeated sends of all hosts to one service.
	RetryRatio  float64
	RetryExtra  int
	RetryWindow time.Duration
	// MaxAddressLife bounds how long callers keep the addresses that they are given; 0 for no bound.
	MaxAddressLife time.Duration
}

// WithDefaults fills in what the settings leave out.
func (c Config) WithDefaults() Config {
	fill(&c.Grace, 8*time.Second)                     // the shortest of the deployments known
	fill(&c.HeartbeatInterval, 1200*time.Millisecond) // interval of the deployments known
	fill(&c.OrderPause, 3*time.Second)                // lease of the deployments known
	fill(&c.RetryWindow, 10*time.Second)              // window of the deployments known
	c.Voters = max(1, c.Voters)
	return c
}

func fill(d *time.Duration, value time.Duration) {
	if *d <= 0 {
		*d = value
	}
}

// Check returns what is wrong with the settings.
func (c Config) Check() error {
	if c.Callers == "" && c.Control == "" {
		return errors.New("neither callers nor operators are served")
	}
	if c.Control != "" && c.Folder == "" {
		return errors.New("a control host needs a data folder")
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
