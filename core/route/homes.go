package route

import "shallotgap/core/ident"

// Homes ranks endpoints for adapters by rendezvous hashing, with the hashes of their names computed once.
type Homes struct {
	endpoints []ident.EndpointID
	keys      []uint64
}

// NewHomes returns the ranking over the given endpoints.
func NewHomes(endpoints []ident.EndpointID) *Homes {
	h := &Homes{endpoints: endpoints, keys: make([]uint64, 0, len(endpoints))}
	for _, e := range endpoints {
		h.keys = append(h.keys, keyOf(string(e)))
	}
	return h
}

// Rank returns the first n endpoints in the adapter's order for which takes is true. takes is asked only of those
// that would be among them.
func (h *Homes) Rank(a ident.Adapter, n int, takes func(ident.EndpointID) bool) []ident.EndpointID {
	if n <= 0 {
		return nil
	}
	best := make([]ident.EndpointID, 0, n+1)
	scores := make([]uint64, 0, n+1)
	key := keyOf(string(a))
	for i, e := range h.endpoints {
		score := mix(key ^ h.keys[i])
		if len(best) == n && score <= scores[n-1] {
			continue
		}
		if takes(e) {
			best, scores = insert(best, scores, e, score, n)
		}
	}
	return best
}
