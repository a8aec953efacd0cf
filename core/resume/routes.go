package resume

import (
	"maps"
	"slices"
	"time"

	"shallotgap/core/ident"
	"shallotgap/core/layout"
)

// RouteKey identifies a route over the versions of the layout.
type RouteKey string

// KeyOf returns the key of a route.
func KeyOf(r layout.Route) RouteKey { return RouteKey(r.Host + r.Prefix) }

// RouteChange drops services from those to which a route has led.
type RouteChange struct {
	Route RouteKey        `json:"route"`
	Drop  []ident.Service `json:"drop"`
}

// routes holds the services to which the routes of streams have led lately, and the longest time of a stream under the layouts of that time. A
// stream may have begun at any of these services.
type routes struct {
	services map[RouteKey][]ident.Service
	life     time.Duration
}

// NoteLayout adds the services to which the routes of a layout that comes into force lead.
func (r *routes) NoteLayout(l *layout.Layout) {
	r.life = max(r.life, LifeOf(l))
	for key, services := range servicesOf(l) {
		list := append(slices.Clone(r.services[key]), services...)
		slices.Sort(list)
		r.services[key] = slices.Compact(list)
	}
}

// servicesOf returns the services to which the routes of streams lead in a layout.
func servicesOf(l *layout.Layout) map[RouteKey][]ident.Service {
	of := map[RouteKey][]ident.Service{}
	if l == nil {
		return of
	}
	for _, route := range l.Routes {
		if route.Kind != layout.Stream {
			continue
		}
		for _, s := range route.Shares {
			if s.Weight > 0 {
				of[KeyOf(route)] = append(of[KeyOf(route)], s.Service)
			}
		}
	}
	return of
}

// ServicesOf returns the services to which a route has led lately.
func (r *routes) ServicesOf(key RouteKey) []ident.Service { return r.services[key] }

// Life returns how long streams may last that began lately.
func (r *routes) Life() time.Duration { return max(r.life, minLife) }

// drop removes services from routes and reports whether that changed anything.
func (r *routes) drop(changes []RouteChange) bool {
	changed := false
	for _, c := range changes {
		former := r.services[c.Route]
		list := slices.DeleteFunc(slices.Clone(former), func(s ident.Service) bool { return slices.Contains(c.Drop, s) })
		changed = changed || len(list) != len(former)
		if r.services[c.Route] = list; len(list) == 0 {
			delete(r.services, c.Route)
		}
	}
	return changed
}

// RoutesSnapshot is the stored form of the routes.
type RoutesSnapshot struct {
	Services map[RouteKey][]ident.Service `json:"services,omitempty"`
	Life     time.Duration                `json:"life,omitempty"`
}

// Routes returns the state of the routes.
func (b *Builds) Routes() RoutesSnapshot {
	return RoutesSnapshot{Services: maps.Clone(b.services), Life: b.life}
}

// RestoreRoutes sets the state that a snapshot was taken from. Snapshots of earlier releases hold none; the layout in force is used then.
func (b *Builds) RestoreRoutes(s RoutesSnapshot, l *layout.Layout) {
	maps.Copy(b.services, s.Services)
	b.life = s.Life
	b.NoteLayout(l)
}

// routeService is a service to which a route has led.
type routeService struct {
	route   RouteKey
	service ident.Service
}

// StepRoutes returns how the routes have to change: a service to which a route has not led for the life of a stream is dropped, and a shorter
// life counts once all streams have ended that began before it.
func (w *Watch) StepRoutes(l *layout.Layout, b *Builds, now ident.Time) []Command {
	life := b.Life()
	current := servicesOf(l)
	var c Command
	for _, key := range slices.Sorted(maps.Keys(b.services)) {
		var drop []ident.Service
		for _, s := range b.services[key] {
			k := routeService{route: key, service: s}
			if _, seen := w.ledAt[k]; !seen || slices.Contains(current[key], s) {
				w.ledAt[k] = now
			}
			if now.Sub(w.ledAt[k]) > life {
				drop = append(drop, s)
				delete(w.ledAt, k)
			}
		}
		if len(drop) > 0 {
			c.Routes = append(c.Routes, RouteChange{Route: key, Drop: drop})
		}
	}
	if next := LifeOf(l); next >= life {
		w.longAt = now
	} else if w.longAt == 0 {
		w.longAt = now // an earlier leader has seen the change
	} else if now.Sub(w.longAt) > life {
		c.Life, w.longAt = next, now
	}
	if len(c.Routes) == 0 && c.Life == 0 {
		return nil
	}
	return []Command{c}
}
