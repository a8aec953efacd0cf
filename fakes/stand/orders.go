package stand

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sort"
)

// loraOrder is the body of a load or unload order.
type loraOrder struct {
	Name string `json:"lora_name"`
	Path string `json:"lora_path"`
}

// load handles a load order: it fetches the adapter from the weight store into a free slot.
func (e *Engine) load(w http.ResponseWriter, r *http.Request) {
	var order loraOrder
	if json.NewDecoder(r.Body).Decode(&order) != nil || !e.checkFence(w, r) {
		return
	}
	e.injectDelay(r)
	if e.consume(func(f *Faults) *int { return &f.FailLoads }) {
		http.Error(w, "load failed as told", http.StatusInternalServerError)
		return
	}
	if !e.reserve(order.Name) {
		http.Error(w, "no free slot", http.StatusConflict)
		return
	}
	err := e.fetch(order.Path)
	e.engineMu.Lock()
	defer e.engineMu.Unlock()
	delete(e.loading, order.Name)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadGateway)
		return
	}
	e.runningPerAdapter[order.Name] += 0
}

// reserve takes a slot for the adapter, or reports false if none is free. A loaded adapter needs no further slot.
func (e *Engine) reserve(name string) bool {
	e.engineMu.Lock()
	defer e.engineMu.Unlock()
	if _, loaded := e.runningPerAdapter[name]; !loaded && len(e.runningPerAdapter)+len(e.loading) >= e.Slots {
		return false
	}
	e.loading[name] = true
	return true
}

// fetch gets an adapter from the weight store and returns when it is complete.
func (e *Engine) fetch(path string) error {
	resp, err := http.Get(e.Store + "/adapters/" + path)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("store: %s", resp.Status)
	}
	return nil
}

// unload handles an unload order. It frees the slot at once, and counts the order in evictedUnder if requests for
// the adapter are running.
func (e *Engine) unload(w http.ResponseWriter, r *http.Request) {
	var order loraOrder
	if json.NewDecoder(r.Body).Decode(&order) != nil || !e.checkFence(w, r) {
		return
	}
	e.injectDelay(r)
	e.engineMu.Lock()
	defer e.engineMu.Unlock()
	if e.runningPerAdapter[order.Name] > 0 {
		e.evictedUnder++
	}
	delete(e.runningPerAdapter, order.Name)
}

// engineState is the answer to GET /state and GET /v1/models.
type engineState struct {
	Instance     uint64   `json:"instance"`
	Running      int      `json:"running"`
	Models       []string `json:"models"`
	EvictedUnder int      `json:"evicted-under"`
}

// state handles GET /state and GET /v1/models.
func (e *Engine) state(w http.ResponseWriter, _ *http.Request) {
	e.engineMu.Lock()
	defer e.engineMu.Unlock()
	state := engineState{Instance: e.instance, Running: len(e.running), Models: []string{}, EvictedUnder: e.evictedUnder}
	for name := range e.runningPerAdapter {
		state.Models = append(state.Models, name)
	}
	sort.Strings(state.Models)
	_ = json.NewEncoder(w).Encode(state)
}
