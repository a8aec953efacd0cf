package link

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/coder/websocket"
	"golang.org/x/sys/unix"

	"shallotgap/core/wire"
	"shallotgap/io/clock"
)

// conn is one connection of a link.
type conn struct {
	ws        *websocket.Conn
	bytes     *progressConn // under ws
	peer      Hello         // empty until the peer's Hello has arrived
	sendQueue chan []byte   // encoded messages
	closed    chan struct{}
	removed   chan struct{} // closed once removeConn has run
	once      sync.Once
}

var errHelloMissing = errors.New("the first message is not a hello")

func newConn(ws *websocket.Conn, bytes *progressConn) *conn {
	return &conn{ws: ws, bytes: bytes, sendQueue: make(chan []byte, maxQueuedMessages), closed: make(chan struct{}), removed: make(chan struct{})}
}

// enqueue adds an encoded message to the send queue and reports false if the queue is full.
func (c *conn) enqueue(m []byte) bool {
	select {
	case c.sendQueue <- m:
		return true
	default:
		return false
	}
}

func (c *conn) close() {
	c.once.Do(func() {
		close(c.closed)
		_ = c.ws.CloseNow()
	})
}

// write sends queued messages in batches, and an empty batch when none was queued for PingInterval.
func (c *conn) write(ctx context.Context) {
	defer c.close()
	ping := time.NewTicker(PingInterval)
	defer ping.Stop()
	for {
		var batch [][]byte
		select {
		case <-ctx.Done():
			return
		case <-c.closed:
			return
		case <-ping.C:
		case m := <-c.sendQueue:
			batch = append(batch, m)
		}
		if c.send(ctx, c.fillBatch(batch)) != nil {
			return
		}
	}
}

// fillBatch adds queued messages to a batch, in order, without blocking.
func (c *conn) fillBatch(batch [][]byte) [][]byte {
	size := 0
	for _, m := range batch {
		size += len(m)
	}
	for len(batch) < maxBatchMessages && size < maxBatchBytes {
		select {
		case m := <-c.sendQueue:
			batch = append(batch, m)
			size += len(m)
		default:
			return batch
		}
	}
	return batch
}

func (c *conn) send(ctx context.Context, batch [][]byte) error {
	return c.ws.Write(ctx, websocket.MessageBinary, wire.EncodeList(batch))
}

// watch closes the connection when nothing was received for SilenceTimeout.
func (c *conn) watch(ctx context.Context) {
	tick := time.NewTicker(PingInterval)
	defer tick.Stop()
	lastTick := clock.Boot()
	for {
		select {
		case <-ctx.Done():
			c.close()
			return
		case <-c.closed:
			return
		case <-tick.C:
		}
		now := clock.Boot()
		if now.Sub(lastTick) > SilenceTimeout/2 {
			// This process was paused, so messages of the peer may have arrived unread: restart the timeout.
			c.bytes.touch()
		}
		lastTick = now
		if c.bytes.silence(now) > SilenceTimeout {
			c.close()
			return
		}
	}
}

// read dispatches received messages until the connection breaks.
func (c *conn) read(ctx context.Context, m *Mesh) error {
	for {
		_, data, err := c.ws.Read(ctx)
		if err != nil {
			if c.peer.Host != "" {
				m.removeConn(c)
			}
			return fmt.Errorf("read from %s: %w", c.peer.Host, err)
		}
		var batch []Message
		if err := wire.Unmarshal(data, &batch); err != nil {
			c.close()
			m.Log.WithField("step", "receive").WithField("peer", c.peer.Host).WithError(err).Warn("bad-message")
			continue
		}
		for _, msg := range batch {
			if err := c.dispatch(msg, m); err != nil {
				return err
			}
		}
	}
}

// dispatch passes a message to the handler; the first message must be a Hello, which adds the connection to the mesh.
func (c *conn) dispatch(packed Message, m *Mesh) error {
	msg, err := packed.unpack()
	if err != nil {
		m.Log.WithField("step", "receive").WithField("peer", c.peer.Host).WithError(err).Warn("bad-message")
		return err
	}
	switch {
	case c.peer.Host != "":
		m.Handler.Receive(c.peer, msg)
	case msg.Hello == nil || msg.Hello.Host == "":
		return errHelloMissing
	default:
		c.peer = *msg.Hello
		m.addConn(c)
	}
	return nil
}

// dialTCP opens a connection that breaks when the peer acknowledges no data for SilenceTimeout.
func dialTCP(ctx context.Context, network, address string) (net.Conn, error) {
	d := net.Dialer{Timeout: connectTimeout, Control: func(_, _ string, raw syscall.RawConn) error {
		var optErr error
		err := raw.Control(func(fd uintptr) {
			optErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(SilenceTimeout.Milliseconds()))
		})
		return errors.Join(err, optErr)
	}}
	return d.DialContext(ctx, network, address)
}
