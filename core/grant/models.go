package grant

import (
	"slices"
	"time"

	"shallotgap/core/book"
	"shallotgap/core/census"
	"shallotgap/core/ident"
	"shallotgap/core/layout"
)

// Constants of loading base models.
const (
	// storePart is the part of the weight store's rate that is used; the rest covers loads of the former authority.
	storePart   = 0.8
	storeWindow = 5 * time.Second // in which the rate is counted; the shortest known
	// loadSlack is the part of a load's stated time for which its result is waited for before it is ordered again.
	loadSlack = 4
	// pressed is the part of its engines' places, batches or memory in use from which on a service gets further engines: a
	// burst of twice the load still fits below it.
	pressed          = 0.5
	pressureHalfLife = time.Second // smooths over single requests
)

// placeModels orders a base model for the engines that hold none, such as those that have just started.
//
// Load: engines that crash and come back empty, while the others run out of places for adapters. A load of a model is dear,
// so an engine that is not needed stays empty.
func (t *Authority) placeModels(now ident.Time) {
	for _, e := range t.inOrder() {
		if len(e.entry.Models) > 0 {
			continue
		}
		s, ok := t.layout.Service(e.entry.Service)
		if !ok || s.Engine == nil || !t.mayOrder(e, now) || now < e.modelUntil || !t.needsEngine(s) {
			continue
		}
		m, ok := t.wantedModel(s)
		if !ok || !t.spendLoad(s, now) {
			continue
		}
		e.modelUntil = now.Add(m.LoadTime * loadSlack)
		t.order(e, Order{Load: true, Ref: book.AdapterRef{Model: m.Name}, Cause: "engine without a model"})
	}
}

// needsEngine reports whether a service needs one more engine with a model: its engines are pressed, or requests wait for a
// model that none of them holds.
func (t *Authority) needsEngine(s layout.Service) bool {
	if t.pressures[s.Name].now >= pressed {
		return true
	}
	for _, w := range t.waiting {
		if w.ask.Service == s.Name && !t.held(s.Name, w.ask.Ref.Model) {
			return true
		}
	}
	return false
}

// held reports whether an engine of a service holds a model.
func (t *Authority) held(s ident.Service, model string) bool {
	for _, e := range t.engines {
		if e.entry.Service == s && e.entry.State == census.Ready && e.holdsModel(model) {
			return true
		}
	}
	return false
}

// pressure is the smoothed part in use of what the engines of a service have.
type pressure struct {
	now float64
	at  ident.Time
}

// measurePressure updates the pressures of all services.
func (t *Authority) measurePressure(now ident.Time) {
	for _, s := range t.layout.Services {
		if s.Engine == nil {
			continue
		}
		p := t.pressures[s.Name]
		part := halve(now.Sub(p.at), pressureHalfLife)
		p.now, p.at = p.now*part+t.inUse(s, now)*(1-part), now
		t.pressures[s.Name] = p
	}
}

// inUse returns the part in use of what a service's engines with a model have most of in use.
func (t *Authority) inUse(s layout.Service, now ident.Time) float64 {
	engines, places, running := 0, 0, 0
	var used ident.Tokens
	for _, e := range t.engines {
		if e.entry.Service != s.Name || len(e.entry.Models) == 0 || !e.usable(now, t.Params) || e.trouble.avoided(now) {
			continue
		}
		engines++
		running += len(e.running)
		used += e.tokens
		for _, slot := range e.slots {
			if slot.pins > 0 || slot.probe == "" && !slot.proved {
				places++
			}
		}
	}
	if engines == 0 {
		return 1
	}
	n := float64(engines)
	return max(ratio(places, n*float64(s.Engine.AdapterSlots)), ratio(running, n*float64(s.Engine.Slots)), ratio(int(used), n*float64(s.Engine.Memory)))
}

func ratio(used int, all float64) float64 {
	if all <= 0 {
		return 0
	}
	return float64(used) / all
}

// mayOrder reports whether an order may be sent to an engine now.
func (t *Authority) mayOrder(e *engine, now ident.Time) bool {
	return e.known && !e.ordering && !t.superseded && e.usable(now, t.Params)
}

// wantedModel returns the model with the most requests for each engine that holds it, among those that fit.
func (t *Authority) wantedModel(s layout.Service) (layout.Model, bool) {
	var best layout.Model
	most, found := 0.0, false
	for _, m := range s.Engine.Models {
		if s.Engine.RoomMB > 0 && m.WeightsMB > s.Engine.RoomMB {
			continue
		}
		holders, requests := 0, 0
		for _, e := range t.engines {
			if e.entry.Service == s.Name && e.holdsModel(m.Name) {
				holders++
				requests += e.runningFor(m.Name)
			}
		}
		for _, w := range t.waiting {
			if w.ask.Service == s.Name && w.ask.Ref.Model == m.Name {
				requests++
			}
		}
		if each := float64(requests+1) / float64(holders+1); !found || each > most {
			best, most, found = m, each, true
		}
	}
	return best, found
}

func (e *engine) runningFor(model string) int {
	n := 0
	for _, r := range e.running {
		if r.ask.Ref.Model == model {
			n++
		}
	}
	return n
}

// spendLoad takes one load out of what the weight store allows.
func (t *Authority) spendLoad(s layout.Service, now ident.Time) bool {
	recent := slices.DeleteFunc(t.modelLoads[s.Name], func(at ident.Time) bool { return now.Sub(at) > storeWindow })
	t.modelLoads[s.Name] = recent
	if s.Engine.LoadsPerSecond > 0 && float64(len(recent)+1) > s.Engine.LoadsPerSecond*storeWindow.Seconds()*storePart {
		return false
	}
	t.modelLoads[s.Name] = append(recent, now)
	return true
}
