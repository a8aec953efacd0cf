package link

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/coder/websocket"

	"shallotgap/core/ident"
	"shallotgap/io/clock"
	"shallotgap/io/logs"
)

// Handler receives messages and link changes. Its methods are called concurrently, from a goroutine of each connection.
type Handler interface {
	Receive(from Hello, m Message)
	// LinkUp is called for each new connection with a peer.
	LinkUp(peer Hello)
	// LinkDown is called when the last connection with a peer was lost.
	LinkDown(peer Hello)
}

// RelayPath is the path at a host's address for links at which it takes requests of other hosts for endpoints.
const RelayPath = "/relay"

// Config holds the settings of a mesh.
type Config struct {
	Self    Hello
	Handler Handler
	// Listener accepts links; nil for a host that only dials.
	Listener net.Listener
	// Dial opens connections to other hosts; nil for TCP.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// Relay handles requests of other hosts for endpoints, at RelayPath; nil for a host that relays none.
	Relay http.Handler
	// InitialMessages returns the messages to send on a new connection, after the Hello.
	InitialMessages func() []Message
}

// Mesh holds the links of this host to other hosts.
type Mesh struct {
	logs.Common
	Config

	mu sync.Mutex
	// links holds the open connections with each host, the newest last. There may be two when both sides dial at once.
	links      map[ident.HostID][]*conn
	targets    map[ident.HostID]context.CancelFunc // functions that stop the dialling of a host; nil before Run
	ctx        context.Context
	stopped    bool // no goroutine is started any more
	goroutines sync.WaitGroup
}

// New returns a mesh without links; Run opens them.
func New(common logs.Common, c Config) *Mesh {
	if c.Dial == nil {
		c.Dial = dialTCP
	}
	c.Self.Packed = true
	return &Mesh{Common: common, Config: c, links: map[ident.HostID][]*conn{}, targets: map[ident.HostID]context.CancelFunc{}}
}

// Run accepts links and keeps the links to the target hosts open until the context ends.
func (m *Mesh) Run(ctx context.Context) error {
	m.mu.Lock()
	m.ctx = ctx
	early := m.targets // targets added before Run
	m.targets = map[ident.HostID]context.CancelFunc{}
	m.mu.Unlock()
	for h := range early {
		m.Target(h)
	}
	defer m.stop()
	if m.Listener == nil {
		<-ctx.Done()
		return nil
	}
	server := &http.Server{Handler: http.HandlerFunc(m.accept), ReadHeaderTimeout: dialTimeout, ConnContext: withAccepted, BaseContext: func(net.Listener) context.Context { return ctx }}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if err := server.Serve(progressListener{m.Listener}); err != nil && ctx.Err() == nil {
		return fmt.Errorf("serve links: %w", err)
	}
	return nil
}

// stop waits for the goroutines of the mesh.
func (m *Mesh) stop() {
	m.mu.Lock()
	m.stopped = true
	m.mu.Unlock()
	m.goroutines.Wait()
}

// start runs functions in goroutines of their own. It reports false if the mesh has stopped.
func (m *Mesh) start(list ...func()) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.stopped {
		return false
	}
	for _, f := range list {
		m.goroutines.Go(f)
	}
	return true
}

// Target adds a host to the hosts that the mesh dials, and redials whenever the link is lost.
func (m *Mesh) Target(h ident.HostID) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if _, known := m.targets[h]; known || m.stopped || h == m.Self.Host || h == m.Self.Address {
		return
	}
	if m.ctx == nil {
		m.targets[h] = nil
		return
	}
	ctx, cancel := context.WithCancel(m.ctx)
	m.targets[h] = cancel
	m.goroutines.Go(func() { m.keepDialing(ctx, h) })
}

// Send queues a message for a host and reports false if there is no link or its queue is full.
func (m *Mesh) Send(to ident.HostID, msg Message) bool {
	if m.newestConn(to) == nil {
		return false
	}
	data, ok := m.encode(msg)
	return ok && m.SendEncoded(to, data)
}

// SendEncoded queues an encoded message for a host and reports false if there is no link or its queue is full.
func (m *Mesh) SendEncoded(to ident.HostID, msg Encoded) bool {
	c := m.newestConn(to)
	return c != nil && c.enqueue(msg.For(c.peer))
}

// encode encodes a message and logs a failure.
func (m *Mesh) encode(msg Message) (Encoded, bool) {
	data, err := Encode(msg)
	if err != nil {
		m.Log.WithField("step", "send").WithError(err).Error("bad-message")
		return Encoded{}, false
	}
	return data, true
}

// SendAll encodes a message once and queues it for each linked host for which match returns true.
func (m *Mesh) SendAll(msg Message, match func(Hello) bool) {
	data, ok := m.encode(msg)
	if !ok {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, list := range m.links {
		if c := list[len(list)-1]; match(c.peer) {
			c.enqueue(data.For(c.peer))
		}
	}
}

// Linked returns the hosts with an open link.
func (m *Mesh) Linked() []Hello {
	m.mu.Lock()
	defer m.mu.Unlock()
	list := make([]Hello, 0, len(m.links))
	for _, conns := range m.links {
		list = append(list, conns[len(conns)-1].peer)
	}
	return list
}

// keepDialing dials a host, and redials it after each failure or loss of the link. It logs only the first of several failures.
func (m *Mesh) keepDialing(ctx context.Context, h ident.HostID) {
	failed := false
	downSince := clock.Boot()
	for ctx.Err() == nil {
		linked, err := m.dial(ctx, h)
		if ctx.Err() != nil {
			return
		}
		if linked {
			downSince = clock.Boot()
		}
		if !failed {
			m.Log.WithField("step", "link").WithField("peer", h).WithError(err).Warn("link-lost")
		}
		failed = true
		select {
		case <-ctx.Done():
		case <-time.After(redialDelayAfter(clock.Boot().Sub(downSince))):
		}
		if m.newestConn(h) != nil {
			// The peer has dialled this host meanwhile; its connection serves both directions.
			failed = false
			m.awaitLinkDown(ctx, h)
			downSince = clock.Boot()
		}
	}
}

// redialDelayAfter returns the pause between two dials of a host that has been down for some time.
func redialDelayAfter(down time.Duration) time.Duration {
	if down < longDown {
		return redialDelay
	}
	return longDownRedialDelay
}

// newestConn returns the newest connection with a host, or nil.
func (m *Mesh) newestConn(h ident.HostID) *conn {
	m.mu.Lock()
	defer m.mu.Unlock()
	list := m.links[h]
	if len(list) == 0 {
		return nil
	}
	return list[len(list)-1]
}

// awaitLinkDown blocks until no connection with a host is left. A closed connection counts until its reader has removed it.
func (m *Mesh) awaitLinkDown(ctx context.Context, h ident.HostID) {
	for c := m.newestConn(h); c != nil; c = m.newestConn(h) {
		select {
		case <-ctx.Done():
			return
		case <-c.removed:
		}
	}
}

// dial opens a connection to a host and serves it until it breaks, or waits for the loss of an existing link. It reports whether there
// was a connection.
func (m *Mesh) dial(ctx context.Context, h ident.HostID) (linked bool, err error) {
	if c := m.newestConn(h); c != nil {
		m.awaitLinkDown(ctx, h)
		return true, fmt.Errorf("link with %s ended", h)
	}
	dialCtx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	var opened *progressConn
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := m.Dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		opened = newProgressConn(c)
		return opened, nil
	}
	client := &http.Client{Transport: &http.Transport{DialContext: dial, DisableKeepAlives: true}}
	ws, _, err := websocket.Dial(dialCtx, "ws://"+string(h)+"/", &websocket.DialOptions{HTTPClient: client})
	if err != nil {
		return false, fmt.Errorf("dial %s: %w", h, err)
	}
	return true, m.serve(ctx, newConn(ws, opened))
}

// accept serves a connection that another host has dialled.
func (m *Mesh) accept(w http.ResponseWriter, r *http.Request) {
	if m.Relay != nil && r.URL.Path == RelayPath {
		m.Relay.ServeHTTP(w, r)
		return
	}
	accepted, ok := r.Context().Value(acceptedKey{}).(*progressConn)
	if !ok {
		m.Log.WithField("step", "accept").WithField("peer", r.RemoteAddr).Error("unknown-connection")
		return
	}
	ws, err := websocket.Accept(w, r, nil)
	if err != nil {
		m.Log.WithField("step", "accept").WithField("peer", r.RemoteAddr).WithError(err).Warn("bad-link")
		return
	}
	if err := m.serve(r.Context(), newConn(ws, accepted)); err != nil {
		m.Log.WithField("step", "link").WithField("peer", r.RemoteAddr).WithError(err).Debug("link-ended")
	}
}

// serve sends the Hello and the initial messages, then runs a connection until it breaks.
func (m *Mesh) serve(ctx context.Context, c *conn) error {
	defer c.close()
	c.ws.SetReadLimit(maxMessageBytes)
	first := []Message{{Hello: &m.Self}}
	if m.InitialMessages != nil {
		first = append(first, m.InitialMessages()...)
	}
	for _, msg := range first {
		if data, ok := m.encode(msg); ok {
			c.enqueue(data.plain) // the peer is not known yet
		}
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if !m.start(func() { c.write(ctx) }, func() { c.watch(ctx) }) {
		return errStopped
	}
	return c.read(ctx, m)
}

var errStopped = errors.New("the mesh has stopped")

// addConn registers a connection after the peer's Hello.
func (m *Mesh) addConn(c *conn) {
	m.mu.Lock()
	m.links[c.peer.Host] = append(m.links[c.peer.Host], c)
	m.mu.Unlock()
	m.Log.WithField("peer", c.peer.Host).WithField("domain", c.peer.Domain).Info("link-up")
	m.Handler.LinkUp(c.peer)
}

// removeConn drops a connection; the link is down when no other connection with the peer is left.
func (m *Mesh) removeConn(c *conn) {
	m.mu.Lock()
	remaining := slices.DeleteFunc(m.links[c.peer.Host], func(x *conn) bool { return x == c })
	if len(remaining) > 0 {
		m.links[c.peer.Host] = remaining
	} else {
		delete(m.links, c.peer.Host)
	}
	m.mu.Unlock()
	close(c.removed)
	if len(remaining) == 0 {
		m.Log.WithField("peer", c.peer.Host).Info("link-down")
		m.Handler.LinkDown(c.peer)
	}
}
