package layout

import (
	"hash/fnv"
	"net/netip"
	"slices"
	"strings"

	"shallotgap/core/ident"
)

// Router finds the route of a request in one layout.
type Router struct {
	Layout *Layout
	byHost map[string][]Route // longest prefix first
}

// NewRouter returns a router for a layout. With a nil layout, no request matches.
func NewRouter(l *Layout) *Router {
	r := &Router{Layout: l, byHost: map[string][]Route{}}
	if l == nil {
		return r
	}
	for _, route := range l.Routes {
		host := strings.ToLower(route.Host)
		r.byHost[host] = append(r.byHost[host], route)
	}
	for _, list := range r.byHost {
		slices.SortFunc(list, func(a, b Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	return r
}

// Match returns the route of the host with the longest prefix of the path.
func (r *Router) Match(host, path string) (Route, bool) {
	for _, route := range r.byHost[bareHost(host)] {
		if strings.HasPrefix(path, route.Prefix) {
			return route, true
		}
	}
	return Route{}, false
}

// bareHost returns the value of a Host header in lower case and without the port.
func bareHost(host string) string {
	host = strings.ToLower(host)
	if name, _, found := strings.Cut(host, ":"); found && !strings.Contains(name, "[") {
		return name
	}
	if a, err := netip.ParseAddrPort(host); err == nil {
		return a.Addr().String()
	}
	return host
}

// Service chooses the service of a request at random by weight; the same key always gets the same service.
func (r Route) Service(key string) ident.Service {
	if len(r.Shares) == 1 {
		return r.Shares[0].Service
	}
	total := 0.0
	for _, s := range r.Shares {
		total += s.Weight
	}
	h := fnv.New32a()
	_, _ = h.Write([]byte(key))
	target := float64(mix(h.Sum32())) / float64(1<<32) * total
	for _, s := range r.Shares {
		if target -= s.Weight; target < 0 {
			return s.Service
		}
	}
	return r.Shares[len(r.Shares)-1].Service
}

// mix is the finalizer of MurmurHash3. Without it, similar keys would hash to similar high bits and so to the same service.
func mix(x uint32) uint32 {
	x ^= x >> 16
	x *= 0x85ebca6b
	x ^= x >> 13
	x *= 0xc2b2ae35
	return x ^ x>>16
}
