package link_test

import (
	"bytes"
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"shallotgap/core/ident"
	"shallotgap/io/clock"
	"shallotgap/io/link"
	"shallotgap/io/logs"
)

// slowNetwork connects meshes in the bubble by connections that carry rate bytes per second in each direction.
type slowNetwork struct {
	rate    float64
	conns   chan net.Conn
	closed  chan struct{} // closed with the listener
	mu      sync.Mutex
	stalled bool
}

func newSlowNetwork() *slowNetwork {
	return &slowNetwork{rate: 10e6 / 8, conns: make(chan net.Conn), closed: make(chan struct{})} // the rate of the link of an entry host
}

// chunk is the number of bytes that a connection carries at once.
const chunk = 16 << 10

func (n *slowNetwork) dial(ctx context.Context, _, _ string) (net.Conn, error) {
	near, far := net.Pipe()
	select {
	case n.conns <- &slowConn{Conn: far, network: n, closed: make(chan struct{})}:
		return &slowConn{Conn: near, network: n, closed: make(chan struct{})}, nil
	case <-n.closed:
		return nil, syscall.ECONNREFUSED
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (n *slowNetwork) Accept() (net.Conn, error) {
	select {
	case c := <-n.conns:
		return c, nil
	case <-n.closed:
		return nil, net.ErrClosed
	}
}

func (n *slowNetwork) Close() error { close(n.closed); return nil }

func (n *slowNetwork) Addr() net.Addr { return &net.TCPAddr{} }

func (n *slowNetwork) stall() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.stalled = true
}

type slowConn struct {
	net.Conn
	network *slowNetwork
	once    sync.Once
	closed  chan struct{}
}

// Close aborts a pending Write: the WebSocket holds a lock while it waits for the Write, and virtual time does not advance meanwhile.
func (c *slowConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

func (c *slowConn) Write(b []byte) (int, error) {
	written := 0
	for written < len(b) {
		next := b[written:min(len(b), written+chunk)]
		select {
		case <-c.closed:
			return written, net.ErrClosed
		case <-time.After(time.Duration(float64(len(next)) / c.network.rate * float64(time.Second))):
		}
		c.network.mu.Lock()
		stalled := c.network.stalled
		c.network.mu.Unlock()
		if stalled {
			written += len(next) // as a kernel does that takes bytes for a peer which is gone
			continue
		}
		n, err := c.Conn.Write(next)
		written += n
		if err != nil {
			return written, err
		}
	}
	return written, nil
}

// useVirtualClock lets decisions follow the time of the bubble.
func useVirtualClock(t *testing.T) {
	begin := time.Now()
	t.Cleanup(clock.Replace(func() ident.Time { return ident.Time(time.Hour).Add(time.Since(begin)) }))
}

// startSlow starts a mesh on a slow network in the bubble.
func startSlow(t *testing.T, n *slowNetwork, name ident.HostID, accepts bool) *member {
	t.Helper()
	common, err := logs.New(t.Output(), string(name), "error")
	assert.NilError(t, err)
	m := &member{}
	c := link.Config{Self: link.Hello{Host: name, Domain: "d", Control: accepts}, Handler: m, Dial: n.dial}
	if accepts {
		c.Listener = n
	}
	m.Mesh = link.New(common, c)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		assert.Check(t, m.Run(ctx) == nil)
	}()
	m.stop = func() { cancel(); <-done }
	return m
}

// A message that took longer than the timeouts of a link broke the link, which then carried the same message again, for good.
func TestLargeMessageArrivesOverSlowLink(t *testing.T) {
	source := make([]byte, 5<<20)
	r := rand.NewChaCha8([32]byte{1})
	_, _ = r.Read(source) // bytes that no compression shortens
	for name, fromControl := range map[string]bool{"to an entry host": true, "from an entry host": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				useVirtualClock(t)
				n := newSlowNetwork()
				control := startSlow(t, n, "c1", true)
				entry := startSlow(t, n, "e1", false)
				defer entry.stop()
				defer control.stop()
				entry.Target("c1")
				<-time.After(time.Second)
				from, to, receiver := entry, control, ident.HostID("c1")
				if fromControl {
					from, to, receiver = control, entry, "e1"
				}
				assert.Assert(t, from.Send(receiver, link.Message{Answer: &link.Answer{ID: 1, Source: source}}))
				<-time.After(2 * time.Duration(float64(len(source))/n.rate*float64(time.Second)))
				to.read(func() {
					assert.Equal(t, to.downs, 0)
					assert.Equal(t, len(to.messages), 1)
					assert.Assert(t, bytes.Equal(to.messages[0].Answer.Source, source))
				})
			})
		})
	}
}

// A link that carries nothing any more must break soon, also in the middle of a message.
func TestStalledLinkBreaks(t *testing.T) {
	for name, size := range map[string]int{"between messages": 0, "in a message": 5 << 20} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				useVirtualClock(t)
				n := newSlowNetwork()
				control := startSlow(t, n, "c1", true)
				entry := startSlow(t, n, "e1", false)
				defer entry.stop()
				defer control.stop()
				entry.Target("c1")
				<-time.After(time.Second)
				if size > 0 {
					assert.Assert(t, control.Send("e1", link.Message{Answer: &link.Answer{ID: 1, Source: make([]byte, size)}}))
					<-time.After(100 * time.Millisecond)
				}
				n.stall()
				<-time.After(2 * link.SilenceTimeout)
				entry.read(func() { assert.Equal(t, entry.downs, 1) })
				control.read(func() { assert.Equal(t, control.downs, 1) })
			})
		})
	}
}

// A host that was replaced for good was dialled ten times a second until the process ended. One that returns must be linked soon.
func TestHostThatIsGoneIsDialledSeldom(t *testing.T) {
	cases := map[string]struct {
		down      time.Duration
		mostDials int
		mostDelay time.Duration // from the return of the host to the link
	}{
		// A dial each 0.1 s, with one at each end of the outage.
		"a short outage": {down: 20 * time.Second, mostDials: 201, mostDelay: 2 * link.PingInterval},
		"gone for long":  {down: 10 * time.Minute, mostDials: 900, mostDelay: 3 * time.Second},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				useVirtualClock(t)
				n := newSlowNetwork()
				common, err := logs.New(t.Output(), "e1", "error")
				assert.NilError(t, err)
				begin, dials := time.Now(), &atomic.Int32{}
				entry := &member{}
				entry.Mesh = link.New(common, link.Config{Self: link.Hello{Host: "e1"}, Handler: entry, Dial: func(ctx context.Context, network, address string) (net.Conn, error) {
					dials.Add(1)
					if time.Since(begin) < c.down {
						return nil, syscall.ECONNREFUSED
					}
					return n.dial(ctx, network, address)
				}})
				ctx, cancel := context.WithCancel(t.Context())
				ended := make(chan struct{})
				go func() { defer close(ended); assert.Check(t, entry.Run(ctx) == nil) }()
				entry.Target("c1")
				<-time.After(c.down)
				assert.Assert(t, int(dials.Load()) <= c.mostDials, "%d dials in %v", dials.Load(), c.down)
				control := startSlow(t, n, "c1", true)
				<-time.After(c.mostDelay)
				entry.read(func() { assert.Equal(t, entry.ups, 1) })
				cancel()
				<-ended
				control.stop()
			})
		})
	}
}
