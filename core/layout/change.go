package layout

import (
	"reflect"
	"slices"
)

// Change turns one version of a layout into a later one; it spares entry hosts the routes that stay as they are.
type Change struct {
	From Version `json:"from,omitempty"` // 0 for a change that holds the whole layout
	To   Version `json:"to"`
	// Routes are those that are new or differ, Removed the names of those that are gone.
	Routes   []Route   `json:"routes,omitempty"`
	Removed  []string  `json:"removed,omitempty"`
	Services []Service `json:"services"`
	Limits   Limits    `json:"limits"`
}

// Diff returns the change from one layout to another; old may be nil.
func Diff(old, next *Layout) Change {
	c := Change{To: next.Version, Services: next.Services, Limits: next.Limits}
	if old == nil {
		c.Routes = next.Routes
		return c
	}
	c.From = old.Version
	had := byName(old.Routes)
	for _, r := range next.Routes {
		if was, ok := had[r.Name]; !ok || !reflect.DeepEqual(was, r) {
			c.Routes = append(c.Routes, r)
		}
		delete(had, r.Name)
	}
	for name := range had {
		c.Removed = append(c.Removed, name)
	}
	slices.Sort(c.Removed)
	return c
}

// Apply returns the layout after a change; false when the change starts from another version.
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
		switch now, ok := changed[r.Name]; {
		case ok:
			next.Routes = append(next.Routes, now)
			delete(changed, r.Name)
		case !slices.Contains(c.Removed, r.Name):
			next.Routes = append(next.Routes, r)
		}
	}
	for _, r := range c.Routes {
		if _, left := changed[r.Name]; left {
			next.Routes = append(next.Routes, r)
		}
	}
	return next, true
}

func byName(list []Route) map[string]Route {
	m := make(map[string]Route, len(list))
	for _, r := range list {
		m[r.Name] = r
	}
	return m
}
