//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"strings"
	"time"
)

// Settings of the engines.
const (
	engineSlots  = 16
	adapterSlots = 4
	loadTime     = 50 * time.Millisecond
	eventCount   = 4
	eventPause   = 20 * time.Millisecond
)

// engine is a replica that runs a model. It follows the pages on replicas, orders and reports: it refuses a request for an adapter that it does
// not hold with 421 and checks the expected number of orders and the fencing tokens.
type engine struct {
	*replica
	model    string
	adapters map[string]time.Time // when each adapter is loaded
	orders   int
	fence    uint64
	running  int
	// places and room limit what the engine holds, in adapters and MB; 0 for no limit. overloaded is called once it is ordered to load more.
	places     int
	room       float64
	overloaded func(mb float64)
}

// newEngine starts an engine and its heartbeats.
func newEngine(d *deployment, id, service, zone, model string) (*engine, error) {
	e := &engine{model: model, adapters: map[string]time.Time{}}
	r, err := listen(d, id, service, zone)
	if err != nil {
		return nil, err
	}
	r.slots, r.describe = engineSlots, e.describeModels
	e.replica = r
	r.serve(e)
	return e, nil
}

// describeModels returns what the engine holds. The mutex is held.
func (e *engine) describeModels() []any {
	list := []string{}
	for _, a := range slices.Sorted(maps.Keys(e.adapters)) {
		if time.Now().After(e.adapters[a]) {
			list = append(list, a+"@1")
		}
	}
	return []any{map[string]any{"name": e.model, "version": 1, "adapters": list}}
}

// ServeHTTP answers requests, orders and calls for the report.
func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	if expect := r.Header.Get("Shallotgap-Expect-Instance"); expect != "" && expect != e.id {
		w.Header().Set("Shallotgap-Request-Id", r.Header.Get("Shallotgap-Request-Id"))
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case "/-/report":
		e.report(w)
	case "/-/order":
		e.order(w, body)
	default:
		e.stream(w, r)
	}
}

func (e *engine) report(w http.ResponseWriter) {
	e.mu.Lock()
	defer e.mu.Unlock()
	pending := []string{}
	for a, at := range e.adapters {
		if !time.Now().After(at) {
			pending = append(pending, e.model+"/"+a+"@1")
		}
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{
		"stage": "both", "models": e.describeModels(), "pending": pending, "busy": false, "seq": e.orders, "born": e.born, "waiting": 0, "running": e.running, "kvUsed": 0, "kvTotal": 200000, "handles": 0,
	})
}

func (e *engine) order(w http.ResponseWriter, body []byte) {
	var o struct {
		Operation, Model, Adapter, Holder string
		Precondition                      *int
		Fence                             uint64
	}
	if err := json.Unmarshal(body, &o); err != nil || o.Holder == "" || o.Fence == 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.d.note("engine %s: order %s", e.id, body)
	_, held := e.adapters[o.Adapter]
	switch {
	case o.Fence < e.fence:
		w.WriteHeader(http.StatusPreconditionFailed)
	case o.Precondition != nil && *o.Precondition != e.orders:
		w.WriteHeader(http.StatusConflict)
	case o.Operation == "load" && !held && e.exceeds(len(e.adapters)+1):
		e.overloaded(modelMB + float64(len(e.adapters)+1)*adapterMB)
	case o.Operation == "load" && !held:
		e.fence = o.Fence
		e.orders++
		e.adapters[o.Adapter] = time.Now().Add(loadTime)
		w.WriteHeader(http.StatusAccepted)
	case o.Operation == "unload" && held:
		e.fence = o.Fence
		e.orders++
		delete(e.adapters, o.Adapter)
	}
}

// exceeds reports whether the engine can't hold a number of adapters beside its model.
func (e *engine) exceeds(adapters int) bool {
	return e.room > 0 && (adapters > e.places || modelMB+float64(adapters)*adapterMB > e.room)
}

// stream runs a request.
func (e *engine) stream(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Shallotgap-Request-Id")
	model, adapter, _ := strings.Cut(r.Header.Get("Shallotgap-Model-Name"), "/")
	h := w.Header()
	h.Set("Shallotgap-Request-Id", id)
	h.Set("Keep-Alive", "timeout=10")
	e.mu.Lock()
	at, held := e.adapters[adapter]
	if model != e.model || !held || !time.Now().After(at) {
		e.mu.Unlock()
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	e.running++
	e.arrivals = append(e.arrivals, arrival{id: id, host: r.Host, at: time.Now()})
	e.mu.Unlock()
	defer func() {
		e.mu.Lock()
		e.running--
		e.mu.Unlock()
	}()
	e.d.note("engine %s of %s runs %s for host %s, %s", e.id, e.service, id, r.Host, r.Header.Get("Shallotgap-Model-Name"))
	h.Set("Content-Type", "text/event-stream")
	h.Set("Shallotgap-Server-Stamp", "stamp-"+e.id+"-"+id)
	h.Set("Shallotgap-Weight-Versions", "1")
	for n := range eventCount {
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %s, %s, %s\n\n", n+1, e.service, e.id, id)
		_ = http.NewResponseController(w).Flush()
		select {
		case <-time.After(eventPause):
		case <-r.Context().Done():
			return
		}
	}
}
