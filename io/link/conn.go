package link

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/coder/websocket"
	"golang.org/x/sys/unix"

	"shallotgap/core/wire"
	"shallotgap/io/clock"
)

// conn is one link.
type conn struct {
	ws     *websocket.Conn
	peer   Hello
	out    chan []byte // encoded messages
	closed chan struct{}
	gone   chan struct{} // closed once the mesh has forgotten the connection
	once   sync.Once
	heard  atomic.Int64
}

var errNoHello = errors.New("the first message is not an introduction")

func newConn(ws *websocket.Conn) *conn {
	c := &conn{ws: ws, out: make(chan []byte, queueLength), closed: make(chan struct{}), gone: make(chan struct{})}
	c.heard.Store(int64(clock.Boot()))
	return c
}

func (c *conn) queue(m []byte) bool {
	select {
	case c.out <- m:
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

// write sends what is queued, and something at least each PingEvery.
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
		case m := <-c.out:
			batch = append(batch, m)
		}
		if c.send(ctx, c.gather(batch)) != nil {
			return
		}
	}
}

// gather adds the messages that wait, in order.
func (c *conn) gather(batch [][]byte) [][]byte {
	for len(batch) < batchLength {
		select {
		case m := <-c.out:
			batch = append(batch, m)
		default:
			return batch
		}
	}
	return batch
}

func (c *conn) send(ctx context.Context, batch [][]byte) error {
	data := wire.EncodeList(batch)
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	return c.ws.Write(ctx, websocket.MessageBinary, data)
}

// watch closes a link that has gone silent.
func (c *conn) watch(ctx context.Context) {
	tick := time.NewTicker(PingInterval)
	defer tick.Stop()
	last := clock.Boot()
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
		if now.Sub(last) > SilenceTimeout/2 {
			// This process did not run for a while; what has arrived must be read first.
			c.heard.Store(int64(now))
		}
		last = now
		if time.Duration(int64(now)-c.heard.Load()) > SilenceTimeout {
			c.close()
			return
		}
	}
}

// read hands on what arrives until the link breaks.
func (c *conn) read(ctx context.Context, m *Mesh) error {
	for {
		_, data, err := c.ws.Read(ctx)
		if err != nil {
			if c.peer.Host != "" {
				m.down(c)
			}
			return fmt.Errorf("read from %s: %w", c.peer.Host, err)
		}
		c.heard.Store(int64(clock.Boot()))
		var batch []Message
		if err := wire.Unmarshal(data, &batch); err != nil {
			c.close()
			m.Log.WithField("step", "receive").WithField("peer", c.peer.Host).WithError(err).Warn("bad-message")
			continue
		}
		for _, msg := range batch {
			if err := c.pass(msg, m); err != nil {
				return err
			}
		}
	}
}

func (c *conn) pass(msg Message, m *Mesh) error {
	switch {
	case c.peer.Host != "":
		m.Handler.Receive(c.peer, msg)
	case msg.Hello == nil || msg.Hello.Host == "":
		return errNoHello
	default:
		c.peer = *msg.Hello
		m.up(c)
	}
	return nil
}

// dialTCP opens a connection that breaks soon after the other host stops answering.
func dialTCP(ctx context.Context, network, address string) (net.Conn, error) {
	d := net.Dialer{Timeout: connectTimeout, Control: func(_, _ string, raw syscall.RawConn) error {
		var failed error
		err := raw.Control(func(fd uintptr) {
			failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(SilenceTimeout.Milliseconds()))
		})
		return errors.Join(err, failed)
	}}
	return d.DialContext(ctx, network, address)
}
