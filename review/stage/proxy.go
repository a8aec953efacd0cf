//go:build review

package main

import (
	"net"
	"sync"
	"time"
)

// proxy stands between a replica and one address of a machine. While it is cut, it holds up what either side sends on open connections, also
// their end, and passes it on when TCP would: it sends again after pauses that double from 0.2 s on. Opening packets are lost.
type proxy struct {
	address string
	target  string
	mu      sync.Mutex
	healed  *sync.Cond
	cut     bool
}

func newProxy(listen, target string) (*proxy, error) {
	l, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, err
	}
	p := &proxy{address: l.Addr().String(), target: target}
	p.healed = sync.NewCond(&p.mu)
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

// set begins or ends a cut.
func (p *proxy) set(cut bool) {
	p.mu.Lock()
	p.cut = cut
	p.mu.Unlock()
	p.healed.Broadcast()
}

// firstPause is the time after which TCP first sends again what was not acknowledged.
const firstPause = 200 * time.Millisecond

// pass waits while the path is cut, and then until what was held up is sent again.
func (p *proxy) pass() {
	since := time.Now()
	p.mu.Lock()
	held := p.cut
	for p.cut {
		p.healed.Wait()
	}
	p.mu.Unlock()
	if !held {
		return
	}
	again, pause := since.Add(firstPause), firstPause
	for time.Now().After(again) {
		pause *= 2
		again = again.Add(pause)
	}
	time.Sleep(time.Until(again))
}

func (p *proxy) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	p.mu.Lock()
	cut := p.cut
	p.mu.Unlock()
	if cut {
		// The opening packet is lost, and its sender gives up before the cut has healed.
		buf := make([]byte, 1)
		for {
			if _, err := c.Read(buf); err != nil {
				return
			}
		}
	}
	t, err := net.Dial("tcp", p.target)
	if err != nil {
		return
	}
	defer func() { _ = t.Close() }()
	var group sync.WaitGroup
	group.Go(func() { p.copy(t, c) })
	group.Go(func() { p.copy(c, t) })
	group.Wait()
}

// copy passes on what one side sends, and its end.
func (p *proxy) copy(to, from net.Conn) {
	buf := make([]byte, 16<<10)
	for {
		n, err := from.Read(buf)
		p.pass()
		if n > 0 {
			if _, err := to.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			if t, ok := to.(*net.TCPConn); ok {
				_ = t.CloseWrite()
			}
			return
		}
	}
}
