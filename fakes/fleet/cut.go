package fleet

import (
	"context"
	"fmt"
	"net"
	"time"

	"shallotgap/core/ident"
	"shallotgap/io/peer"
)

// Cut closes the connections that host from has opened to host to, and makes new connections fail until Heal. Connections
// that host to has opened to host from are not affected.
func (f *Fleet) Cut(from, to ident.HostID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	link := linkDirection{from, to}
	f.cuts[link] = true
	for c := range f.conns[link] {
		_ = c.Close()
	}
	delete(f.conns, link)
}

// Isolate cuts the links between a host and all other hosts in both directions.
func (f *Fleet) Isolate(h ident.HostID) {
	for _, other := range f.Hosts {
		if other.Name != h {
			f.Cut(h, other.Name)
			f.Cut(other.Name, h)
		}
	}
}

// Heal lets hosts connect again on all links that were cut.
func (f *Fleet) Heal() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cuts = map[linkDirection]bool{}
}

// linkDelay returns the one-way delay of a link: Delay between failure domains, 0 within a domain.
func (f *Fleet) linkDelay(link linkDirection) time.Duration {
	domains := map[ident.HostID]ident.DomainID{}
	for _, h := range f.Hosts {
		domains[h.Name] = h.Domain
	}
	if domains[link.from] == domains[link.to] {
		return 0
	}
	return f.Delay
}

// dialFrom returns the function with which a host connects to its peers. Cut can close its connections; their writes are
// delayed and counted as configured.
func (f *Fleet) dialFrom(from ident.HostID) peer.DialFunc {
	return func(ctx context.Context, to ident.HostID, address string) (net.Conn, error) {
		var d net.Dialer
		conn, err := d.DialContext(ctx, "tcp", address)
		if err != nil {
			return nil, err
		}
		f.mu.Lock()
		defer f.mu.Unlock()
		link := linkDirection{from, to}
		if f.cuts[link] {
			_ = conn.Close()
			return nil, fmt.Errorf("the link from %s to %s is cut", from, to)
		}
		if f.conns[link] == nil {
			f.conns[link] = map[net.Conn]bool{}
		}
		f.conns[link][conn] = true
		if f.Delay > 0 || f.Sent != nil {
			return newDelayedConn(conn, f.linkDelay(link), f.Sent), nil
		}
		return conn, nil
	}
}
