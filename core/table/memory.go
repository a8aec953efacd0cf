package table

import "slices"

// BoundedMap is a map of at most Limit keys; adding a further key removes the oldest.
type BoundedMap[K comparable, V any] struct {
	Limit int
	items map[K]V
	order []K
}

// NewBoundedMap returns an empty map for at most limit keys.
func NewBoundedMap[K comparable, V any](limit int) *BoundedMap[K, V] {
	return &BoundedMap[K, V]{Limit: limit, items: map[K]V{}}
}

// Get returns the value under k and whether there is one.
func (m *BoundedMap[K, V]) Get(k K) (V, bool) {
	v, ok := m.items[k]
	return v, ok
}

// Put stores v under k, which must not be in the map.
func (m *BoundedMap[K, V]) Put(k K, v V) {
	m.items[k] = v
	m.order = append(m.order, k)
	if len(m.order) > m.Limit {
		delete(m.items, m.order[0])
		m.order = m.order[1:]
	}
}

// Keys returns a copy of the keys, oldest first.
func (m *BoundedMap[K, V]) Keys() []K { return slices.Clone(m.order) }

// Values returns the values, oldest first, in the order of Keys.
func (m *BoundedMap[K, V]) Values() []V {
	list := make([]V, 0, len(m.order))
	for _, k := range m.order {
		list = append(list, m.items[k])
	}
	return list
}

// Restore stores the values under their keys, oldest first. Both slices have the same length.
func (m *BoundedMap[K, V]) Restore(keys []K, values []V) {
	for i, k := range keys {
		m.Put(k, values[i])
	}
}
