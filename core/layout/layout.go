// Package layout defines the configuration that operators replace as a whole: routes, services and limits on callers.
//
// A layout is replaced by one with a higher version and never modified, so goroutines may share it.
package layout

import (
	"time"

	"shallotgap/core/ident"
)

// Version is the version of a layout. Operators choose it; the layout with the highest version is in force.
type Version uint64

// Kind tells whether a request may be retried after it was sent to an endpoint.
type Kind uint8

// The kinds of requests.
const (
	Safe   Kind = iota + 1 // may run more than once
	Unsafe                 // must run at most once
	Stream                 // answered by a stream of events; at most once like Unsafe, unless the route is resumable
)

// Layout is one version of the configuration.
type Layout struct {
	Version  Version   `json:"version"`
	Routes   []Route   `json:"routes"`
	Services []Service `json:"services"`
	Limits   Limits    `json:"limits"`
	// Source is the text that the operator sent. The operators' API returns the text unchanged; entry hosts do not get it.
	Source []byte `json:"source,omitempty"`
}

// Route sends the requests for a host name and path prefix to services.
type Route struct {
	Name   string `json:"name"`
	Host   string `json:"host"`
	Prefix string `json:"prefix"`
	Kind   Kind   `json:"kind"`
	// Timeout is the maximum time from the request to the end of its answer.
	Timeout time.Duration `json:"timeout"`
	// Target is the time within which the answer, or the first event of a stream, should arrive.
	Target time.Duration `json:"target,omitempty"`
	// MaxGap is the longest pause between two events of a stream that counts as on time.
	MaxGap time.Duration `json:"max-gap,omitempty"`
	// Silence is the time without an event, also before the first one, after which the callers of a stream disconnect; 0 when they
	// wait until the timeout.
	Silence time.Duration `json:"silence,omitempty"`
	// Priority is 0 for the most urgent requests.
	Priority int     `json:"priority,omitempty"`
	Shares   []Share `json:"shares"`
	// Attempts is the maximum number of endpoints that one request is sent to.
	Attempts int `json:"attempts"`
	// Resumable is true when a stream may continue at another endpoint after its last complete event.
	Resumable bool `json:"resumable,omitempty"`
}

// Repeatable reports whether a request that may have run can be retried.
func (r Route) Repeatable() bool { return r.Kind == Safe || (r.Kind == Stream && r.Resumable) }

// Share is the weight of a service among the services of a route.
type Share struct {
	Service ident.Service `json:"service"`
	Weight  float64       `json:"weight"`
}

// Service is a group of endpoints that serve the same requests.
type Service struct {
	Name       ident.Service `json:"name"`
	HealthPath string        `json:"health-path,omitempty"`
	// MaxConns is the maximum number of connections to one endpoint, over all hosts.
	MaxConns int `json:"max-conns,omitempty"`
	// Engine is set if the service's endpoints run models.
	Engine *Engine `json:"engine,omitempty"`
}

// Engine holds the capacity and models of each engine of a service.
type Engine struct {
	// Slots is the number of requests in one batch.
	Slots int `json:"slots"`
	// Memory is the number of tokens that fit into the memory for running requests and cached prompts of one engine.
	Memory       ident.Tokens `json:"memory"`
	AdapterSlots int          `json:"adapter-slots"` // number of adapters that one engine holds at once
	// RoomMB is the memory of one engine for the weights of base models and adapters together, in MB.
	RoomMB float64 `json:"room-mb,omitempty"`
	// LoadsPerSecond is the rate limit of the weight store for loads of base models over all engines of the service; loads of
	// adapters don't count.
	LoadsPerSecond float64 `json:"loads-per-second,omitempty"`
	Models         []Model `json:"models"`
}

// Model is a base model of an engine.
type Model struct {
	Name string `json:"name"`
	// Adapters is the number of the model's adapters.
	Adapters int `json:"adapters,omitempty"`
	// WeightsMB is the size of the weights in MB, LoadTime the duration of a load from the store.
	WeightsMB float64 `json:"weights-mb,omitempty"`
	// AdapterMB is the size of the weights of one adapter in MB; layouts of earlier versions don't have it.
	AdapterMB float64       `json:"adapter-mb,omitempty"`
	LoadTime  time.Duration `json:"load-time,omitempty"`
}

// Limits bounds the requests of callers.
type Limits struct {
	HeaderBytes   int           `json:"header-bytes"`
	BodyBytes     int64         `json:"body-bytes"`
	HeaderTimeout time.Duration `json:"header-timeout"`
	IdleTimeout   time.Duration `json:"idle-timeout"`
}

// Service returns the service with the given name, if there is one; l may be nil.
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
