// Package book is the replicated state of a platform deployment: the layout in force and the adapters' newest versions.
package book

import (
	"shallotgap/core/ident"
	"shallotgap/core/layout"
	"shallotgap/core/wire"
)

// AdapterRef names an adapter of a base model; Adapter is empty for the model's own weights.
type AdapterRef struct {
	Model   string        `json:"model"`
	Adapter ident.Adapter `json:"adapter,omitempty"`
}

// WeightsVersion numbers the versions of a model's or an adapter's weights; it rises.
type WeightsVersion uint64

// Command is one entry of the log; exactly one field is set.
type Command struct {
	Layout *layout.Layout `json:"layout,omitempty"`
	Newest *Newest        `json:"newest,omitempty"`
}

// Newest announces a version of weights.
type Newest struct {
	Of      AdapterRef     `json:"of"`
	Version WeightsVersion `json:"version"`
}

// Book is the state after all applied commands.
type Book struct {
	Layout *layout.Layout
	// Newest are the versions that were announced.
	Newest map[AdapterRef]WeightsVersion
	// Changes counts the announcements that had an effect, so that a reader can tell whether it has them all.
	Changes uint64
}

// New returns the empty state.
func New() *Book { return &Book{Newest: map[AdapterRef]WeightsVersion{}} }

// Apply carries out one command and reports whether it changed anything.
func (b *Book) Apply(c Command) bool {
	switch {
	case c.Layout != nil:
		if b.Layout != nil && c.Layout.Version <= b.Layout.Version {
			return false
		}
		b.Layout = c.Layout
		return true
	case c.Newest != nil:
		if b.Newest[c.Newest.Of] >= c.Newest.Version {
			return false
		}
		b.Newest[c.Newest.Of] = c.Newest.Version
		b.Changes++
		return true
	}
	return false
}

// List returns the announced versions in no particular order.
func (b *Book) List() []Newest {
	list := make([]Newest, 0, len(b.Newest))
	for of, v := range b.Newest {
		list = append(list, Newest{Of: of, Version: v})
	}
	return list
}

// image is the form of a snapshot.
type image struct {
	Layout  *layout.Layout `json:"layout,omitempty"`
	Newest  []Newest       `json:"newest,omitempty"`
	Changes uint64         `json:"changes,omitempty"`
}

// Snapshot returns the state as bytes.
func (b *Book) Snapshot() ([]byte, error) {
	return wire.Marshal(image{Layout: b.Layout, Newest: b.List(), Changes: b.Changes})
}

// Restore returns the state of a snapshot; no bytes are the empty state.
func Restore(data []byte) (*Book, error) {
	b := New()
	if len(data) == 0 {
		return b, nil
	}
	var img image
	if err := wire.Unmarshal(data, &img); err != nil {
		return nil, err
	}
	b.Layout, b.Changes = img.Layout, img.Changes
	for _, n := range img.Newest {
		b.Newest[n.Of] = n.Version
	}
	return b, nil
}
