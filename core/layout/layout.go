// Package layout holds what operators configure as one whole: routes, services and limits on callers.
//
// A layout is replaced by one with a higher version and never edited in place, so it may be shared between goroutines.
package layout

import (
	"time"

	"shallotgap/core/ident"
)

// Version numbers a layout; operators choose it, and the highest is in force.
type Version uint64

// Kind tells what may be done with a request after it was sent to an endpoint.
type Kind uint8

// The kinds of requests.
const (
	Safe   Kind = iota + 1 // may run more than once
	Unsafe                 // runs at most once
	Stream                 // answered by events; like Unsafe unless the route is resumable
)

// Layout is one version of everything that operators configure.
type Layout struct {
	Version  Version   `json:"version"`
	Routes   []Route   `json:"routes"`
	Services []Service `json:"services"`
	Limits   Limits    `json:"limits"`
	// Source is the text that the operator sent; reads return it unchanged. Entry hosts don't get it.
	Source []byte `json:"source,omitempty"`
}

// Route sends the requests below a path prefix of a name to services.
type Route struct {
	Name   string `json:"name"`
	Host   string `json:"host"`
	Prefix string `json:"prefix"`
	Kind   Kind   `json:"kind"`
	// Timeout is the longest that a caller is kept waiting for the end of its answer.
	Timeout time.Duration `json:"timeout"`
	// Target is the time within which the answer, or its first event, should arrive.
	Target time.Duration `json:"target,omitempty"`
	// MaxGap is the longest pause between two events that still counts as on time.
	MaxGap time.Duration `json:"max-gap,omitempty"`
	// Silence is how long callers of a stream wait for its next event, the first one too, before they leave; 0 for as long
	// as they wait at all.
	Silence time.Duration `json:"silence,omitempty"`
	// Priority is 0 for the most urgent requests.
	Priority int     `json:"priority,omitempty"`
	Shares   []Share `json:"shares"`
	// Attempts bounds the endpoints that one request may be sent to.
	Attempts int `json:"attempts"`
	// Resumable streams may go on at another endpoint after their last whole event.
	Resumable bool `json:"resumable,omitempty"`
}

// Repeatable reports whether a request that may have run may be sent again.
func (r Route) Repeatable() bool { return r.Kind == Safe || (r.Kind == Stream && r.Resumable) }

// Share is the part of a route's requests that goes to a service.
type Share struct {
	Service ident.Service `json:"service"`
	Weight  float64       `json:"weight"`
}

// Service is a group of endpoints that serve the same requests.
type Service struct {
	Name       ident.Service `json:"name"`
	HealthPath string        `json:"health-path,omitempty"`
	// MaxConns bounds the connections to one endpoint from all hosts together.
	MaxConns int `json:"max-conns,omitempty"`
	// Engine is set for services whose endpoints run models.
	Engine *Engine `json:"engine,omitempty"`
}

// Engine describes the endpoints of a service that run models.
type Engine struct {
	// Slots is the number of requests in one batch.
	Slots int `json:"slots"`
	// Memory is what running requests and cached prompts of one endpoint share.
	Memory       ident.Tokens `json:"memory"`
	AdapterSlots int          `json:"adapter-slots"`
	// RoomMB is the memory for weights of base models and adapters together.
	RoomMB float64 `json:"room-mb,omitempty"`
	// LoadsPerSecond is what the weight store allows over all endpoints of the service; adapters don't count.
	LoadsPerSecond float64 `json:"loads-per-second,omitempty"`
	Models         []Model `json:"models"`
}

// Model is a base model of an engine.
type Model struct {
	Name     string `json:"name"`
	Adapters int    `json:"adapters,omitempty"`
	// WeightsMB is the size of its weights, LoadTime the time of a load from the store.
	WeightsMB float64       `json:"weights-mb,omitempty"`
	LoadTime  time.Duration `json:"load-time,omitempty"`
}

// Limits bound what callers may send.
type Limits struct {
	HeaderBytes   int           `json:"header-bytes"`
	BodyBytes     int64         `json:"body-bytes"`
	HeaderTimeout time.Duration `json:"header-timeout"`
	IdleTimeout   time.Duration `json:"idle-timeout"`
}

// Service returns the named service.
func (l *Layout) Service(name ident.Service) (Service, bool) {
	if l == nil {
		return Service{}, false
	}
	for _, s := range l.Services {
		if s.Name == name {
			return s, true
		}
	}
	return Service{}, false
}
