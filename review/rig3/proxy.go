//go:build review

package rig3

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
)

// Proxy passes the bytes of connections on, between the hosts and a replica. While a host is cut off, the bytes and the ends of its connections are
// held up, as by a partition; they arrive when it is joined again. Connections of other hosts go on.
type Proxy struct {
	listener net.Listener
	target   string
	mu       sync.Mutex
	cut      *Host         // the host that is cut off; nil for none
	joined   chan struct{} // closed while the bytes of all hosts pass
	rig      *Rig
}

// NewProxy starts a proxy to a target address.
func (r *Rig) NewProxy(listen, target string) (*Proxy, error) {
	l, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, err
	}
	p := &Proxy{listener: l, target: target, joined: make(chan struct{}), rig: r}
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

// Cut holds up the bytes of a host's connections from now on.
func (p *Proxy) Cut(h *Host) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cut = h
	p.joined = make(chan struct{})
}

// Join lets the bytes pass again.
func (p *Proxy) Join() {
	p.mu.Lock()
	defer p.mu.Unlock()
	close(p.joined)
}

// await waits until the bytes of a host's connection may pass.
func (p *Proxy) await(owner *Host) {
	p.mu.Lock()
	joined, held := p.joined, p.cut != nil && p.cut == owner
	p.mu.Unlock()
	if held {
		<-joined
	}
}

// ownerOf returns the host whose process holds the other end of a connection, nil if that is none of the hosts.
func (r *Rig) ownerOf(c net.Conn) *Host {
	inode := inodeOf(c.RemoteAddr().(*net.TCPAddr), c.LocalAddr().(*net.TCPAddr))
	if inode == "" {
		return nil
	}
	for _, h := range r.All() {
		links, _ := filepath.Glob(fmt.Sprintf("/proc/%d/fd/*", h.Pid()))
		for _, l := range links {
			if target, err := os.Readlink(l); err == nil && target == "socket:["+inode+"]" {
				return h
			}
		}
	}
	return nil
}

// inodeOf returns the number of a socket by its two addresses.
func inodeOf(local, remote *net.TCPAddr) string {
	data, _ := os.ReadFile("/proc/net/tcp")
	want := hexAddress(local) + " " + hexAddress(remote)
	for _, line := range strings.Split(string(data), "\n") {
		if f := strings.Fields(line); len(f) > 9 && f[1]+" "+f[2] == want {
			return f[9]
		}
	}
	return ""
}

// hexAddress returns an address as the kernel's table of sockets has it on little-endian machines.
func hexAddress(a *net.TCPAddr) string {
	ip := a.IP.To4()
	return fmt.Sprintf("%02X%02X%02X%02X:%04X", ip[3], ip[2], ip[1], ip[0], a.Port)
}

// serve passes the bytes of one connection on. A replica that does not listen resets the connection, as it would without a proxy.
func (p *Proxy) serve(c net.Conn) {
	owner := p.rig.ownerOf(c)
	p.await(owner)
	s, err := net.Dial("tcp", p.target)
	if err != nil {
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
		return
	}
	var done sync.WaitGroup
	done.Go(func() { p.pass(owner, s.(*net.TCPConn), c.(*net.TCPConn)) })
	done.Go(func() { p.pass(owner, c.(*net.TCPConn), s.(*net.TCPConn)) })
	done.Wait()
	_, _ = c.Close(), s.Close()
}

// pass passes the bytes of one direction on, and then its end: a reset as a reset, another end as such.
func (p *Proxy) pass(owner *Host, from, to *net.TCPConn) {
	buf := make([]byte, 4<<10)
	for {
		n, err := from.Read(buf)
		p.await(owner)
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
