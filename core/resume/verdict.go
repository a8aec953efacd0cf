package resume

import (
	"slices"

	"shallotgap/core/ident"
)

// Query asks at which build a stream may go on.
type Query struct {
	// Attempt brought the first event of the stream; empty if the caller does not say.
	Attempt Attempt `json:"attempt,omitempty"`
	// Service is the service that the route names for the request.
	Service ident.Service `json:"service"`
	// Route is the route of the request, Services are those to which it leads now.
	Route    RouteKey        `json:"route,omitempty"`
	Services []ident.Service `json:"services,omitempty"`
}

// Source tells from what a verdict was drawn.
type Source string

// The sources of verdicts.
const (
	FromAttempt   Source = "attempt"    // the attempt is known
	FromOnlyBuild Source = "only-build" // only one build of one service may have written to streams of the route
	FromNothing   Source = "nothing"    // several builds may have written to the stream
)

// Verdict tells at which build a stream may go on.
type Verdict struct {
	// Known is false if the build that began the stream is not known. The stream must not go on then.
	Known   bool          `json:"known,omitempty"`
	Service ident.Service `json:"service,omitempty"`
	Build   ident.Build   `json:"build,omitempty"`
	Source  Source        `json:"source"`
}

// Verdict returns at which build a stream may go on. Endpoints that name no build cannot be told apart, so their streams go on only
// where no endpoint of the service names one. An attempt that nobody knows may have begun at any service to which its route has led lately.
func (q Query) Verdict(t *Table, b *Builds, now ident.Time) Verdict {
	r, found := t.Get(q.Attempt, now)
	if found && !r.Unclear && (r.Build != "" || !b.Mixed(r.Service)) {
		return Verdict{Known: true, Service: r.Service, Build: r.Build, Source: FromAttempt}
	}
	services := append([]ident.Service{q.Service}, q.Services...)
	services = append(services, b.ServicesOf(q.Route)...)
	switch {
	case found && r.Service == "":
		return Verdict{Source: FromNothing}
	case found:
		services = append(services, r.Service)
	}
	slices.Sort(services)
	only := Verdict{Source: FromNothing}
	for _, s := range slices.Compact(services) {
		for _, build := range b.Of(s) {
			if only.Known {
				return Verdict{Source: FromNothing}
			}
			only = Verdict{Known: true, Service: s, Build: build, Source: FromOnlyBuild}
		}
	}
	return only
}
