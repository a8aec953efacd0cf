package matrix

import (
	"fmt"
	"slices"
	"time"

	"shallotgap/core/claim"
	"shallotgap/core/drain"
	"shallotgap/core/ident"
	"shallotgap/core/rows"
	"shallotgap/core/state"
	"shallotgap/core/work"
	"shallotgap/core/world"
	"shallotgap/fakes/vtime"
)

// Parameters of the simulated traffic.
const (
	callers        = 8
	adapters       = 8
	thinkTime      = 20 * time.Millisecond // default of Bench.ThinkTime
	requestTimeout = 2 * time.Second       // deadline of a request
	editInterval   = 250 * time.Millisecond
	maxRetries     = 3
)

// caller sends one request after another. Every fourth request has an idempotency key and is retried under that key.
type caller struct {
	bench       *Bench
	n           int            // number of the caller
	requests    int            // number of requests made, plus n so that callers start with different kinds
	retries     int            // retries of the current request
	hosts       []ident.HostID // cached list of entry hosts
	hostsExpire time.Duration
	request     work.Request
}

func (b *Bench) startCallers() {
	for n := range callers {
		c := &caller{bench: b, n: n, requests: n}
		b.After(time.Duration(n)*time.Millisecond, c.nextRequest)
	}
}

// nextRequest makes and sends a new request.
func (c *caller) nextRequest() {
	c.requests++
	c.retries = 0
	c.request = work.Request{Workspace: "w", TimeLeft: requestTimeout, Urgency: work.Normal}
	switch c.requests % 4 {
	case 0:
		c.request.Service = "payments"
		c.request.Key = ident.Key(fmt.Sprintf("k-%d-%d", c.n, c.requests))
		c.request.Digest = digestOf(c.request.Key)
	case 1:
		c.request.Service = "payments"
	default:
		c.request.Model = modelOf((c.requests*5 + c.n) % adapters)
	}
	c.send()
}

// modelOf returns the n-th adapter.
func modelOf(n int) ident.Model {
	return ident.Model{Adapter: ident.Adapter(fmt.Sprintf("a%d", n)), Version: "v1"}
}

// send refreshes the list of entry hosts if it has expired, and sends the request to the first running host of the list.
func (c *caller) send() {
	b := c.bench
	c.refreshHosts()
	for _, name := range c.hosts {
		h := b.host(name)
		if !b.alive(h) {
			continue
		}
		b.trigger(Connect, h)
		if b.alive(h) {
			b.Submit(h, c.request, c.onReply)
			return
		}
	}
	c.hostsExpire = 0
	b.After(b.ThinkTime, c.send)
}

// refreshHosts asks a serving host for the list of entry hosts, unless the cached list is still valid.
func (c *caller) refreshHosts() {
	b := c.bench
	if b.Now < c.hostsExpire {
		return
	}
	for n := range b.Hosts {
		h := b.Hosts[(n+c.n)%len(b.Hosts)]
		if !b.alive(h) || !h.World.Serving() {
			continue
		}
		b.trigger(Ask, h)
		if b.alive(h) {
			c.hosts = h.World.Entries(world.EntryQuery{Domain: "a", Spread: c.n})
			c.hostsExpire = b.Now + b.Params.EntryLife
			return
		}
	}
}

// onReply handles the final answer: a rejected request with a key is retried unchanged, up to maxRetries times.
func (c *caller) onReply(r reply) {
	next := c.nextRequest
	if r.refusal != nil && c.request.Key != "" && c.retries < maxRetries {
		c.retries++
		next = c.send
	}
	if r.refusal != nil {
		c.hostsExpire = 0
	}
	c.bench.After(c.bench.ThinkTime, next)
}

// propose submits an operator's command to a running host and calls answer with the result.
func (b *Bench) propose(h *vtime.Host, c state.Command, answer func(world.Proposed)) {
	if b.onProposed[h] == nil {
		b.onProposed[h] = map[world.Ticket]func(world.Proposed){}
	}
	// The result may arrive before Propose returns the ticket; a callback for the expected ticket keeps an early result.
	var earlyResult *world.Proposed
	keep := func(p world.Proposed) { earlyResult = &p }
	next := b.lastTickets[h] + 1
	b.lastTickets[h] = next
	b.onProposed[h][next] = keep
	t := b.Fleet.Propose(h, world.Proposal{Command: c})
	b.onProposed[h][t] = answer
	if earlyResult != nil {
		answer(*earlyResult)
	}
}

// startEdits simulates two operators at two hosts who add the same rows at the same time. Each sends every edit twice.
func (b *Bench) startEdits() {
	n := 0
	var editRound func()
	editRound = func() {
		n++
		for _, h := range b.Hosts[3:] {
			if b.alive(h) {
				b.trigger(Edit, h)
			}
			if b.alive(h) {
				b.edit(h, n, string(h.Name))
				b.edit(h, n, string(h.Name))
			}
		}
		b.After(editInterval, editRound)
	}
	b.After(editInterval, editRound)
}

// edit adds a row; its row version 0 means that the row must not exist. The edit is rejected if the other operator's edit
// of the row was accepted first. A resent edit gets the result of the first one.
func (b *Bench) edit(h *vtime.Host, n int, operator string) {
	row := rows.Row{Workspace: "w", Adapter: ident.Adapter(fmt.Sprintf("new-%d", n)), Version: ident.Version(operator), Weight: 1}
	e := rows.Edit{ID: ident.EditID(fmt.Sprintf("edit-%d-%s", n, operator)), Key: rows.KeyOf("w", row.Adapter), Row: &row}
	b.propose(h, state.Command{Edit: &e}, func(p world.Proposed) {
		if p.Result.Edit != nil && p.Result.Edit.Verdict == rows.Accepted {
			b.Check.editAccepted(e, p.Result.Edit.Index)
		}
	})
}

// proposeMark submits a planned stop, or its withdrawal, to a serving host other than the target.
func (b *Bench) proposeMark(m drain.Mark) {
	for _, h := range slices.Backward(b.Hosts) {
		if b.alive(h) && h.World.Serving() && string(h.Name) != m.Name {
			b.trigger(Stop, h)
			if b.alive(h) {
				b.propose(h, state.Command{Mark: &m}, func(world.Proposed) {})
			}
			return
		}
	}
}

// sortedUnanswered returns the exchanges without a final answer in a fixed order, so that runs are repeatable.
func (b *Bench) sortedUnanswered() []*exchange {
	var list []*exchange
	for _, x := range b.unanswered {
		list = append(list, x)
	}
	slices.SortFunc(list, func(x, y *exchange) int { return int(x.request.ID.Seq) - int(y.request.ID.Seq) })
	return list
}

// digestOf returns a fake digest of a request's body, made from the key.
func digestOf(k ident.Key) claim.Digest {
	var d claim.Digest
	copy(d[:], k)
	return d
}
