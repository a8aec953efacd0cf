package grant

import (
	"slices"
	"time"

	"shallotgap/core/book"
	"shallotgap/core/census"
	"shallotgap/core/ident"
	"shallotgap/core/layout"
)

// Constants for loads of base models.
const (
	// storeRateShare is the share of the weight store's rate that is used; the rest is left for loads of an earlier authority.
	storeRateShare = 0.8
	storeWindow    = 5 * time.Second // window of the rate limit; no known weight store has a shorter one
	// modelLoadTimeoutFactor is the multiple of a model's stated load time after which the load is ordered again.
	modelLoadTimeoutFactor = 4
	// pressureThreshold is the share of adapter slots, batch slots or memory in use at which a service gets another engine. At one
	// half, a burst of twice the load still fits.
	pressureThreshold = 0.5
	pressureHalfLife  = time.Second // smooths out single requests
)

// placeModels orders loads of base models on engines without a model, such as restarted engines. A model load is expensive, so
// an engine stays empty until the pressure of its service reaches pressureThreshold or no engine holds a requested model.
func (t *Authority) placeModels(now ident.Time) {
	for _, e := range t.enginesByID() {
		if len(e.entry.Models) > 0 {
			continue
		}
		s, ok := t.layout.Service(e.entry.Service)
		if !ok || s.Engine == nil || !t.mayOrder(e, now) || now < e.modelLoadUntil || !t.needsEngine(s) {
			continue
		}
		m, ok := t.mostRequestedModel(s)
		if !ok || !t.allowModelLoad(s, now) {
			continue
		}
		e.modelLoadUntil = now.Add(m.LoadTime * modelLoadTimeoutFactor)
		t.sendOrder(e, Order{Load: true, Ref: book.AdapterRef{Model: m.Name}, Cause: "engine without a model"}, now)
	}
}

// needsEngine reports whether a service needs one more engine with a model: its pressure has reached pressureThreshold, or
// a request waits for a model that none of its engines holds.
func (t *Authority) needsEngine(s layout.Service) bool {
	if t.pressures[s.Name].value >= pressureThreshold {
		return true
	}
	for _, w := range t.waiting {
		if w.ask.Service == s.Name && !t.modelIsHeld(s.Name, w.ask.Ref.Model) {
			return true
		}
	}
	return false
}

// modelIsHeld reports whether a ready engine of a service holds a model.
func (t *Authority) modelIsHeld(s ident.Service, model string) bool {
	for _, e := range t.engines {
		if e.entry.Service == s && e.entry.State == census.Ready && e.holdsModel(model) {
			return true
		}
	}
	return false
}

// pressure is the smoothed share of a service's engine capacity that is in use.
type pressure struct {
	value     float64
	updatedAt ident.Time
}

// measurePressure updates the pressure of each service.
func (t *Authority) measurePressure(now ident.Time) {
	for _, s := range t.layout.Services {
		if s.Engine == nil {
			continue
		}
		p := t.pressures[s.Name]
		factor := decay(now.Sub(p.updatedAt), pressureHalfLife)
		p.value, p.updatedAt = p.value*factor+t.shareInUse(s, now)*(1-factor), now
		t.pressures[s.Name] = p
	}
}

// shareInUse returns the share in use of the scarcest resource of a service's engines: adapter slots, batch slots or memory.
func (t *Authority) shareInUse(s layout.Service, now ident.Time) float64 {
	engines, slots, places, running := 0, 0, 0, 0
	var tokens ident.Tokens
	for _, e := range t.engines {
		if e.entry.Service != s.Name || len(e.entry.Models) == 0 || !e.usable(now, t.Params) || e.failures.recentlyUnreachable("", now) {
			continue
		}
		engines++
		running += len(e.running)
		places += e.adapterPlaces(s.Engine)
		tokens += e.reservedTokens
		for _, slot := range e.slots {
			if slot.pins > 0 || slot.probeID == "" && !slot.confirmed {
				slots++
			}
		}
	}
	if engines == 0 {
		return 1
	}
	n := float64(engines)
	return max(ratio(slots, float64(places)), ratio(running, n*float64(s.Engine.Slots)), ratio(int(tokens), n*float64(s.Engine.Memory)))
}

func ratio(used int, all float64) float64 {
	if all <= 0 {
		return 0
	}
	return float64(used) / all
}

// mayOrder reports whether an order may be sent to an engine now.
func (t *Authority) mayOrder(e *engine, now ident.Time) bool {
	return e.stateKnown && !e.orderPending && now >= e.ordersNotBefore && e.usable(now, t.Params) && t.mayCall(e, now)
}

// mostRequestedModel returns the model with the most requests per engine that holds it, among those that fit into memory.
func (t *Authority) mostRequestedModel(s layout.Service) (layout.Model, bool) {
	var best layout.Model
	highest, found := 0.0, false
	for _, m := range s.Engine.Models {
		if !s.Engine.CanHold(m.Name, false) {
			continue
		}
		holders, requests := 0, 0
		for _, e := range t.engines {
			if e.entry.Service == s.Name && e.holdsModel(m.Name) {
				holders++
				requests += e.countModelRuns(m.Name)
			}
		}
		for _, w := range t.waiting {
			if w.ask.Service == s.Name && w.ask.Ref.Model == m.Name {
				requests++
			}
		}
		if perHolder := float64(requests+1) / float64(holders+1); !found || perHolder > highest {
			best, highest, found = m, perHolder, true
		}
	}
	return best, found
}

func (e *engine) countModelRuns(model string) int {
	n := 0
	for _, r := range e.running {
		if r.ask.Ref.Model == model {
			n++
		}
	}
	return n
}

// allowModelLoad counts a model load and returns true if the weight store's rate permits one.
func (t *Authority) allowModelLoad(s layout.Service, now ident.Time) bool {
	recent := slices.DeleteFunc(t.modelLoads[s.Name], func(loadedAt ident.Time) bool { return now.Sub(loadedAt) > storeWindow })
	t.modelLoads[s.Name] = recent
	if s.Engine.LoadsPerSecond > 0 && float64(len(recent)+1) > s.Engine.LoadsPerSecond*storeWindow.Seconds()*storeRateShare {
		return false
	}
	t.modelLoads[s.Name] = append(recent, now)
	return true
}
