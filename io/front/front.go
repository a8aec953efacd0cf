// Package front is the request path of an entry host: it receives callers' requests, proxies them to endpoints and
// forwards the responses. For engines it first requests a grant, the permission to run a request on a certain engine,
// from the authority, which is the leader among the control hosts. For plain services it chooses the endpoint itself.
package front

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"shallotgap/core/book"
	"shallotgap/core/census"
	"shallotgap/core/grace"
	"shallotgap/core/grant"
	"shallotgap/core/heed"
	"shallotgap/core/ident"
	"shallotgap/core/layout"
	"shallotgap/core/limit"
	"shallotgap/core/pick"
	"shallotgap/core/poison"
	"shallotgap/core/resume"
	"shallotgap/io/calls"
	"shallotgap/io/clock"
	"shallotgap/io/dial"
	"shallotgap/io/link"
	"shallotgap/io/logs"
	"shallotgap/io/metric"
	"shallotgap/io/reach"
)

// Call holds the decoded headers of a caller's request.
type Call struct {
	// ID is the caller's id of this attempt.
	ID string
	// Timeout is how long the caller waits for the response; 0 if the caller sent no deadline.
	Timeout time.Duration
	// Ref is the model or adapter of a request for an engine.
	Ref book.AdapterRef
	// Prompt is the number of prompt tokens, Output the largest number of tokens to generate.
	Prompt, Output ident.Tokens
	// Parts are the sections of the prompt, by which the authority estimates what an engine has in its prefix cache.
	Parts []grant.Part
	// Caller is the identity of the caller.
	Caller string
	// LastEventID is the id of the last event that the caller received; the stream resumes after this event.
	LastEventID string
	// Resumes is the attempt that brought the first event of the stream that the request takes up again; empty if the caller names none.
	Resumes resume.Attempt
}

// Target holds the values of the headers that a request to an endpoint carries.
type Target struct {
	Instance ident.Instance
	// Version is the adapter version that the endpoint must check; 0 for no check.
	Version book.WeightsVersion
	// Timeout is how long the caller still waits for the response.
	Timeout time.Duration
	// LastEventID is the id of the last event forwarded to the caller; empty for a stream from its beginning.
	LastEventID string
	// Engine is true for an endpoint that runs a model.
	Engine bool
	// Priority orders requests on an engine; 0 is the most urgent.
	Priority int
}

// Verdict holds the decoded headers of an endpoint's response.
type Verdict struct {
	// NotRun is true when the endpoint states that it did not run the request.
	NotRun bool
	// Mismatched is true when the response belongs to another request.
	Mismatched bool
	// Authentic is true when the response has the endpoint's signature and its body was not re-encoded on the way.
	Authentic bool
	// Load is the load that the endpoint reported; nil for none.
	Load *pick.Load
	// Limit is what the endpoint says about the rate of requests that it takes.
	Limit limit.Signal
	// Brittle is how many requests the endpoint can reject in a second, if IsBrittle is true. BadHeader quotes values that were not understood.
	Brittle   heed.Brittle
	IsBrittle bool
	BadHeader string
}

// Dialect decodes and encodes the protocol headers of callers and endpoints.
type Dialect interface {
	// Call decodes a request's headers.
	Call(r *http.Request) (Call, error)
	// Outgoing returns the request headers for an endpoint: those of the caller, without hop-by-hop headers, and with the
	// system's own headers set from t. A caller can't set the latter.
	Outgoing(h http.Header, t Target) http.Header
	// Greeting returns the request that verifies that an instance of an engine serves a connection.
	Greeting(i ident.Instance) *dial.Greeting
	// Incoming returns the headers of an endpoint's response to forward to the caller.
	Incoming(h http.Header) http.Header
	// Said decodes the state of its endpoint that a response reports, for any request.
	Said(status int, h http.Header) heed.Said
	// Verdict decodes the headers of a response to the request with the given id.
	Verdict(id string, status int, h http.Header) Verdict
}

// Config holds the settings of an entry host.
type Config struct {
	Self   ident.HostID
	Domain ident.DomainID
	// Seeds are the hosts to link to first.
	Seeds []ident.HostID
	// Links accepts links from other hosts, whose settings may name this host as a seed; nil if it accepts none. LinkAddress is
	// the address at which they reach it.
	Links       net.Listener
	LinkAddress ident.HostID
	// Network opens the host's links; nil for a link.Mesh.
	Network link.Opener
	// Paths sends requests to endpoints; nil for a client that Run keeps running.
	Paths *reach.Client
	// Address is the address for callers that this host announces.
	Address string
	Dialect Dialect
	// RetryRatio, RetryExtra and RetryWindow set the retry budget of each plain service over all entry hosts: in any
	// window, a ratio of the requests and a constant number more may be retried.
	RetryRatio  float64
	RetryExtra  int
	RetryWindow time.Duration
}

// Intervals and timeouts of an entry host.
const (
	presenceInterval = 400 * time.Millisecond
	pickerRetention  = 60 * time.Second // observations of an endpoint are dropped after this time without a request to it
	// A request that arrives before the first layout waits for the layout for at most its own timeout divided by
	// layoutWaitDivisor.
	layoutWaitDivisor = 4
	defaultLayoutWait = time.Second // wait for the first layout, for requests without a deadline
)

// Front is an entry host.
type Front struct {
	logs.Common
	Config
	*calls.Forwarder
	Meter *metric.Meter

	mesh         link.Network
	ownPaths     bool // Run keeps Paths running
	router       atomic.Pointer[layout.Router]
	layoutLoaded chan struct{}              // closed when the first layout has arrived
	stop         atomic.Pointer[grace.Stop] // nil until Drain is called
	// ending is done when this host ends its requests; endRequests does that.
	ending      context.Context
	endRequests context.CancelCauseFunc

	mu             sync.Mutex
	census         *census.Follower
	picker         *pick.Picker
	newestVersions map[book.AdapterRef]book.WeightsVersion
	versionChanges uint64 // number of adapter version changes applied
	fetch          pendingFetch
	controlStatus  map[ident.HostID]link.Status
	operators      map[ident.HostID]string // where linked control hosts take the calls of operators
	controlHosts   []ident.HostID          // from controlStatus; never modified in place
	leader         ident.HostID
	leaderHeardAt  ident.Time   // when the leader last sent a status
	fallback       ident.HostID // see calls.Forwarder.SetFallback
	term           ident.Term
	entryHosts     int             // number of ready entry hosts, from knownHosts
	knownHosts     limit.Peak      // of the counts in statuses
	poison         *poison.Table   // the suspected and blocked parts of prompts
	written        *poison.Written // the parts that engines wrote on lately for this host
	evidence       *poison.Evidence
	limits         *hostLimits
	heed           *heed.Table // what endpoints say of themselves
	permitTimes    map[ident.Service]permitTimes
	grantRequests  map[grant.ID]*grantRequest
	lastServed     map[servedKey]servedPlace       // the last grant of each adapter of a service
	retryBudgets   map[ident.Service]*grant.Budget // retry budgets of plain services
	sendCounts     map[ident.Service]*grant.Budget // first sends to engines and retries, reported to a new authority
	streams        *resume.Table                   // builds that wrote to the streams of this host
	grantSeq       uint64                          // number of the latest grant request; part of its id, as is startedAt
	startedAt      ident.Time
}

// New returns an entry host; Run starts it.
func New(common logs.Common, meter *metric.Meter, c Config) *Front {
	f := &Front{
		Common: common, Config: c, Meter: meter, layoutLoaded: make(chan struct{}), census: census.NewFollower(), poison: poison.NewTable(), written: poison.NewWritten(), evidence: poison.NewEvidence(), picker: pick.New(c.Domain),
		limits: newHostLimits(), heed: heed.NewTable(), permitTimes: map[ident.Service]permitTimes{}, newestVersions: map[book.AdapterRef]book.WeightsVersion{}, controlStatus: map[ident.HostID]link.Status{}, operators: map[ident.HostID]string{}, grantRequests: map[grant.ID]*grantRequest{},
		lastServed: map[servedKey]servedPlace{}, retryBudgets: map[ident.Service]*grant.Budget{}, sendCounts: map[ident.Service]*grant.Budget{}, streams: resume.NewTable(resume.LifeOf(nil), resume.Capacity), startedAt: clock.Boot(), entryHosts: 1,
	}
	f.ending, f.endRequests = context.WithCancelCause(context.Background())
	f.ownPaths = c.Paths == nil
	if f.ownPaths {
		f.Paths = reach.New(common, reach.Config{Greeting: func(i ident.Instance) *dial.Greeting { return c.Dialect.Greeting(i) }, Said: func(status int, h http.Header) heed.Said { return c.Dialect.Said(status, h) }, Meter: meter})
	}
	f.Paths.OnFaults(f.sendPresence)
	f.Paths.SetLister(f.listEndpoints)
	f.Paths.SetLeaves(f.leaves)
	f.Paths.OnSaid(f.reportSaid)
	f.router.Store(layout.NewRouter(nil))
	f.Forwarder = calls.New(calls.Config{Send: func(to ident.HostID, m link.Message) bool { return f.mesh.Send(to, m) }})
	f.mesh = c.Network.Open(common, link.Config{Self: link.Hello{Host: c.Self, Domain: c.Domain, Address: c.LinkAddress}, Handler: f, Listener: c.Links, InitialMessages: f.initialMessages, Relay: f.Paths})
	for _, h := range c.Seeds {
		f.mesh.Target(h)
	}
	return f
}

// Run keeps the links to control hosts open and announces this host until the context ends.
func (f *Front) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return f.mesh.Run(ctx) })
	if f.ownPaths {
		group.Go(func() error { return f.Paths.Run(ctx) })
	}
	group.Go(func() error {
		ticker := time.NewTicker(presenceInterval)
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return nil
			case <-ticker.C:
				f.tick()
			}
		}
	})
	return group.Wait()
}

// tick announces this host, drops expired endpoints and grants, and updates the connection metrics.
func (f *Front) tick() {
	f.sendPresence()
	now := clock.Boot()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.Follow(f.leader, now)
	f.census.Expire(now)
	f.picker.Forget(now.Add(-pickerRetention))
	f.expireLastServed(now)
	f.limits.forget(now)
	f.heed.Forget(now)
	f.evidence.Forget(now)
	opened, reused := f.Paths.Counts()
	f.Meter.Gauge("shallotgap_answer_bytes", int64(f.Paths.Memory.Used()))
	f.Meter.Gauge("shallotgap_connections_opened", opened)
	f.Meter.Gauge("shallotgap_connections_reused", reused)
}

// Ready reports whether the host accepts new callers: it has an address for them and a layout, and is not draining.
func (f *Front) Ready() bool {
	return f.Address != "" && f.router.Load().Layout != nil && !f.Draining()
}

// Reseed adds hosts from changed settings, or control hosts from a status, to the hosts to link to.
func (f *Front) Reseed(seeds []ident.HostID) {
	for _, h := range seeds {
		f.mesh.Target(h)
	}
}

// presence returns the message that announces this host to the control hosts.
func (f *Front) presence() link.Message {
	p := link.Presence{Address: f.Address, Ready: f.Ready()}
	if lost := f.Paths.Faults(); !lost.Empty() {
		p.Lost = &lost
	}
	return link.Message{Presence: &p}
}

// sendPresence announces this host to all linked control hosts.
func (f *Front) sendPresence() { f.mesh.SendAll(f.presence(), func(link.Hello) bool { return true }) }

// layoutVersion returns the version of the current layout, or 0 before the first one.
func (f *Front) layoutVersion() layout.Version {
	if l := f.router.Load().Layout; l != nil {
		return l.Version
	}
	return 0
}

// handleLayoutChange applies a change to the layout, or fetches the whole layout if the change starts at another version.
func (f *Front) handleLayoutChange(from ident.HostID, c layout.Change) {
	wasReady := f.Ready()
	defer func() {
		if f.Ready() && !wasReady {
			f.sendPresence()
		}
	}()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.fetch.answered()
	current := f.router.Load().Layout
	if current != nil && c.To <= current.Version {
		return
	}
	next, ok := c.Apply(current)
	if !ok {
		f.Log.WithField("step", "layout").WithField("peer", from).WithField("from", c.From).WithField("to", c.To).Warn("change-of-another-version")
		fetch := f.fetchNewer(0)
		f.fetch.sent(from, clock.Boot())
		f.mesh.Send(from, link.Message{Fetch: &fetch})
		return
	}
	if current == nil {
		close(f.layoutLoaded)
	}
	f.router.Store(layout.NewRouter(next))
	f.streams.Life = max(f.streams.Life, resume.LifeOf(next)) // streams that began under an earlier layout may last longer
	f.Log.WithField("step", "layout").WithField("peer", from).WithField("version", c.To).WithField("routes", len(next.Routes)).Info("layout")
}

// handleNewestVersions records the newest version of each adapter; versions never decrease.
func (f *Front) handleNewestVersions(n link.Newest) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.fetch.answered()
	for _, v := range n.List {
		f.newestVersions[v.Of] = max(f.newestVersions[v.Of], v.Version)
	}
	f.versionChanges = max(f.versionChanges, n.Changes)
}
