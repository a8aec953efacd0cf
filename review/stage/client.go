//go:build review

package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// readReply reads one answer.
func readReply(r io.Reader, method string) reply {
	resp, err := http.ReadResponse(bufio.NewReader(r), &http.Request{Method: method})
	if err != nil {
		return reply{err: err}
	}
	data, err := io.ReadAll(resp.Body)
	return reply{status: resp.StatusCode, stamp: resp.Header.Get("Shallotgap-Server-Stamp"), body: string(data), err: err}
}

// kept is a connection of a client that it keeps for many requests.
type kept struct {
	net.Conn
	reader *bufio.Reader
	used   int // requests that it has carried
}

// callers are clients that keep their connections open.
type callers struct {
	site *site
	mu   sync.Mutex
	idle map[string][]*kept
	// sent are the requests that got no whole answer, by whether their connection had carried others before.
	counts map[string]int
	group  sync.WaitGroup
}

func newCallers(s *site) *callers {
	return &callers{site: s, idle: map[string][]*kept{}, counts: map[string]int{}}
}

// take returns a connection with a front: a kept one, or else a new one.
func (c *callers) take(address string) (*kept, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if list := c.idle[address]; len(list) > 0 {
		c.idle[address] = list[:len(list)-1]
		return list[len(list)-1], nil
	}
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &kept{Conn: conn, reader: bufio.NewReader(conn)}, nil
}

func (c *callers) put(address string, k *kept) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle[address] = append(c.idle[address], k)
}

// count counts an outcome.
func (c *callers) count(outcome string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts[outcome]++
}

// attempt is a request of a client and what became of it.
type attempt struct {
	id    string
	front *machine
	// onKept is true if the connection had carried a request before.
	onKept bool
	reply
	closed bool // the connection ended without a whole answer
}

// post makes one attempt over a connection that is kept afterwards.
func (c *callers) post(m *machine, target, body string, timeout time.Duration) attempt {
	a := attempt{id: newID(), front: m}
	address := m.at(portFront)
	k, err := c.take(address)
	if err != nil {
		a.err = err
		c.count("no connection")
		return a
	}
	a.onKept = k.used > 0
	_ = k.SetDeadline(time.Now().Add(timeout))
	head := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s\r\nShallotgap-Request-Id: %s\r\nShallotgap-Deadline-Ms: %d\r\nContent-Length: %d\r\n\r\n", target, callersHost, a.id, timeout.Milliseconds(), len(body))
	_, err = io.Copy(k, io.MultiReader(strings.NewReader(head), strings.NewReader(body)))
	if err == nil {
		a.reply, err = k.read()
	}
	if err != nil {
		_ = k.Close()
		a.err = err
		timedOut, isNet := err.(net.Error)
		a.closed = !isNet || !timedOut.Timeout()
		c.count("no whole answer")
		return a
	}
	c.count(strconv.Itoa(a.status))
	k.used++
	_ = k.SetDeadline(time.Time{})
	c.put(address, k)
	return a
}

// read reads one answer.
func (k *kept) read() (reply, error) {
	resp, err := http.ReadResponse(k.reader, &http.Request{Method: http.MethodPost})
	if err != nil {
		return reply{}, err
	}
	n, err := io.Copy(io.Discard, resp.Body)
	return reply{status: resp.StatusCode, stamp: resp.Header.Get("Shallotgap-Server-Stamp"), body: fmt.Sprint(n, " bytes")}, err
}

// close closes the kept connections.
func (c *callers) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, list := range c.idle {
		for _, k := range list {
			_ = k.Close()
		}
	}
}

// press sends requests at a rate, and at a multiple of it during bursts, until a time from now; each is handled by do.
func (c *callers) press(rate, factor float64, bursts []time.Duration, burst, total time.Duration, do func(n int)) {
	start := time.Now()
	next := start
	for n := 0; time.Since(start) < total; n++ {
		now := rate
		for _, at := range bursts {
			if since := time.Since(start); since >= at && since < at+burst {
				now = rate * factor
			}
		}
		next = next.Add(time.Duration(float64(time.Second) / now))
		time.Sleep(time.Until(next))
		c.group.Go(func() { do(n) })
	}
	c.group.Wait()
}
