package replay

import (
	"slices"
	"time"

	"shallotgap/core/ident"
)

// baseline is the policy to compare with: least-loaded routing with exact loads, least-recently-used eviction, and
// loads granted in order of arrival. It decides in one place without any delay.
type baseline struct {
	*harness
	sites  []*baseSite
	order  []baseWant
	tokens float64
	filled time.Duration
	flying int
	waking bool
}

type baseWant struct {
	site  *baseSite
	model ident.Model
}

type baseSite struct {
	*engine
	queue   []*baseCall
	lastUse map[ident.Model]time.Duration
	pins    map[ident.Model]int
	wanted  map[ident.Model]bool
}

type baseCall struct {
	*ending
	until time.Duration
}

func (b *baseline) prepare() {
	b.tokens = 1
	for _, e := range b.engines {
		b.sites = append(b.sites, &baseSite{engine: e, lastUse: map[ident.Model]time.Duration{}, pins: map[ident.Model]int{}, wanted: map[ident.Model]bool{}})
	}
}

func (b *baseline) arrive(a Arrival, ends *ending) {
	site := slices.MinFunc(b.sites, func(x, y *baseSite) int {
		return len(x.queue) + len(x.running) - len(y.queue) - len(y.running)
	})
	c := &baseCall{ending: ends, until: b.now + a.TimeLeft}
	site.queue = append(site.queue, c)
	b.after(a.TimeLeft, func() {
		if i := slices.Index(site.queue, c); i >= 0 {
			site.queue = slices.Delete(site.queue, i, i+1)
			c.refused(false)
		}
	})
	b.serve(site)
}

// serve starts what can run in order of arrival and notes the loads that the rest needs.
func (b *baseline) serve(s *baseSite) {
	for _, c := range slices.Clone(s.queue) {
		m := c.arrival.Model
		if _, held := s.held[m]; !held {
			b.want(s, m)
			continue
		}
		if len(s.running) < b.Batch {
			b.begin(s, c)
		}
	}
	b.grant()
}

func (b *baseline) begin(s *baseSite, c *baseCall) {
	m := c.arrival.Model
	s.queue = slices.DeleteFunc(s.queue, func(x *baseCall) bool { return x == c })
	s.lastUse[m] = b.now
	s.pins[m]++
	c.dispatched(s.engine)
	s.start(m, c.arrival.Tokens, func(err error) {
		s.pins[m]--
		if err != nil {
			c.refused(true)
		} else {
			c.answered()
		}
		b.serve(s)
	})
}

func (b *baseline) want(s *baseSite, m ident.Model) {
	if !s.wanted[m] && !s.loading[m] {
		s.wanted[m] = true
		b.order = append(b.order, baseWant{site: s, model: m})
	}
}

// grant starts loads in order of arrival, passing over engines whose slots are all in use.
func (b *baseline) grant() {
	b.tokens = min(max(1, b.Rate), b.tokens+(b.now-b.filled).Seconds()*b.Rate)
	b.filled = b.now
	for i := 0; i < len(b.order); {
		w := b.order[i]
		evict, ok := w.site.victim()
		if b.flying >= b.InFlight || b.tokens < 1 {
			break
		}
		if !ok {
			i++
			continue
		}
		b.order = slices.Delete(b.order, i, i+1)
		w.site.wanted[w.model] = false
		if w.site.waits(w.model) {
			b.begins(w, evict)
		}
	}
	if len(b.order) > 0 && !b.waking {
		b.waking = true
		b.after(tickEvery, func() { b.waking = false; b.grant() })
	}
}

func (b *baseline) begins(w baseWant, evict *ident.Model) {
	b.tokens--
	b.flying++
	w.site.load(w.model, evict, func(error) {
		b.flying--
		w.site.lastUse[w.model] = b.now
		b.serve(w.site)
	})
}

// victim returns the least recently used adapter that serves nothing.
func (s *baseSite) victim() (*ident.Model, bool) {
	if len(s.held)+len(s.loading) < s.Slots {
		return nil, true
	}
	var oldest *ident.Model
	for m := range s.held {
		if s.pins[m] == 0 && (oldest == nil || s.lastUse[m] < s.lastUse[*oldest]) {
			oldest = &m
		}
	}
	return oldest, oldest != nil
}

func (s *baseSite) waits(m ident.Model) bool {
	return slices.ContainsFunc(s.queue, func(c *baseCall) bool { return c.arrival.Model == m })
}

func (b *baseline) restarted(e *engine) {
	for _, s := range b.sites {
		if s.engine == e {
			b.serve(s)
		}
	}
}
