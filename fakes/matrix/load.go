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

// Sizes of the load.
const (
	callers   = 8
	adapters  = 8
	thinkTime = 20 * time.Millisecond
	patience  = 2 * time.Second // of a request
	editEvery = 250 * time.Millisecond
	retries   = 3
)

// caller sends one request after another; every fourth one may run only once and is sent again under its key.
type caller struct {
	bench   *Bench
	n       int
	turn    int
	tries   int
	hosts   []ident.HostID
	until   time.Duration
	request work.Request
}

func (b *Bench) startCallers() {
	for n := range callers {
		c := &caller{bench: b, n: n, turn: n}
		b.After(time.Duration(n)*time.Millisecond, c.next)
	}
}

// next begins a new request.
func (c *caller) next() {
	c.turn++
	c.tries = 0
	c.request = work.Request{Workspace: "w", TimeLeft: patience, Urgency: work.Normal}
	switch c.turn % 4 {
	case 0:
		c.request.Service = "payments"
		c.request.Key = ident.Key(fmt.Sprintf("k-%d-%d", c.n, c.turn))
		c.request.Digest = digestOf(c.request.Key)
	case 1:
		c.request.Service = "payments"
	default:
		c.request.Model = modelOf((c.turn*5 + c.n) % adapters)
	}
	c.send()
}

func modelOf(n int) ident.Model {
	return ident.Model{Adapter: ident.Adapter(fmt.Sprintf("a%d", n)), Version: "v1"}
}

// send asks for addresses when the kept answer is too old, and sends the request to the first host that lives.
func (c *caller) send() {
	b := c.bench
	c.ask()
	for _, name := range c.hosts {
		h := b.host(name)
		if !b.alive(h) {
			continue
		}
		b.trigger(Connect, h)
		if b.alive(h) {
			b.Submit(h, c.request, c.ended)
			return
		}
	}
	c.until = 0
	b.After(thinkTime, c.send)
}

func (c *caller) ask() {
	b := c.bench
	if b.Now < c.until {
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
			c.until = b.Now + b.Params.EntryLife
			return
		}
	}
}

// ended takes the final answer; a refused keyed request is sent again as it stands.
func (c *caller) ended(r reply) {
	again := c.next
	if r.refusal != nil && c.request.Key != "" && c.tries < retries {
		c.tries++
		again = c.send
	}
	if r.refusal != nil {
		c.until = 0
	}
	c.bench.After(thinkTime, again)
}

// propose hands an operator's command to a living host; answer gets the result.
func (b *Bench) propose(h *vtime.Host, c state.Command, answer func(world.Proposed)) {
	if b.answers[h] == nil {
		b.answers[h] = map[world.Ticket]func(world.Proposed){}
	}
	// The ticket is known only after the proposal, and its answer can come with it.
	var got *world.Proposed
	early := func(p world.Proposed) { got = &p }
	next := b.tickets[h] + 1
	b.tickets[h] = next
	b.answers[h][next] = early
	t := b.Fleet.Propose(h, world.Proposal{Command: c})
	b.answers[h][t] = answer
	if got != nil {
		answer(*got)
	}
}

// edits lets two operators edit at once: one adds rows, the other writes the same row from the same version.
func (b *Bench) edits() {
	n := 0
	var step func()
	step = func() {
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
		b.After(editEvery, step)
	}
	b.After(editEvery, step)
}

// edit writes a row from version 0; the second operator and the resent edit find it there.
func (b *Bench) edit(h *vtime.Host, n int, by string) {
	row := rows.Row{Workspace: "w", Adapter: ident.Adapter(fmt.Sprintf("new-%d", n)), Version: ident.Version(by), Weight: 1}
	e := rows.Edit{ID: ident.EditID(fmt.Sprintf("edit-%d-%s", n, by)), Key: rows.KeyOf("w", row.Adapter), Row: &row}
	b.propose(h, state.Command{Edit: &e}, func(p world.Proposed) {
		if p.Result.Edit != nil && p.Result.Edit.Verdict == rows.Accepted {
			b.Check.accept(e, p.Result.Edit.Index)
		}
	})
}

func (b *Bench) mark(m drain.Mark) {
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

// sorted returns the open exchanges in order, so that runs repeat.
func (b *Bench) sorted() []*exchange {
	var list []*exchange
	for _, x := range b.open {
		list = append(list, x)
	}
	slices.SortFunc(list, func(x, y *exchange) int { return int(x.request.ID.Seq) - int(y.request.ID.Seq) })
	return list
}

// digestOf stands in for the digest of a request's body.
func digestOf(k ident.Key) claim.Digest {
	var d claim.Digest
	copy(d[:], k)
	return d
}
