//go:build review

package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// arrival is a request that reached a replica.
type arrival struct {
	id, from, host string
	at             time.Time
}

// replica is a replica of a plain service. It follows the pages on replicas: it echoes the id of a request, signs its answers, and refuses a
// request that expects another instance with 421.
type replica struct {
	d        *deployment
	id       string
	service  string
	zone     string
	born     int64
	work     func(path string) time.Duration
	listener net.Listener
	server   *http.Server
	ctx      context.Context
	stop     context.CancelFunc
	slots    int
	describe func() []any // the models of an engine; nil for a plain replica

	mu       sync.Mutex
	seq      int
	arrivals []arrival
}

// newReplica starts a replica and its heartbeats.
func newReplica(d *deployment, id, service, zone string, work func(path string) time.Duration) (*replica, error) {
	r, err := listen(d, id, service, zone)
	if err != nil {
		return nil, err
	}
	r.work = work
	r.serve(r)
	return r, nil
}

// listen returns a replica that does not serve yet.
func listen(d *deployment, id, service, zone string) (*replica, error) {
	l, err := net.Listen("tcp", d.network+".200.1:0")
	if err != nil {
		return nil, err
	}
	ctx, stop := context.WithCancel(context.Background())
	return &replica{d: d, id: id, service: service, zone: zone, born: time.Now().UnixMilli(), listener: l, ctx: ctx, stop: stop, slots: 6}, nil
}

// serve starts the replica and its heartbeats.
func (r *replica) serve(handler http.Handler) {
	r.server = &http.Server{Handler: handler}
	go func() { _ = r.server.Serve(r.listener) }()
	go r.beat(r.ctx)
	r.d.note("replica %s of %s at %s", r.id, r.service, r.listener.Addr())
}

// ServeHTTP runs a request.
func (r *replica) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	id := req.Header.Get("Shallotgap-Request-Id")
	h := w.Header()
	h.Set("Shallotgap-Request-Id", id)
	h.Set("Keep-Alive", "timeout=10")
	h.Set("Shallotgap-Server-Load", "1,0,6")
	if expect := req.Header.Get("Shallotgap-Expect-Instance"); expect != "" && expect != r.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if id == "" {
		h.Set("Shallotgap-Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	_, _ = io.Copy(io.Discard, req.Body)
	from, _, _ := net.SplitHostPort(req.RemoteAddr)
	r.mu.Lock()
	r.arrivals = append(r.arrivals, arrival{id: id, from: from, at: time.Now()})
	r.mu.Unlock()
	r.d.note("replica %s runs %s", r.id, id)
	select {
	case <-time.After(r.work(req.URL.Path)):
	case <-req.Context().Done():
		r.d.note("replica %s: connection of %s closed", r.id, id)
		return
	}
	h.Set("Shallotgap-Server-Stamp", "stamp-"+r.id+"-"+id)
	_, _ = fmt.Fprintf(w, "done %s by %s", id, r.id)
}

// body returns what the replica says of itself.
func (r *replica) body(state string) []byte {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.seq++
	said := map[string]any{
		"service": r.service, "address": r.listener.Addr().String(), "zone": r.zone, "version": "v1", "slots": r.slots, "state": state, "coldLeftMs": 0, "seq": r.seq, "born": r.born,
	}
	if r.describe != nil {
		said["stage"], said["models"] = "both", r.describe()
	}
	data, _ := json.Marshal(said)
	return data
}

// beat sends heartbeats until the context ends.
func (r *replica) beat(ctx context.Context) {
	for n := 0; ; n++ {
		list := append(append([]*process{}, r.d.control...), r.d.calls...)
		for k := range list {
			p := list[(n+k+int(r.born))%len(list)]
			status, _, err := r.d.call(http.MethodPut, r.d.controlURL(p)+"/-/instances/"+r.id, r.body("ready"))
			if ctx.Err() != nil || (err == nil && status == http.StatusOK) {
				break
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(beatInterval):
		}
	}
}

// leave ends the heartbeats and says to one machine that the replica leaves. It returns once that is acknowledged.
func (r *replica) leave(p *process) error {
	r.stop()
	time.Sleep(100 * time.Millisecond) // no heartbeat is under way any more
	body := []byte(`{"born":` + strconv.FormatInt(r.born, 10) + `}`)
	status, data, err := r.d.call(http.MethodDelete, r.d.controlURL(p)+"/-/instances/"+r.id, body)
	if err != nil || status != http.StatusOK {
		return fmt.Errorf("DELETE of %s: status %d, %s, %v", r.id, status, data, err)
	}
	return nil
}

// exit ends the replica, and with it what it runs.
func (r *replica) exit() {
	r.stop()
	_ = r.server.Close()
}

// since returns the requests that have reached the replica from a time on.
func (r *replica) since(t time.Time) []arrival {
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []arrival
	for _, a := range r.arrivals {
		if a.at.After(t) {
			list = append(list, a)
		}
	}
	return list
}
