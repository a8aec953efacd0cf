package layout

import (
	"reflect"
	"slices"
)

// Change is the difference between two versions of a layout. It holds only the routes that differ, so that entry hosts need not
// receive the unchanged ones.
type Change struct {
	From Version `json:"from,omitempty"` // 0 when the change holds the whole layout
	To   Version `json:"to"`
	// Routes are the new and modified routes, Removed the names of the removed ones.
	Routes   []Route   `json:"routes,omitempty"`
	Removed  []string  `json:"removed,omitempty"`
	Services []Service `json:"services"`
	Limits   Limits    `json:"limits"`
}

// Diff returns the change from old to next; old may be nil. A change names routes, so it holds the whole layout if two routes of either one have the
// same name.
func Diff(old, next *Layout) Change {
	c := Change{To: next.Version, Services: next.Services, Limits: next.Limits}
	if old == nil || !hasUniqueNames(old.Routes) || !hasUniqueNames(next.Routes) {
		c.Routes = next.Routes
		return c
	}
	c.From = old.Version
	oldRoutes := byName(old.Routes)
	for _, r := range next.Routes {
		if oldRoute, ok := oldRoutes[r.Name]; !ok || !reflect.DeepEqual(oldRoute, r) {
			c.Routes = append(c.Routes, r)
		}
		delete(oldRoutes, r.Name)
	}
	for name := range oldRoutes {
		c.Removed = append(c.Removed, name)
	}
	slices.Sort(c.Removed)
	return c
}

// Apply returns the layout after a change, and false when the change starts from a version other than that of old.
func (c Change) Apply(old *Layout) (*Layout, bool) {
	next := &Layout{Version: c.To, Services: c.Services, Limits: c.Limits}
	if c.From == 0 {
		next.Routes = c.Routes
		return next, true
	}
	if old == nil || old.Version != c.From {
		return nil, false
	}
	changed := byName(c.Routes)
	for _, r := range old.Routes {
		switch changedRoute, ok := changed[r.Name]; {
		case ok:
			next.Routes = append(next.Routes, changedRoute)
			delete(changed, r.Name)
		case !slices.Contains(c.Removed, r.Name):
			next.Routes = append(next.Routes, r)
		}
	}
	for _, r := range c.Routes {
		if _, isNew := changed[r.Name]; isNew {
			next.Routes = append(next.Routes, r)
		}
	}
	return next, true
}

func hasUniqueNames(list []Route) bool { return len(byName(list)) == len(list) }

// byName returns the routes of a list by their names.
func byName(list []Route) map[string]Route {
	m := make(map[string]Route, len(list))
	for _, r := range list {
		m[r.Name] = r
	}
	return m
}
