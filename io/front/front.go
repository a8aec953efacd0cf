// Package front runs an entry host of a deployment: it takes callers' requests, asks the authority for places, sends
// the requests to endpoints itself and passes the answers on unchanged.
package front

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"shallotgap/core/book"
	"shallotgap/core/census"
	"shallotgap/core/grant"
	"shallotgap/core/ident"
	"shallotgap/core/layout"
	"shallotgap/core/pick"
	"shallotgap/io/clock"
	"shallotgap/io/dial"
	"shallotgap/io/link"
	"shallotgap/io/logs"
	"shallotgap/io/metric"
)

// Call is a caller's request with what its headers say, decoded once.
type Call struct {
	// ID names the caller's attempt.
	ID string
	// Timeout is how long the caller waits; 0 when it does not say.
	Timeout time.Duration
	// Ref is the model or adapter of a request for an engine.
	Ref book.AdapterRef
	// Prompt and Output are the tokens to read and, at most, to generate.
	Prompt, Output ident.Tokens
	Parts          []grant.Part
	// LastEventID is the id of the last event that the caller has; the answer goes on after it.
	LastEventID string
}

// Target is the endpoint that a request is meant for, and what it must check.
type Target struct {
	Instance ident.Instance
	// Version of the adapter; 0 for none to check.
	Version book.WeightsVersion
	// Timeout is how long the caller still waits.
	Timeout time.Duration
	// LastEventID is the id of the last event that was passed on; empty for a request from its beginning.
	LastEventID string
	// Engine is true for an endpoint that runs a model; it takes the most urgent requests first, 0 before others.
	Engine   bool
	Priority int
}

// Verdict is what the headers of an endpoint's answer say.
type Verdict struct {
	// NotRun is true when the endpoint states that it did not run the request.
	NotRun bool
	// Mismatched is true when the answer belongs to another request.
	Mismatched bool
	// Authentic is true when the answer bears the endpoint's signature and nothing has changed its body's encoding.
	Authentic bool
	Load      *pick.Load
}

// Dialect reads and writes the headers that callers and endpoints use.
type Dialect interface {
	// Call decodes a request's headers.
	Call(r *http.Request) (Call, error)
	// Outgoing returns the headers for an endpoint: the caller's, without those of its connection and those that are
	// the system's to set, and with the system's.
	Outgoing(h http.Header, t Target) http.Header
	// Incoming returns the headers of an endpoint's answer for the caller.
	Incoming(h http.Header) http.Header
	// Verdict decodes the headers of an answer to the request with the given id.
	Verdict(id string, status int, h http.Header) Verdict
}

// Config is what an entry host is made from.
type Config struct {
	Self   ident.HostID
	Domain ident.DomainID
	Seeds  []ident.HostID
	// Address is where callers connect.
	Address string
	Dialect Dialect
	// RetryRatio, RetryExtra and RetryWindow bound the repeated sends to a plain service over all entry hosts.
	RetryRatio  float64
	RetryExtra  int
	RetryWindow time.Duration
}

// Times and bounds of an entry host.
const (
	presenceEvery = 400 * time.Millisecond
	forgetAfter   = 60 * time.Second
	// layoutPart is the part of its time for which a request waits for the first layout after a start.
	layoutPart = 4
	startWait  = time.Second // for requests that name no deadline
	fetchAgain = 300 * time.Millisecond
)

// mesh is what an entry host needs of its links to other hosts.
type mesh interface {
	Run(ctx context.Context) error
	Target(h ident.HostID)
	Send(to ident.HostID, msg link.Message) bool
	SendAll(msg link.Message, choose func(link.Hello) bool)
}

var _ mesh = (*link.Mesh)(nil)

// Front is one entry host.
type Front struct {
	logs.Common
	Config
	Meter *metric.Meter

	// Server is where callers' requests come in; it is set before the host drains.
	Server *http.Server

	mesh   mesh
	client *dial.Client
	router atomic.Pointer[layout.Router]
	loaded chan struct{}                  // closed once there is a layout
	stop   atomic.Pointer[DrainDeadlines] // nil until the host is told to end

	mu      sync.Mutex
	census  *census.Census
	picker  *pick.Picker
	newest  map[book.AdapterRef]book.WeightsVersion
	changes uint64
	fetched ident.Time
	control map[ident.HostID]link.Status
	leader  ident.HostID
	term    ident.Term
	entries int // ready entry hosts, as the control hosts say
	asks    map[grant.ID]*ask
	lately  map[book.AdapterRef]served      // where each adapter was last served
	budgets map[ident.Service]*grant.Budget // of plain services
	sent    map[ident.Service]*grant.Budget // counts the sends to engines
	seq     uint64
	born    ident.Time
}

// New returns an entry host that is not running yet.
func New(common logs.Common, meter *metric.Meter, c Config) *Front {
	f := &Front{
		Common: common, Config: c, Meter: meter, client: dial.New(), loaded: make(chan struct{}), census: census.New(forgetAfter), picker: pick.New(c.Domain),
		newest: map[book.AdapterRef]book.WeightsVersion{}, control: map[ident.HostID]link.Status{}, asks: map[grant.ID]*ask{},
		lately: map[book.AdapterRef]served{}, budgets: map[ident.Service]*grant.Budget{}, sent: map[ident.Service]*grant.Budget{}, born: clock.Boot(), entries: 1,
	}
	f.router.Store(layout.NewRouter(nil))
	f.mesh = link.New(common, link.Config{Self: link.Hello{Host: c.Self, Domain: c.Domain}, Handler: f, InitialMessages: f.greeting})
	for _, h := range c.Seeds {
		f.mesh.Target(h)
	}
	return f
}

// Run keeps the links until the context ends.
func (f *Front) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return f.mesh.Run(ctx) })
	group.Go(func() error {
		ticker := time.NewTicker(presenceEvery)
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

func (f *Front) tick() {
	f.sayPresence()
	now := clock.Boot()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.census.Expire(now)
	f.picker.Forget(now.Add(-forgetAfter))
	f.forgetServed(now)
	opened, reused := f.client.Counts()
	f.Meter.Gauge("shallotgap_connections_opened", opened)
	f.Meter.Gauge("shallotgap_connections_reused", reused)
}

// Ready reports whether callers may be sent here.
func (f *Front) Ready() bool { return f.router.Load().Layout != nil && !f.Draining() }

// Reseed takes other control hosts to begin with.
func (f *Front) Reseed(seeds []ident.HostID) {
	for _, h := range seeds {
		f.mesh.Target(h)
	}
}

func (f *Front) presence() link.Message {
	return link.Message{Presence: &link.Presence{Address: f.Address, Ready: f.Ready()}}
}

func (f *Front) sayPresence() { f.mesh.SendAll(f.presence(), func(link.Hello) bool { return true }) }

func (f *Front) greeting() []link.Message { return []link.Message{f.presence()} }

// LinkUp is part of link.Handler; the status that follows tells all that matters.
func (f *Front) LinkUp(link.Hello) {}

// LinkDown forgets what a control host said.
func (f *Front) LinkDown(peer link.Hello) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.control, peer.Host)
	if f.leader == peer.Host {
		f.leader = ""
		f.Log.WithField("step", "authority").WithField("peer", peer.Host).WithField("term", f.term).Warn("authority-lost")
	}
}

// Receive handles a message of a control host.
func (f *Front) Receive(from link.Hello, m link.Message) {
	switch {
	case m.Status != nil:
		f.takeStatus(from.Host, *m.Status)
	case m.Census != nil:
		f.takeCensus(m.Census)
	case m.Change != nil:
		f.takeChange(from.Host, *m.Change)
	case m.Newest != nil:
		f.takeNewest(*m.Newest)
	case m.Reply != nil:
		f.takeReply(from.Host, *m.Reply)
	}
}

func (f *Front) takeStatus(from ident.HostID, s link.Status) {
	for _, h := range s.Control {
		f.mesh.Target(h)
	}
	f.mu.Lock()
	f.control[from] = s
	f.entries = max(1, s.EntryHosts)
	won := s.Leads && s.Term >= f.term && (f.leader != from || f.term != s.Term)
	if won {
		f.leader, f.term = from, s.Term
	} else if f.leader == from && !s.Leads {
		f.leader = ""
	}
	f.mu.Unlock()
	if won {
		f.Log.WithField("step", "authority").WithField("peer", from).WithField("term", s.Term).Info("authority")
		f.greetAuthority(from, s.Term)
	}
	f.fetch(from, s)
}

// fetch asks a control host for what it knows and this host lacks.
func (f *Front) fetch(from ident.HostID, s link.Status) {
	own := f.version()
	now := clock.Boot()
	f.mu.Lock()
	behind := s.Layout > own || s.Changes > f.changes
	wait := now.Sub(f.fetched) < fetchAgain && f.fetched != 0
	if behind && !wait {
		f.fetched = now
	}
	changes := f.changes
	f.mu.Unlock()
	if behind && !wait {
		f.mesh.Send(from, link.Message{Fetch: &link.Fetch{Layout: own, Changes: changes}})
	}
}

func (f *Front) version() layout.Version {
	if l := f.router.Load().Layout; l != nil {
		return l.Version
	}
	return 0
}

func (f *Front) takeChange(from ident.HostID, c layout.Change) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.fetched = 0
	own := f.router.Load().Layout
	if own != nil && c.To <= own.Version {
		return
	}
	next, ok := c.Apply(own)
	if !ok {
		f.Log.WithField("step", "layout").WithField("peer", from).WithField("from", c.From).WithField("to", c.To).Warn("change-of-another-version")
		f.mesh.Send(from, link.Message{Fetch: &link.Fetch{Changes: f.changes}})
		return
	}
	if own == nil {
		close(f.loaded)
	}
	f.router.Store(layout.NewRouter(next))
	f.Log.WithField("step", "layout").WithField("peer", from).WithField("version", c.To).WithField("routes", len(next.Routes)).Info("layout")
}

func (f *Front) takeNewest(n link.Newest) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.fetched = 0
	for _, x := range n.List {
		f.newest[x.Of] = max(f.newest[x.Of], x.Version)
	}
	f.changes = max(f.changes, n.Changes)
}

func (f *Front) takeCensus(list []census.Entry) {
	now := clock.Boot()
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, e := range list {
		if f.census.Observe(e, now) == census.Changed {
			f.Log.WithField("step", "census").WithField("endpoint", e.Instance.ID).WithField("state", e.State).WithField("seq", e.Seq).WithField("outcome", "changed").Info("endpoint")
		}
		for _, old := range f.census.Displaced() {
			f.Log.WithField("step", "census").WithField("endpoint", old.Instance.ID).WithField("address", old.Address).WithField("inputs", "now of "+string(e.Instance.ID)).WithField("outcome", "address-taken").Info("endpoint")
		}
	}
}
