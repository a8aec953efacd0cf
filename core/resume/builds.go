package resume

import (
	"maps"
	"slices"
	"time"

	"shallotgap/core/census"
	"shallotgap/core/ident"
)

// maxBuilds limits the builds of a service, as anyone may announce endpoints.
const maxBuilds = 64

// Command changes the builds of a service.
type Command struct {
	Service ident.Service `json:"service"`
	Add     []ident.Build `json:"add,omitempty"`
	Drop    []ident.Build `json:"drop,omitempty"`
	// Routes drops services to which routes lead no more, Life is the longest time of a stream from now on. A command that sets them sets none
	// of the others.
	Routes []RouteChange `json:"routes,omitempty"`
	Life   time.Duration `json:"life,omitempty"`
}

// Builds is the replicated table of the builds of each service that may have written to streams lately. It has no clock: equal
// commands lead to equal tables.
type Builds struct {
	routes
	of map[ident.Service][]ident.Build
}

// NewBuilds returns an empty table.
func NewBuilds() *Builds {
	return &Builds{routes: routes{services: map[RouteKey][]ident.Service{}}, of: map[ident.Service][]ident.Build{}}
}

// Of returns the builds of a service, in order.
func (b *Builds) Of(s ident.Service) []ident.Build { return b.of[s] }

// Has reports whether a build of a service is in the table.
func (b *Builds) Has(s ident.Service, build ident.Build) bool {
	return slices.Contains(b.of[s], build)
}

// Mixed reports whether streams of a service may have been written by different builds.
func (b *Builds) Mixed(s ident.Service) bool { return len(b.of[s]) > 1 }

// Apply carries out a command and reports whether it changed the table.
func (b *Builds) Apply(c Command) bool {
	if c.Service == "" {
		changed := b.drop(c.Routes) || (c.Life != 0 && c.Life != b.life)
		if c.Life != 0 {
			b.life = c.Life
		}
		return changed
	}
	former := b.of[c.Service]
	list := slices.DeleteFunc(slices.Clone(former), func(x ident.Build) bool { return slices.Contains(c.Drop, x) })
	for _, x := range c.Add {
		if len(list) < maxBuilds {
			list = append(list, x)
		}
	}
	slices.Sort(list)
	list = slices.Compact(list)
	if len(list) == 0 {
		delete(b.of, c.Service)
	} else {
		b.of[c.Service] = list
	}
	return !slices.Equal(former, list)
}

// Snapshot is the stored form of the table.
type Snapshot map[ident.Service][]ident.Build

// Snapshot returns the state of the table.
func (b *Builds) Snapshot() Snapshot { return maps.Clone(b.of) }

// Restore returns the table that a snapshot was taken from.
func Restore(s Snapshot) *Builds {
	b := NewBuilds()
	maps.Copy(b.of, s)
	return b
}

// Watch follows which builds the known endpoints run, and says how the replicated table has to change. Only the leader uses it.
type Watch struct {
	seenAt map[serviceBuild]ident.Time
	ledAt  map[routeService]ident.Time // when a route last led to a service
	longAt ident.Time                  // when the layout last allowed streams of the longest life
}

type serviceBuild struct {
	service ident.Service
	build   ident.Build
}

// NewWatch returns a watch for a leader that starts now.
func NewWatch() *Watch {
	return &Watch{seenAt: map[serviceBuild]ident.Time{}, ledAt: map[routeService]ident.Time{}}
}

// Step compares the known endpoints with the table. A build that no endpoint has had for life is dropped: no stream lasts longer.
func (w *Watch) Step(endpoints []census.Entry, b *Builds, life time.Duration, now ident.Time) []Command {
	commands := map[ident.Service]*Command{}
	of := func(s ident.Service) *Command {
		if commands[s] == nil {
			commands[s] = &Command{Service: s}
		}
		return commands[s]
	}
	for _, e := range endpoints {
		add := of(e.Service)
		switch {
		case b.Has(e.Service, e.Build), slices.Contains(add.Add, e.Build):
		case len(b.Of(e.Service))+len(add.Add) < maxBuilds:
			add.Add = append(add.Add, e.Build)
		default:
			continue
		}
		w.seenAt[serviceBuild{service: e.Service, build: e.Build}] = now
	}
	for s, builds := range b.of {
		for _, build := range builds {
			key := serviceBuild{service: s, build: build}
			if _, seen := w.seenAt[key]; !seen {
				w.seenAt[key] = now // an earlier leader has seen it
			}
			if now.Sub(w.seenAt[key]) > life {
				of(s).Drop = append(of(s).Drop, build)
				delete(w.seenAt, key)
			}
		}
	}
	var list []Command
	for _, s := range slices.Sorted(maps.Keys(commands)) {
		if c := commands[s]; len(c.Add)+len(c.Drop) > 0 {
			list = append(list, *c)
		}
	}
	return list
}
