package fleet

import (
	"context"
	"fmt"
	"net"
	"time"

	"shallotgap/core/ident"
	"shallotgap/io/peer"
)

// Cut breaks the link by which from sends to to, and keeps it broken until Heal.
func (f *Fleet) Cut(from, to ident.HostID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	w := way{from, to}
	f.cuts[w] = true
	for c := range f.conns[w] {
		_ = c.Close()
	}
	delete(f.conns, w)
}

// Isolate cuts a host off from all others, both ways.
func (f *Fleet) Isolate(h ident.HostID) {
	for _, other := range f.Hosts {
		if other.Name != h {
			f.Cut(h, other.Name)
			f.Cut(other.Name, h)
		}
	}
}

// Heal mends all links.
func (f *Fleet) Heal() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cuts = map[way]bool{}
}

func (f *Fleet) delayOf(w way) time.Duration {
	domains := map[ident.HostID]ident.DomainID{}
	for _, h := range f.Hosts {
		domains[h.Name] = h.Domain
	}
	if domains[w.from] == domains[w.to] {
		return 0
	}
	return f.Delay
}

func (f *Fleet) dialFrom(from ident.HostID) peer.DialFunc {
	return func(ctx context.Context, to ident.HostID, address string) (net.Conn, error) {
		var d net.Dialer
		conn, err := d.DialContext(ctx, "tcp", address)
		if err != nil {
			return nil, err
		}
		f.mu.Lock()
		defer f.mu.Unlock()
		w := way{from, to}
		if f.cuts[w] {
			_ = conn.Close()
			return nil, fmt.Errorf("the link from %s to %s is cut", from, to)
		}
		if f.conns[w] == nil {
			f.conns[w] = map[net.Conn]bool{}
		}
		f.conns[w][conn] = true
		if f.Delay > 0 || f.Sent != nil {
			return newSlowConn(conn, f.delayOf(w), f.Sent), nil
		}
		return conn, nil
	}
}
