package dial

import (
	"bufio"
	"cmp"
	"context"
	"errors"
	"net"
	"slices"
	"syscall"

	"golang.org/x/sys/unix"

	"shallotgap/core/ident"
	"shallotgap/io/clock"
)

// acquire takes an idle connection from the pool or opens a new one.
func (c *Client) acquire(ctx context.Context, r Request) (*conn, error) {
	now := clock.Boot()
	for r.MaxIdle >= 0 {
		cn := c.takeIdle(r.Key, r.ID, now)
		if cn == nil {
			break
		}
		if r.MaxIdle > 0 && now.Sub(cn.lastUsed) > r.MaxIdle || !cn.usable() {
			_ = cn.Close()
			continue
		}
		return cn, nil
	}
	raw, err := c.Connect(ctx, r.Address, cmp.Or(r.ConnectWithin, connectTimeout))
	if err != nil {
		if ctx.Err() == nil {
			if cn := c.takeReturned(r, now); cn != nil {
				return cn, nil
			}
		}
		return nil, err
	}
	return c.newConn(raw), nil
}

// takeReturned returns an idle connection that another request put into the pool while a new connection failed to open, or nil. Older ones are
// not in the pool, as acquire has tried them.
func (c *Client) takeReturned(r Request, now ident.Time) *conn {
	if r.MaxIdle < 0 {
		return nil
	}
	cn := c.takeIdle(r.Key, r.ID, now)
	if cn != nil && !cn.usable() {
		_ = cn.Close()
		return nil
	}
	return cn
}

// newConn returns a connection that has just been opened.
func (c *Client) newConn(raw net.Conn) *conn {
	c.mu.Lock()
	c.opened++
	c.mu.Unlock()
	cn := &conn{Conn: raw, headLeft: noHeadLimit}
	cn.reader = bufio.NewReaderSize(cn, bufferSize)
	return cn
}

// Probe finds out whether an endpoint accepts a connection, and keeps the connection for the next request.
func (c *Client) Probe(ctx context.Context, key, address string) error {
	raw, err := c.Connect(ctx, address, connectTimeout)
	if err != nil {
		return &Error{Step: "connect", Peer: address, Err: err}
	}
	cn := c.newConn(raw)
	cn.idleTimeout = defaultIdleTimeout
	c.putIdle(key, cn)
	return nil
}

// CloseIdle closes the idle connections of a pool key, as after the loss of the path.
func (c *Client) CloseIdle(key string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, cn := range c.idle[key] {
		_ = cn.Close()
	}
	delete(c.idle, key)
}

// takeIdle returns the most recently used idle connection of a pool key on which the request was not refused before, or nil. It first
// closes expired connections.
func (c *Client) takeIdle(key, id string, now ident.Time) *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closeExpired(now)
	list := c.idle[key]
	for at := len(list) - 1; at >= 0; at-- {
		if cn := list[at]; !slices.Contains(cn.refused, id) {
			c.idle[key] = slices.Delete(list, at, at+1)
			c.reused++
			return cn
		}
	}
	return nil
}

// putIdle adds a connection to the pool; it closes the connection if the pool is full or reuse is not allowed.
func (c *Client) putIdle(key string, cn *conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	cn.lastUsed = clock.Boot()
	if cn.idleTimeout <= 0 || len(c.idle[key]) >= maxIdlePerKey {
		_ = cn.Close()
		return
	}
	c.idle[key] = append(c.idle[key], cn)
}

// closeExpired closes idle connections that exceeded their idle timeout. c.mu must be held.
func (c *Client) closeExpired(now ident.Time) {
	if now.Sub(c.sweptAt) < sweepInterval {
		return
	}
	c.sweptAt = now
	for key, list := range c.idle {
		kept := list[:0]
		for _, cn := range list {
			if now.Sub(cn.lastUsed) < cn.idleTimeout {
				kept = append(kept, cn)
			} else {
				_ = cn.Close()
			}
		}
		c.idle[key] = kept
		if len(kept) == 0 {
			delete(c.idle, key)
		}
	}
}

// usable reports whether an idle connection is within its idle timeout, is still open and has no unread data. An end of
// stream, a reset or data that belongs to no request makes the connection unusable.
func (c *conn) usable() bool {
	if c.idleTimeout <= clock.Boot().Sub(c.lastUsed) {
		return false
	}
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	noData := false
	err = raw.Read(func(fd uintptr) bool {
		var buf [1]byte
		_, _, err := unix.Recvfrom(int(fd), buf[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		noData = errors.Is(err, unix.EAGAIN)
		return true
	})
	return err == nil && noData
}
