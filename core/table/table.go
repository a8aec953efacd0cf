// Package table provides an ordered table of entities and a map of bounded size, both generic.
package table

import (
	"cmp"
	"iter"
	"slices"
)

// Table maps keys to entities. It iterates in key order, so that the replay of a recorded trace is deterministic.
// Keys are sorted lazily: inserting n keys and iterating once costs O(n log n).
type Table[K cmp.Ordered, V any] struct {
	items map[K]V
	order []K
	dirty bool
}

// New returns an empty table.
func New[K cmp.Ordered, V any]() *Table[K, V] {
	return &Table[K, V]{items: map[K]V{}}
}

// Len returns the number of entities.
func (t *Table[K, V]) Len() int { return len(t.items) }

// Get returns the entity under k and whether there is one.
func (t *Table[K, V]) Get(k K) (V, bool) {
	v, ok := t.items[k]
	return v, ok
}

// Put stores v under k.
func (t *Table[K, V]) Put(k K, v V) {
	if _, ok := t.items[k]; !ok {
		t.order = append(t.order, k)
		t.dirty = true
	}
	t.items[k] = v
}

// Delete removes the entity under k, if there is one.
func (t *Table[K, V]) Delete(k K) {
	if _, ok := t.items[k]; !ok {
		return
	}
	delete(t.items, k)
	t.sort()
	if i, found := slices.BinarySearch(t.order, k); found {
		t.order = slices.Delete(t.order, i, i+1)
	}
}

// All iterates over the entities in key order. The table must not change during the iteration.
func (t *Table[K, V]) All() iter.Seq2[K, V] {
	t.sort()
	return func(yield func(K, V) bool) {
		for _, k := range t.order {
			if !yield(k, t.items[k]) {
				return
			}
		}
	}
}

// Keys returns a sorted copy of the keys.
func (t *Table[K, V]) Keys() []K {
	t.sort()
	return slices.Clone(t.order)
}

func (t *Table[K, V]) sort() {
	if t.dirty {
		slices.Sort(t.order)
		t.dirty = false
	}
}
