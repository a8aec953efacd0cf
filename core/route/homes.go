package route

import "shallotgap/core/ident"

// Homes ranks the endpoints for each adapter by rendezvous hashing; an adapter's homes are the first endpoints in its ranking.
// The hashes of the endpoint names are computed once.
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

// Rank returns the first n endpoints in the adapter's ranking for which accepts is true. accepts is not called for an endpoint
// that ranks after n endpoints already accepted.
func (h *Homes) Rank(a ident.Adapter, n int, accepts func(ident.EndpointID) bool) []ident.EndpointID {
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
		if accepts(e) {
			best, scores = insert(best, scores, e, score, n)
		}
	}
	return best
}
