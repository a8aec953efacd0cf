// Package vlink links hosts in one process without sockets, so that they can run in virtual time. Links can be cut, and
// messages can be lost.
package vlink

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"shallotgap/core/ident"
	"shallotgap/io/link"
	"shallotgap/io/logs"
)

// Config holds the settings of a network.
type Config struct {
	Seed uint64
	// Loss is the probability that a message is dropped, as by a full queue.
	Loss float64
	// EncodeRate is how many bytes of messages a control host encodes in a second, in the goroutine that sends; 0 for no limit.
	// Messages of the log carry bytes that are encoded already and take no time. Calls take none either: hosts send them while they
	// hold a mutex, and synctest does not advance the time while a goroutine waits for a mutex.
	EncodeRate float64
	// EntryRate is how many bytes the links of one entry host carry in a second, in each direction; 0 for no limit.
	EntryRate float64
}

// Network links all hosts that were opened on it.
type Network struct {
	Config
	mu    sync.Mutex
	rand  *rand.Rand
	ports map[ident.HostID]*port
	cuts  map[[2]ident.HostID]bool
	// muted are the directions in which messages are lost on links that stay open, each from one host to another.
	muted map[[2]ident.HostID]bool
}

// New returns a network without hosts.
func New(c Config) *Network {
	return &Network{Config: c, rand: rand.New(rand.NewPCG(c.Seed, 1)), ports: map[ident.HostID]*port{}, cuts: map[[2]ident.HostID]bool{}, muted: map[[2]ident.HostID]bool{}}
}

// Open returns the network of one host; it is a link.Opener. A host that was opened under the same id before must have ended.
func (n *Network) Open(_ logs.Common, c link.Config) link.Network {
	c.Self.Packed = true
	return &port{Config: c, network: n, targets: map[ident.HostID]bool{}, pipes: map[ident.HostID]*pipe{}, lastRead: map[ident.HostID]chan struct{}{}}
}

// Cut breaks the link of two hosts until Heal is called.
func (n *Network) Cut(a, b ident.HostID) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cuts[pairOf(a, b)] = true
	n.breakLink(a, b)
}

// Mute loses all messages from one host to another until Heal is called; the link stays open, and the other direction goes on.
func (n *Network) Mute(from, to ident.HostID) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.muted[[2]ident.HostID{from, to}] = true
}

// LinkedTo returns the hosts to which a host is linked, in order.
func (n *Network) LinkedTo(h ident.HostID) []ident.HostID {
	n.mu.Lock()
	defer n.mu.Unlock()
	if p := n.ports[h]; p != nil {
		return slices.Sorted(maps.Keys(p.pipes))
	}
	return nil
}

// Heal lets all hosts link to each other again.
func (n *Network) Heal() {
	n.mu.Lock()
	defer n.mu.Unlock()
	clear(n.cuts)
	clear(n.muted)
	n.connect()
}

// SetLoss changes the probability that a message is dropped.
func (n *Network) SetLoss(probability float64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.Loss = probability
}

func pairOf(a, b ident.HostID) [2]ident.HostID { return [2]ident.HostID{min(a, b), max(a, b)} }

// port is the network of one host.
type port struct {
	link.Config
	network *Network
	targets map[ident.HostID]bool
	pipes   map[ident.HostID]*pipe // outgoing messages, by the receiving host
	// sentAt and receivedAt are when the host's links will have carried the messages that were queued so far.
	sentAt, receivedAt time.Time
	// lastRead is closed once the reader of the latest link with a host has ended.
	lastRead map[ident.HostID]chan struct{}
	readers  sync.WaitGroup
}

// pipe carries the messages of one direction of a link.
type pipe struct {
	queue  chan queued
	broken chan struct{}
}

// queued is an encoded message, and the time at which the links of its sender have carried it.
type queued struct {
	data   []byte
	sentAt time.Time
}

// queuedMessages is the capacity of a pipe; further messages are dropped.
const queuedMessages = 8192

// Run links the host until the context ends.
func (p *port) Run(ctx context.Context) error {
	n := p.network
	n.mu.Lock()
	n.ports[p.Self.Host] = p
	n.connect()
	n.mu.Unlock()
	<-ctx.Done()
	n.mu.Lock()
	for peer := range p.pipes {
		n.breakLink(p.Self.Host, peer)
	}
	delete(n.ports, p.Self.Host)
	n.mu.Unlock()
	p.readers.Wait()
	return nil
}

// Target adds a host to link to.
func (p *port) Target(h ident.HostID) {
	p.network.mu.Lock()
	defer p.network.mu.Unlock()
	if !p.targets[h] {
		p.targets[h] = true
		p.network.connect()
	}
}

// Send queues a message for a host.
func (p *port) Send(to ident.HostID, m link.Message) bool { return p.SendEncoded(to, p.encode(m)) }

// SendEncoded queues an encoded message for a host.
func (p *port) SendEncoded(to ident.HostID, m link.Encoded) bool {
	p.network.mu.Lock()
	defer p.network.mu.Unlock()
	return p.send(to, m)
}

// SendAll queues a message for each linked host for which match returns true.
func (p *port) SendAll(m link.Message, match func(link.Hello) bool) {
	data := p.encode(m)
	p.network.mu.Lock()
	defer p.network.mu.Unlock()
	for to := range p.pipes {
		if match(p.network.ports[to].Self) {
			p.send(to, data)
		}
	}
}

// encode encodes a message as a real link does, and lets the time pass that this takes.
func (p *port) encode(m link.Message) link.Encoded {
	data, err := link.Encode(m)
	if err != nil {
		panic(err)
	}
	if rate := p.network.EncodeRate; rate > 0 && p.Self.Control && m.Quorum == nil && m.Call == nil && m.EndpointCall == nil {
		<-time.After(transfer(len(data.For(link.Hello{})), rate))
	}
	return data
}

// transfer returns how long a number of bytes takes at a rate in bytes per second.
func transfer(bytes int, rate float64) time.Duration {
	return time.Duration(float64(bytes) / rate * float64(time.Second))
}

// send queues an encoded message. The network's mu must be held.
func (p *port) send(to ident.HostID, m link.Encoded) bool {
	c := p.pipes[to]
	if c == nil {
		return false
	}
	data := m.For(p.network.ports[to].Self)
	if p.network.rand.Float64() < p.network.Loss || p.network.muted[[2]ident.HostID{p.Self.Host, to}] {
		return true
	}
	q := queued{data: data, sentAt: p.carry(&p.sentAt, len(data))}
	select {
	case c.queue <- q:
		return true
	default:
		return false
	}
}

// carry adds a message to those that the host's links carry in one direction, and returns when that is done. The network's mu must
// be held.
func (p *port) carry(busyUntil *time.Time, bytes int) time.Time {
	now := time.Now()
	if p.Self.Control || p.network.EntryRate == 0 {
		return now
	}
	if busyUntil.Before(now) {
		*busyUntil = now
	}
	*busyUntil = busyUntil.Add(transfer(bytes, p.network.EntryRate))
	return *busyUntil
}

// connect links each running host with its targets, unless the link is cut or open. n.mu must be held.
func (n *Network) connect() {
	for _, p := range n.ports {
		for h := range p.targets {
			if other := n.find(h); other != nil && other != p && p.pipes[other.Self.Host] == nil && !n.cuts[pairOf(p.Self.Host, other.Self.Host)] {
				p.open(other)
				other.open(p)
			}
		}
	}
}

// find returns the running host with an id or link address, or nil.
func (n *Network) find(h ident.HostID) *port {
	if p := n.ports[h]; p != nil {
		return p
	}
	for _, p := range n.ports {
		if p.Self.Host == h || p.Self.Address == h {
			return p
		}
	}
	return nil
}

// open opens the direction of a link from p to another host, which begins with the initial messages of p. The reader at the
// other host starts once that of the link before has ended, so that the handler sees the links in order.
func (p *port) open(to *port) {
	c := &pipe{queue: make(chan queued, queuedMessages), broken: make(chan struct{})}
	p.pipes[to.Self.Host] = c
	former, ended := to.lastRead[p.Self.Host], make(chan struct{})
	to.lastRead[p.Self.Host] = ended
	to.readers.Go(func() {
		defer close(ended)
		if former != nil {
			<-former
		}
		to.read(p, c)
	})
}

// read passes the messages of another host to the handler until the link breaks.
func (p *port) read(from *port, c *pipe) {
	p.Handler.LinkUp(from.Self)
	defer p.Handler.LinkDown(from.Self)
	if from.InitialMessages != nil {
		for _, m := range from.InitialMessages() {
			p.Handler.Receive(from.Self, m)
		}
	}
	for {
		select {
		case <-c.broken:
			return
		case q := <-c.queue:
			if !p.await(q, c) {
				return
			}
			m, err := link.Decode(q.data)
			if err != nil {
				panic(err)
			}
			p.Handler.Receive(from.Self, m)
		}
	}
}

// await waits until a message has arrived, and reports false if the link breaks first.
func (p *port) await(q queued, c *pipe) bool {
	p.network.mu.Lock()
	arrival := p.carry(&p.receivedAt, len(q.data))
	p.network.mu.Unlock()
	if q.sentAt.After(arrival) {
		arrival = q.sentAt
	}
	wait := time.Until(arrival)
	if wait <= 0 {
		return true
	}
	select {
	case <-c.broken:
		return false
	case <-time.After(wait):
		return true
	}
}

// breakLink breaks both directions of a link. n.mu must be held.
func (n *Network) breakLink(a, b ident.HostID) {
	for _, ends := range [][2]ident.HostID{{a, b}, {b, a}} {
		p := n.ports[ends[0]]
		if p == nil || p.pipes[ends[1]] == nil {
			continue
		}
		close(p.pipes[ends[1]].broken)
		delete(p.pipes, ends[1])
	}
}
