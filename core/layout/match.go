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

// NewRouter returns a router; l may be nil, which matches nothing.
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

// Match returns the route with the longest prefix that begins the path.
func (r *Router) Match(host, path string) (Route, bool) {
	for _, route := range r.byHost[bareHost(host)] {
		if strings.HasPrefix(path, route.Prefix) {
			return route, true
		}
	}
	return Route{}, false
}

// bareHost drops the port and the case of a Host header.
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

// Service picks the service of a request by its weight; the same key gets the same one.
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
	at := float64(mix(h.Sum32())) / float64(1<<32) * total
	for _, s := range r.Shares {
		if at -= s.Weight; at < 0 {
			return s.Service
		}
	}
	return r.Shares[len(r.Shares)-1].Service
}

// mix spreads the bits of a hash whose high bits change little between similar keys.
func mix(x uint32) uint32 {
	x ^= x >> 16
	x *= 0x85ebca6b
	x ^= x >> 13
	x *= 0xc2b2ae35
	return x ^ x>>16
}
