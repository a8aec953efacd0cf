// Package book is the replicated state of a platform deployment: the layout in force and the newest versions of weights.
package book

import (
	"shallotgap/core/census"
	"shallotgap/core/ident"
	"shallotgap/core/layout"
	"shallotgap/core/limit"
	"shallotgap/core/poison"
	"shallotgap/core/resume"
	"shallotgap/core/wire"
)

// AdapterRef identifies an adapter of a base model; Adapter is empty for the base model itself.
type AdapterRef struct {
	Model   string        `json:"model"`
	Adapter ident.Adapter `json:"adapter,omitempty"`
}

// WeightsVersion is the version number of the weights of a base model or an adapter; later versions have higher numbers.
type WeightsVersion uint64

// Command is an entry of the replicated log; exactly one field is set.
type Command struct {
	Layout *layout.Layout `json:"layout,omitempty"`
	Newest *Newest        `json:"newest,omitempty"`
	// Poison changes the suspected and blocked parts of prompts.
	Poison *poison.Command `json:"poison,omitempty"`
	// Limits changes the limits that endpoints ask for.
	Limits *limit.Command `json:"limits,omitempty"`
	// Builds changes the builds of a service that may have written to streams.
	Builds *resume.Command `json:"builds,omitempty"`
	// Departed records that an endpoint drains or has left. Hosts of earlier versions ignore it.
	Departed *census.Departure `json:"departed,omitempty"`
}

// Newest announces a new version of the weights of a base model or an adapter.
type Newest struct {
	Of      AdapterRef     `json:"of"`
	Version WeightsVersion `json:"version"`
}

// Book is the state after all applied commands.
type Book struct {
	Layout *layout.Layout
	// Newest holds the newest announced version of each base model and adapter.
	Newest map[AdapterRef]WeightsVersion
	// Changes is the number of announcements that had an effect. Readers compare the number to find out
	// whether they have missed an announcement.
	Changes uint64
	// Poison holds the parts of prompts that are suspected to crash engines or are blocked for it.
	Poison *poison.Table
	// Limits holds the rates that endpoints ask for.
	Limits *limit.Table
	// Builds holds the builds of each service that may have written to streams lately.
	Builds *resume.Builds
	// Departures are the endpoints that drain or have left.
	Departures *census.Departures
}

// New returns the empty state.
func New() *Book {
	return &Book{Newest: map[AdapterRef]WeightsVersion{}, Poison: poison.NewTable(), Limits: limit.NewTable(), Builds: resume.NewBuilds(), Departures: census.NewDepartures(nil)}
}

// Apply carries out a command and reports whether it changed the state.
func (b *Book) Apply(c Command) bool {
	switch {
	case c.Layout != nil:
		if b.Layout != nil && c.Layout.Version <= b.Layout.Version {
			return false
		}
		b.Layout = c.Layout
		b.Builds.NoteLayout(c.Layout)
		return true
	case c.Newest != nil:
		if b.Newest[c.Newest.Of] >= c.Newest.Version {
			return false
		}
		b.Newest[c.Newest.Of] = c.Newest.Version
		b.Changes++
		return true
	case c.Poison != nil:
		return b.Poison.Apply(*c.Poison)
	case c.Limits != nil:
		return b.Limits.Apply(*c.Limits)
	case c.Builds != nil:
		return b.Builds.Apply(*c.Builds)
	case c.Departed != nil:
		return b.Departures.Apply(*c.Departed)
	}
	return false
}

// List returns the newest announced versions in no particular order.
func (b *Book) List() []Newest {
	list := make([]Newest, 0, len(b.Newest))
	for of, v := range b.Newest {
		list = append(list, Newest{Of: of, Version: v})
	}
	return list
}

// snapshot is the stored form of a Book.
type snapshot struct {
	Layout  *layout.Layout  `json:"layout,omitempty"`
	Newest  []Newest        `json:"newest,omitempty"`
	Changes uint64          `json:"changes,omitempty"`
	Poison  poison.Snapshot `json:"poison,omitempty"`
	Limits  limit.Snapshot  `json:"limits,omitempty"`
	Builds  resume.Snapshot `json:"builds,omitempty"`
	// Routes are the services to which routes have led lately.
	Routes resume.RoutesSnapshot `json:"routes,omitzero"`
	// Departures are missing in the snapshots of earlier versions, which ignore them.
	Departures []census.Departure `json:"departures,omitempty"`
}

// Snapshot returns the encoded state.
func (b *Book) Snapshot() ([]byte, error) {
	return wire.Marshal(snapshot{Layout: b.Layout, Newest: b.List(), Changes: b.Changes, Poison: b.Poison.Snapshot(), Limits: b.Limits.Snapshot(), Builds: b.Builds.Snapshot(), Routes: b.Builds.Routes(), Departures: b.Departures.List()})
}

// Restore returns the state that a snapshot was taken from; empty data gives the empty state.
func Restore(data []byte) (*Book, error) {
	b := New()
	if len(data) == 0 {
		return b, nil
	}
	var snap snapshot
	if err := wire.Unmarshal(data, &snap); err != nil {
		return nil, err
	}
	b.Layout, b.Changes, b.Poison, b.Limits = snap.Layout, snap.Changes, poison.Restore(snap.Poison), limit.Restore(snap.Limits)
	b.Builds = resume.Restore(snap.Builds)
	b.Departures = census.NewDepartures(snap.Departures)
	b.Builds.RestoreRoutes(snap.Routes, snap.Layout)
	for _, n := range snap.Newest {
		b.Newest[n.Of] = n.Version
	}
	return b, nil
}
