//go:build review

package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// run is one run of a request at a replica.
type run struct {
	service, replica, id, path string
	at                         time.Time
}

// runs are the runs at all replicas.
type runs struct {
	mu   sync.Mutex
	list []run
}

func (l *runs) add(r run) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.list = append(l.list, r)
}

// of returns the runs of a request.
func (l *runs) of(id string) []run {
	l.mu.Lock()
	defer l.mu.Unlock()
	var list []run
	for _, r := range l.list {
		if r.id == id {
			list = append(list, r)
		}
	}
	return list
}

// replica is a stand-in for a replica of a plain service.
type replica struct {
	site              *site
	runs              *runs
	service, id, zone string
	address           string
	born              int64
	slots             int
	seq               atomic.Int64
	state             atomic.Value
	server            *http.Server
	stopped           chan struct{}
	once              sync.Once
	answer            func(w http.ResponseWriter, r *http.Request, body []byte) // nil for a small success
	// nodes are the control addresses that the replica calls, the first one first; nil for those of all machines in turn. The replica keeps
	// its connections with them.
	nodes  []string
	client *http.Client
}

// newReplica starts a replica that listens at an address and announces itself.
func newReplica(s *site, l *runs, service, id, zone, address string, nodes ...string) (*replica, error) {
	p := &replica{nodes: nodes, site: s, runs: l, service: service, id: id, zone: zone, address: address, born: time.Now().UnixMilli(), slots: 6, stopped: make(chan struct{})}
	p.state.Store("ready")
	if len(nodes) > 0 {
		p.client = &http.Client{Timeout: time.Second, Transport: &http.Transport{}}
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	p.address = listener.Addr().String()
	p.server = &http.Server{Handler: p}
	go func() { _ = p.server.Serve(listener) }()
	go p.beat()
	return p, nil
}

// ServeHTTP runs a request.
func (p *replica) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Shallotgap-Request-Id")
	w.Header().Set("Shallotgap-Request-Id", id)
	w.Header().Set("Shallotgap-Instance-Id", p.id)
	if want := r.Header.Get("Shallotgap-Expect-Instance"); want != "" && want != p.id {
		p.site.record.note("replica %s of %s rejects %s, which expects %s", p.id, p.service, id, want)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	p.runs.add(run{service: p.service, replica: p.id, id: id, path: r.RequestURI, at: time.Now()})
	p.site.record.note("replica %s of %s runs %s %s %s", p.id, p.service, id, r.Method, r.RequestURI)
	w.Header().Set("Shallotgap-Server-Stamp", "stamp-"+p.id)
	if p.answer != nil {
		p.answer(w, r, body)
		return
	}
	_, _ = fmt.Fprintf(w, "answer of %s to %s", p.service, id)
}

// beat sends heartbeats until the replica stops.
func (p *replica) beat() {
	for n := 0; ; n++ {
		p.beatOnce(n)
		select {
		case <-p.stopped:
			return
		case <-time.After(1200 * time.Millisecond):
		}
	}
}

// beatOnce sends one heartbeat, to one control address after the other until one acknowledges it. It reports whether one did.
func (p *replica) beatOnce(n int) bool {
	body, err := json.Marshal(map[string]any{
		"service": p.service, "address": p.address, "zone": p.zone, "version": "v1", "slots": p.slots, "state": p.state.Load(), "coldLeftMs": 0,
		"stage": "both", "models": []any{}, "seq": p.seq.Add(1), "born": p.born,
	})
	if err != nil {
		return false
	}
	return p.callNodes(n, http.MethodPut, body)
}

// callNodes makes a call at one node after the other until one acknowledges it, and reports whether one did.
func (p *replica) callNodes(n int, method string, body []byte) bool {
	nodes, client := p.nodes, p.client
	if nodes == nil {
		for k, all := 0, p.site.find("control"); k < len(all); k++ {
			nodes = append(nodes, all[(n+k)%len(all)].at(portControl))
		}
	}
	for _, to := range nodes {
		status, _ := callWith(client, method, "http://"+to+"/-/instances/"+p.id, body)
		if method != http.MethodPut || status/100 != 2 {
			p.site.record.note("replica %s (born %d) calls %s at %s: status %d", p.id, p.born, method, to, status)
		}
		if status/100 == 2 {
			return true
		}
	}
	return false
}

// stop ends the replica.
func (p *replica) stop() {
	p.once.Do(func() { close(p.stopped) })
	_ = p.server.Close()
}

// call makes one call of the operator or of a replica, which ends after a second.
func call(method, url string, body []byte) (int, []byte) {
	return callWith(&http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}, method, url, body)
}

// callWith is like call, with the connections that a client keeps; nil for a new one.
func callWith(client *http.Client, method, url string, body []byte) (int, []byte) {
	if client == nil {
		return call(method, url, body)
	}
	r, err := http.NewRequest(method, url, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	if len(body) > 0 {
		r.Header.Set("Content-Type", "application/json")
	}
	resp, err := client.Do(r)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil
	}
	return resp.StatusCode, data
}

// configure sends a configuration to one node after the other until it is acknowledged.
func (s *site) configure(config any) error {
	body, err := json.Marshal(config)
	if err != nil {
		return err
	}
	end := time.Now().Add(10 * time.Second)
	for n := 0; time.Now().Before(end); n++ {
		nodes := s.find("control")
		status, answer := call(http.MethodPut, "http://"+nodes[n%len(nodes)].at(portControl)+"/-/config", body)
		s.record.note("operator: configuration sent to %s: status %d %s", nodes[n%len(nodes)].name, status, strings.TrimSpace(string(answer)))
		if status == http.StatusOK {
			return nil
		}
		time.Sleep(200 * time.Millisecond)
	}
	return fmt.Errorf("the configuration is not acknowledged")
}

// reply is the answer that a client got.
type reply struct {
	status int // 0 for none
	stamp  string
	body   string
	err    error
}

var requestCount atomic.Int64

// newID returns the id of a client's attempt.
func newID() string {
	return fmt.Sprintf("%016x", uint64(time.Now().UnixNano())<<8|uint64(requestCount.Add(1)&0xff))
}

// send makes one attempt of a client at a front, on a new connection, and returns what it got.
func (s *site) send(m *machine, id, method, host, target string, body string, timeout time.Duration) reply {
	s.record.note("client sends %s %s %s to %s", id, method, target, m.name)
	got := exchange(m.at(portFront), id, method, host, target, body, timeout)
	s.record.note("client got for %s: status %d, stamp %q, body %.60q, error %v", id, got.status, got.stamp, got.body, got.err)
	return got
}

// exchange writes one request as it is and reads the answer.
func exchange(address, id, method, host, target, body string, timeout time.Duration) reply {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return reply{err: err}
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(timeout))
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nShallotgap-Request-Id: %s\r\nShallotgap-Deadline-Ms: %d\r\n", method, target, host, id, timeout.Milliseconds())
	if method == http.MethodPost {
		head += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	if _, err := io.WriteString(c, head+"\r\n"+body); err != nil {
		return reply{err: err}
	}
	return readReply(c, method)
}
