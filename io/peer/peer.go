// Package peer carries control messages and data frames between hosts, in batches that are encoded as CBOR and sent as
// one WebSocket message each.
//
// Each host dials all other hosts. It sends on the links that it dialled and receives on those that it accepted.
package peer

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/coder/websocket"
	"golang.org/x/sync/errgroup"

	"shallotgap/core/ident"
	"shallotgap/core/wire"
	"shallotgap/core/world"
	"shallotgap/io/conf"
	"shallotgap/io/logs"
	"shallotgap/io/relay"
	"shallotgap/io/token"
)

// Frame holds one control message or one data frame from host From. Exactly one of Control and Data is set.
type Frame struct {
	From    ident.HostID   `json:"from"`
	Control *world.Message `json:"control,omitempty"`
	Data    *relay.Frame   `json:"data,omitempty"`
}

// Limits on a link.
const (
	queueLength  = 4096      // frames that wait for a slow link
	maxMessage   = 300 << 20 // bytes of a received WebSocket message
	redialDelay  = 200 * time.Millisecond
	writeTimeout = 5 * time.Second
)

// Receiver handles received frames and changes of the links. The host loop implements it.
type Receiver interface {
	ReceiveControl(from ident.HostID, m world.Message)
	ReceiveData(from ident.HostID, f relay.Frame)
	// LinkUp reports that frames can be sent to a host.
	LinkUp(h ident.HostID)
	// LinkLost reports that frames to or from a host may have been lost.
	LinkLost(h ident.HostID)
}

// Config configures a network.
type Config struct {
	Self     ident.HostID
	Hosts    []conf.Host
	Listener net.Listener
	Receiver Receiver
	// Tokens authenticate the hosts to each other; nil accepts every peer.
	Tokens *token.List
	// Dial opens the connection to a host; nil dials over TCP. Tests use it to cut links.
	Dial DialFunc
}

// DialFunc opens a connection to the peer address of a host.
type DialFunc func(ctx context.Context, to ident.HostID, address string) (net.Conn, error)

// dialTCP is the default DialFunc.
func dialTCP(ctx context.Context, _ ident.HostID, address string) (net.Conn, error) {
	var d net.Dialer
	return d.DialContext(ctx, "tcp", address)
}

// Network holds this host's links to all other hosts.
type Network struct {
	logs.Common
	Config
	links map[ident.HostID]*link
	mu    sync.Mutex // guards link.up
}

// link is the sending side of the connection to one host.
type link struct {
	host  conf.Host
	queue chan Frame
	up    bool
}

// New returns a network; Run connects it.
func New(common logs.Common, c Config) *Network {
	if c.Dial == nil {
		c.Dial = dialTCP
	}
	n := &Network{Common: common, Config: c, links: map[ident.HostID]*link{}}
	for _, h := range c.Hosts {
		if h.Name != c.Self {
			n.links[h.Name] = &link{host: h, queue: make(chan Frame, queueLength)}
		}
	}
	return n
}

// Run accepts links from other hosts and keeps the links to them connected until ctx is cancelled.
func (n *Network) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	server := &http.Server{Handler: http.HandlerFunc(n.accept), ReadHeaderTimeout: writeTimeout, BaseContext: func(net.Listener) context.Context { return ctx }}
	group.Go(func() error {
		if err := server.Serve(n.Listener); err != nil && ctx.Err() == nil {
			return fmt.Errorf("serve peers: %w", err)
		}
		return nil
	})
	group.Go(func() error {
		<-ctx.Done()
		return server.Close()
	})
	for _, l := range n.links {
		group.Go(func() error { return n.keepConnected(ctx, l) })
	}
	return group.Wait()
}

// SendControl queues a control message. It drops the message when the link is down or its queue is full; the
// decision core of this host resends it after a timeout.
func (n *Network) SendControl(to ident.HostID, m world.Message) {
	if l := n.links[to]; l != nil && n.isUp(l) {
		select {
		case l.queue <- Frame{From: n.Self, Control: &m}:
		default:
		}
	}
}

// SendData queues a data frame. It returns false when the link is down or its queue is full.
func (n *Network) SendData(to ident.HostID, f relay.Frame) bool {
	l := n.links[to]
	if l == nil || !n.isUp(l) {
		return false
	}
	select {
	case l.queue <- Frame{From: n.Self, Data: &f}:
		return true
	default:
		return false
	}
}

func (n *Network) isUp(l *link) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return l.up
}

func (n *Network) setUp(l *link, up bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	l.up = up
}

// keepConnected connects to a host, and again after redialDelay each time the link is lost or the dial fails.
func (n *Network) keepConnected(ctx context.Context, l *link) error {
	for ctx.Err() == nil {
		err := n.connect(ctx, l)
		if ctx.Err() != nil {
			return nil
		}
		n.Log.WithField("step", "link").WithField("peer", l.host.Name).WithError(err).Debug("link-down")
		select {
		case <-ctx.Done():
		case <-time.After(redialDelay):
		}
	}
	return nil
}

// connect dials a host and sends queued frames until the link is lost. Frames left from an earlier connection are
// dropped.
func (n *Network) connect(ctx context.Context, l *link) error {
	dialCtx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	conn, _, err := websocket.Dial(dialCtx, "ws://"+l.host.Peer+"/", &websocket.DialOptions{HTTPClient: n.clientFor(l), HTTPHeader: n.Tokens.Header()})
	if err != nil {
		return fmt.Errorf("dial peer %s: %w", l.host.Name, err)
	}
	defer func() { _ = conn.CloseNow() }()
	dropQueued(l.queue)
	n.setUp(l, true)
	n.Log.WithField("peer", l.host.Name).Info("link-up")
	n.Receiver.LinkUp(l.host.Name)
	err = n.sendQueued(conn.CloseRead(ctx), conn, l)
	n.setUp(l, false)
	n.Receiver.LinkLost(l.host.Name)
	return err
}

// clientFor returns an HTTP client that opens a connection of its own to a host.
func (n *Network) clientFor(l *link) *http.Client {
	dial := func(ctx context.Context, _, address string) (net.Conn, error) {
		return n.Dial(ctx, l.host.Name, address)
	}
	return &http.Client{Transport: &http.Transport{DialContext: dial, DisableKeepAlives: true}}
}

// dropQueued empties a queue.
func dropQueued(queue chan Frame) {
	for {
		select {
		case <-queue:
		default:
			return
		}
	}
}

// sendQueued sends queued frames in batches until the connection breaks.
func (n *Network) sendQueued(ctx context.Context, conn *websocket.Conn, l *link) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case f := <-l.queue:
			if err := writeFrames(ctx, conn, collectBatch(f, l.queue)); err != nil {
				return fmt.Errorf("write to peer %s: %w", l.host.Name, err)
			}
		}
	}
}

// accept receives frames on a link that another host dialled.
func (n *Network) accept(w http.ResponseWriter, r *http.Request) {
	if _, ok := n.Tokens.Check(r); !ok {
		http.Error(w, "wrong token", http.StatusUnauthorized)
		return
	}
	conn, err := websocket.Accept(w, r, nil)
	if err != nil {
		return
	}
	defer func() { _ = conn.CloseNow() }()
	conn.SetReadLimit(maxMessage)
	var from ident.HostID
	for {
		_, data, err := conn.Read(r.Context())
		if err != nil {
			break
		}
		var batch []Frame
		if err := wire.Unmarshal(data, &batch); err != nil {
			n.Log.WithField("step", "receive").WithError(err).Warn("bad-frame")
			break
		}
		for _, f := range batch {
			from = f.From
			n.deliver(f)
		}
	}
	if from != "" && r.Context().Err() == nil {
		n.Receiver.LinkLost(from)
	}
}

func (n *Network) deliver(f Frame) {
	switch {
	case f.Control != nil:
		n.Receiver.ReceiveControl(f.From, *f.Control)
	case f.Data != nil:
		n.Receiver.ReceiveData(f.From, *f.Data)
	}
}
