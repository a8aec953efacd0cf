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

// load fetches an adapter from the store into a free slot.
func (e *Engine) load(w http.ResponseWriter, r *http.Request) {
	var o loraOrder
	if json.NewDecoder(r.Body).Decode(&o) != nil || !e.checkFence(w, r) {
		return
	}
	e.pause(r)
	if e.take(func(f *Faults) *int { return &f.FailLoads }) {
		http.Error(w, "load failed as told", http.StatusInternalServerError)
		return
	}
	if !e.reserve(o.Name) {
		http.Error(w, "no free slot", http.StatusConflict)
		return
	}
	err := e.fetch(o.Path)
	e.engineMu.Lock()
	defer e.engineMu.Unlock()
	delete(e.loading, o.Name)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadGateway)
		return
	}
	e.slots[o.Name] += 0
}

func (e *Engine) reserve(name string) bool {
	e.engineMu.Lock()
	defer e.engineMu.Unlock()
	if _, held := e.slots[name]; !held && len(e.slots)+len(e.loading) >= e.Slots {
		return false
	}
	e.loading[name] = true
	return true
}

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

// unload frees a slot at once, also under running requests, which it then breaks off and counts.
func (e *Engine) unload(w http.ResponseWriter, r *http.Request) {
	var o loraOrder
	if json.NewDecoder(r.Body).Decode(&o) != nil || !e.checkFence(w, r) {
		return
	}
	e.pause(r)
	e.engineMu.Lock()
	defer e.engineMu.Unlock()
	if e.slots[o.Name] > 0 {
		e.evictedUnder++
	}
	delete(e.slots, o.Name)
}

// engineState is the answer to GET /state.
type engineState struct {
	Instance     uint64   `json:"instance"`
	Running      int      `json:"running"`
	Models       []string `json:"models"`
	EvictedUnder int      `json:"evicted-under"`
}

func (e *Engine) state(w http.ResponseWriter, _ *http.Request) {
	e.engineMu.Lock()
	defer e.engineMu.Unlock()
	s := engineState{Instance: e.instance, Running: len(e.running), Models: []string{}, EvictedUnder: e.evictedUnder}
	for name := range e.slots {
		s.Models = append(s.Models, name)
	}
	sort.Strings(s.Models)
	_ = json.NewEncoder(w).Encode(s)
}
