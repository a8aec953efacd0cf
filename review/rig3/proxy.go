//go:build review

package rig3

import (
	"net"
	"sync"
)

// Proxy passes the bytes of connections on, between the entry hosts and a replica. While it is cut, bytes and the ends of connections are held up,
// as by a partition; they arrive when it is joined again.
type Proxy struct {
	listener net.Listener
	target   string
	mu       sync.Mutex
	joined   chan struct{} // closed while bytes pass
}

// NewProxy starts a proxy to a target address.
func (r *Rig) NewProxy(listen, target string) (*Proxy, error) {
	l, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, err
	}
	p := &Proxy{listener: l, target: target, joined: make(chan struct{})}
	close(p.joined)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go p.serve(c)
		}
	}()
	return p, nil
}

// Cut holds up all bytes from now on.
func (p *Proxy) Cut() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.joined = make(chan struct{})
}

// Join lets the bytes pass again.
func (p *Proxy) Join() {
	p.mu.Lock()
	defer p.mu.Unlock()
	close(p.joined)
}

// await waits until bytes may pass.
func (p *Proxy) await() {
	p.mu.Lock()
	joined := p.joined
	p.mu.Unlock()
	<-joined
}

// serve passes the bytes of one connection on. A replica that does not listen resets the connection, as it would without a proxy.
func (p *Proxy) serve(c net.Conn) {
	p.await()
	s, err := net.Dial("tcp", p.target)
	if err != nil {
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
		return
	}
	var done sync.WaitGroup
	done.Go(func() { p.pass(s.(*net.TCPConn), c.(*net.TCPConn)) })
	done.Go(func() { p.pass(c.(*net.TCPConn), s.(*net.TCPConn)) })
	done.Wait()
	_, _ = c.Close(), s.Close()
}

// pass passes the bytes of one direction on, and then its end: a reset as a reset, another end as such.
func (p *Proxy) pass(from, to *net.TCPConn) {
	buf := make([]byte, 4<<10)
	for {
		n, err := from.Read(buf)
		p.await()
		if n > 0 {
			if _, writeErr := to.Write(buf[:n]); writeErr != nil {
				_ = from.SetLinger(0)
				_ = from.Close()
				return
			}
		}
		if err != nil {
			if err.Error() == "EOF" {
				_ = to.CloseWrite()
				return
			}
			_ = to.SetLinger(0)
			_ = to.Close()
			return
		}
	}
}
