package resume

import "shallotgap/core/ident"

// Query asks at which build a stream may go on.
type Query struct {
	// Attempt brought the first event of the stream; empty if the caller does not say.
	Attempt Attempt `json:"attempt,omitempty"`
	// Service is the service that the route names for the request.
	Service ident.Service `json:"service"`
}

// Source tells from what a verdict was drawn.
type Source string

// The sources of verdicts.
const (
	FromAttempt   Source = "attempt"    // the attempt is known
	FromOnlyBuild Source = "only-build" // only one build of the service may have written to streams
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
// where no endpoint of the service names one.
func (q Query) Verdict(t *Table, b *Builds, now ident.Time) Verdict {
	r, found := t.Get(q.Attempt, now)
	builds := b.Of(q.Service)
	switch {
	case found && !r.Unclear && (r.Build != "" || !b.Mixed(r.Service)):
		return Verdict{Known: true, Service: r.Service, Build: r.Build, Source: FromAttempt}
	case (!found || r.Service == q.Service) && len(builds) == 1:
		return Verdict{Known: true, Service: q.Service, Build: builds[0], Source: FromOnlyBuild}
	}
	return Verdict{Source: FromNothing}
}
