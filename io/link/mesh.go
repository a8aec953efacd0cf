package link

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/coder/websocket"

	"shallotgap/core/ident"
	"shallotgap/core/wire"
	"shallotgap/io/logs"
)

// Handler takes what arrives. Its methods are called from the links' goroutines.
type Handler interface {
	Receive(from Hello, m Message)
	LinkUp(peer Hello)
	LinkDown(peer Hello)
}

// Config is what a mesh is made from.
type Config struct {
	Self    Hello
	Handler Handler
	// Listener takes links; nil for a host that only dials.
	Listener net.Listener
	// InitialMessages returns the messages that a new link begins with.
	InitialMessages func() []Message
}

// Mesh is this host's links to other hosts.
type Mesh struct {
	logs.Common
	Config

	mu sync.Mutex
	// links are the live connections with each host, the newest last: both sides may dial at the same moment.
	links   map[ident.HostID][]*conn
	targets map[ident.HostID]context.CancelFunc
	ctx     context.Context
	running sync.WaitGroup
}

// New returns a mesh without links.
func New(common logs.Common, c Config) *Mesh {
	return &Mesh{Common: common, Config: c, links: map[ident.HostID][]*conn{}, targets: map[ident.HostID]context.CancelFunc{}}
}

// Run takes links and keeps those to the targets until the context ends.
func (m *Mesh) Run(ctx context.Context) error {
	m.mu.Lock()
	m.ctx = ctx
	waiting := m.targets
	m.targets = map[ident.HostID]context.CancelFunc{}
	m.mu.Unlock()
	for h := range waiting {
		m.Target(h)
	}
	defer m.running.Wait()
	if m.Listener == nil {
		<-ctx.Done()
		return nil
	}
	server := &http.Server{Handler: http.HandlerFunc(m.accept), ReadHeaderTimeout: dialTimeout, BaseContext: func(net.Listener) context.Context { return ctx }}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if err := server.Serve(m.Listener); err != nil && ctx.Err() == nil {
		return fmt.Errorf("serve links: %w", err)
	}
	return nil
}

// Target keeps a link to a control host from now on.
func (m *Mesh) Target(h ident.HostID) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if _, known := m.targets[h]; known || h == m.Self.Host {
		return
	}
	if m.ctx == nil {
		m.targets[h] = nil
		return
	}
	ctx, cancel := context.WithCancel(m.ctx)
	m.targets[h] = cancel
	m.running.Go(func() { m.keep(ctx, h) })
}

// Send queues a message for a host and reports whether there is a link that took it.
func (m *Mesh) Send(to ident.HostID, msg Message) bool {
	c := m.linkTo(to)
	if c == nil {
		return false
	}
	data, ok := m.encode(msg)
	return ok && c.queue(data)
}

// encode returns the form of a message on a link.
func (m *Mesh) encode(msg Message) ([]byte, bool) {
	data, err := wire.Marshal(msg)
	if err != nil {
		m.Log.WithField("step", "send").WithError(err).Error("bad-message")
		return nil, false
	}
	return data, true
}

// SendAll encodes a message once and queues it for every linked host for which choose returns true.
func (m *Mesh) SendAll(msg Message, choose func(Hello) bool) {
	data, ok := m.encode(msg)
	if !ok {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, list := range m.links {
		if c := list[len(list)-1]; choose(c.peer) {
			c.queue(data)
		}
	}
}

// Linked returns the hosts with a link.
func (m *Mesh) Linked() []Hello {
	m.mu.Lock()
	defer m.mu.Unlock()
	list := make([]Hello, 0, len(m.links))
	for _, conns := range m.links {
		list = append(list, conns[len(conns)-1].peer)
	}
	return list
}

// keep dials a host again and again.
func (m *Mesh) keep(ctx context.Context, h ident.HostID) {
	failed := false
	for ctx.Err() == nil {
		err := m.dial(ctx, h)
		if ctx.Err() != nil {
			return
		}
		if !failed {
			m.Log.WithField("step", "link").WithField("peer", h).WithError(err).Warn("link-lost")
		}
		failed = true
		select {
		case <-ctx.Done():
		case <-time.After(redialAfter):
		}
		if m.linkTo(h) != nil {
			// The other side dialled meanwhile; its link serves both.
			failed = false
			m.awaitLoss(ctx, h)
		}
	}
}

// linkTo returns the newest connection with a host, or nil.
func (m *Mesh) linkTo(h ident.HostID) *conn {
	m.mu.Lock()
	defer m.mu.Unlock()
	list := m.links[h]
	if len(list) == 0 {
		return nil
	}
	return list[len(list)-1]
}

// awaitLoss returns when no connection with a host is left. A closed one counts until its reader has noticed.
func (m *Mesh) awaitLoss(ctx context.Context, h ident.HostID) {
	for c := m.linkTo(h); c != nil; c = m.linkTo(h) {
		select {
		case <-ctx.Done():
			return
		case <-c.gone:
		}
	}
}

func (m *Mesh) dial(ctx context.Context, h ident.HostID) error {
	if c := m.linkTo(h); c != nil {
		m.awaitLoss(ctx, h)
		return fmt.Errorf("link with %s ended", h)
	}
	dialCtx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	client := &http.Client{Transport: &http.Transport{DialContext: dialTCP, DisableKeepAlives: true}}
	ws, _, err := websocket.Dial(dialCtx, "ws://"+string(h)+"/", &websocket.DialOptions{HTTPClient: client})
	if err != nil {
		return fmt.Errorf("dial %s: %w", h, err)
	}
	return m.serve(ctx, ws)
}

func (m *Mesh) accept(w http.ResponseWriter, r *http.Request) {
	ws, err := websocket.Accept(w, r, nil)
	if err != nil {
		m.Log.WithField("step", "accept").WithField("peer", r.RemoteAddr).WithError(err).Warn("bad-link")
		return
	}
	if err := m.serve(r.Context(), ws); err != nil {
		m.Log.WithField("step", "link").WithField("peer", r.RemoteAddr).WithError(err).Debug("link-ended")
	}
}

// serve runs one link until it breaks.
func (m *Mesh) serve(ctx context.Context, ws *websocket.Conn) error {
	c := newConn(ws)
	defer c.close()
	ws.SetReadLimit(maxMessage)
	first := []Message{{Hello: &m.Self}}
	if m.InitialMessages != nil {
		first = append(first, m.InitialMessages()...)
	}
	for _, msg := range first {
		if data, ok := m.encode(msg); ok {
			c.queue(data)
		}
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	m.running.Go(func() { c.write(ctx) })
	m.running.Go(func() { c.watch(ctx) })
	return c.read(ctx, m)
}

// up takes a connection whose other side has introduced itself.
func (m *Mesh) up(c *conn) {
	m.mu.Lock()
	m.links[c.peer.Host] = append(m.links[c.peer.Host], c)
	m.mu.Unlock()
	m.Log.WithField("peer", c.peer.Host).WithField("domain", c.peer.Domain).Info("link-up")
	m.Handler.LinkUp(c.peer)
}

// down forgets a connection; the link is lost with the last one.
func (m *Mesh) down(c *conn) {
	m.mu.Lock()
	left := slices.DeleteFunc(m.links[c.peer.Host], func(x *conn) bool { return x == c })
	if len(left) > 0 {
		m.links[c.peer.Host] = left
	} else {
		delete(m.links, c.peer.Host)
	}
	m.mu.Unlock()
	close(c.gone)
	if len(left) == 0 {
		m.Log.WithField("peer", c.peer.Host).Info("link-down")
		m.Handler.LinkDown(c.peer)
	}
}
