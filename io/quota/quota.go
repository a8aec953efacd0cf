// Package quota bounds the memory that answers under way take together. An endpoint may send bytes without end; each answer has a limit of its
// own, but many of them at once would take all memory of the host.
package quota

import (
	"errors"
	"sync"
)

// Bytes is a size of memory in bytes.
type Bytes int64

// ErrEvicted is the error of an answer that was broken off for want of memory.
var ErrEvicted = errors.New("the answer was broken off, as all answers together took too much memory")

// Config holds the settings of a Pool.
type Config struct {
	// Limit is the memory for all leases; 0 for no limit.
	Limit Bytes
	// OnEvict is called with the size of each lease that is evicted; nil for none.
	OnEvict func(Bytes)
}

// Pool shares memory among leases. When there is not enough, it evicts the largest lease: the small answers of sound endpoints stay.
type Pool struct {
	Config
	mu     sync.Mutex
	used   Bytes
	leases map[*Lease]struct{} // those that hold memory
}

// New returns a pool without leases.
func New(c Config) *Pool { return &Pool{Config: c, leases: map[*Lease]struct{}{}} }

// Open returns a lease that holds nothing. evict is called once, without a lock, when the lease is evicted; it must make the holder give up
// soon. The lease must be closed. A nil pool returns nil, which holds without a limit.
func (p *Pool) Open(evict func()) *Lease {
	if p == nil || p.Limit <= 0 {
		return nil
	}
	return &Lease{pool: p, evict: evict}
}

// Used returns the memory that all leases hold.
func (p *Pool) Used() Bytes {
	if p == nil {
		return 0
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.used
}

// Lease is the memory of one answer.
type Lease struct {
	pool    *Pool
	evict   func()
	size    Bytes
	evicted bool
}

// Hold changes the memory of the lease to n. It fails if the lease is evicted, by then or for this.
func (l *Lease) Hold(n Bytes) error {
	if l == nil {
		return nil
	}
	evicted := l.pool.hold(l, n)
	for _, v := range evicted {
		if l.pool.OnEvict != nil {
			l.pool.OnEvict(v.size)
		}
		v.lease.evict()
	}
	if l.Evicted() {
		return ErrEvicted
	}
	return nil
}

// eviction is a lease that was evicted, with its size at that time.
type eviction struct {
	lease *Lease
	size  Bytes
}

// hold changes the memory of a lease and returns the leases that were evicted for it.
func (p *Pool) hold(l *Lease, n Bytes) []eviction {
	p.mu.Lock()
	defer p.mu.Unlock()
	if l.evicted {
		return nil
	}
	p.used += n - l.size
	l.size = n
	p.leases[l] = struct{}{}
	var evicted []eviction
	for p.used > p.Limit {
		v := p.largest()
		v.evicted = true
		p.used -= v.size
		delete(p.leases, v)
		evicted = append(evicted, eviction{lease: v, size: v.size})
	}
	return evicted
}

// largest returns the largest lease. p.mu must be held.
func (p *Pool) largest() *Lease {
	var found *Lease
	for l := range p.leases {
		if found == nil || l.size > found.size {
			found = l
		}
	}
	return found
}

// Evicted reports whether the lease was evicted.
func (l *Lease) Evicted() bool {
	if l == nil {
		return false
	}
	l.pool.mu.Lock()
	defer l.pool.mu.Unlock()
	return l.evicted
}

// Close gives the memory back. Closing it again has no effect.
func (l *Lease) Close() {
	if l == nil {
		return
	}
	l.pool.mu.Lock()
	defer l.pool.mu.Unlock()
	if _, held := l.pool.leases[l]; held {
		delete(l.pool.leases, l)
		l.pool.used -= l.size
	}
	l.size = 0
}
