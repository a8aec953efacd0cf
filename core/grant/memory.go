package grant

import (
	"hash/fnv"
	"math"
	"time"

	"shallotgap/core/book"
	"shallotgap/core/ident"
)

// halve returns what is left of 1 after d.
func halve(d, halfLife time.Duration) float64 { return math.Exp2(-float64(d) / float64(halfLife)) }

// recent remembers the adapters that an engine dropped last.
type recent struct {
	limit int
	order []book.AdapterRef // oldest first
}

func newRecent(limit int) *recent { return &recent{limit: limit} }

func (r *recent) has(ref book.AdapterRef) bool {
	for _, x := range r.order {
		if x == ref {
			return true
		}
	}
	return false
}

func (r *recent) remove(ref book.AdapterRef) {
	for i, x := range r.order {
		if x == ref {
			r.order = append(r.order[:i], r.order[i+1:]...)
			return
		}
	}
}

func (r *recent) add(ref book.AdapterRef) {
	r.remove(ref)
	r.order = append(r.order, ref)
	if len(r.order) > r.limit {
		r.order = r.order[1:]
	}
}

// prompts estimates which parts of prompts an engine still keeps.
type prompts struct {
	kept  map[uint64]*keptPart
	total ident.Tokens
}

type keptPart struct {
	tokens ident.Tokens
	usedAt ident.Time
}

func newPrompts() *prompts { return &prompts{kept: map[uint64]*keptPart{}} }

// chain returns a key for each part of a prompt that stands for all parts up to it, on the same weights.
func chain(a Ask) []uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(a.Ref.Model + "/" + string(a.Ref.Adapter)))
	keys := make([]uint64, len(a.Parts))
	for i, p := range a.Parts {
		_, _ = h.Write([]byte("/" + p.ID))
		keys[i] = h.Sum64()
	}
	return keys
}

// cached returns how many tokens of a prompt need not be read again.
func (p *prompts) cached(a Ask, keys []uint64) ident.Tokens {
	var n ident.Tokens
	for i, k := range keys {
		if p.kept[k] == nil {
			break
		}
		n += a.Parts[i].Tokens
	}
	return n
}

func (p *prompts) add(a Ask, now ident.Time) {
	for i, k := range chain(a) {
		if kept := p.kept[k]; kept != nil {
			kept.usedAt = now
			continue
		}
		p.kept[k] = &keptPart{tokens: a.Parts[i].Tokens, usedAt: now}
		p.total += a.Parts[i].Tokens
	}
}

// trim forgets the parts that were used longest ago until what is left fits into the memory.
func (p *prompts) trim(memory ident.Tokens) {
	for p.total > memory {
		var oldest uint64
		var at ident.Time = math.MaxInt64
		for k, kept := range p.kept {
			if kept.usedAt < at || (kept.usedAt == at && k < oldest) {
				oldest, at = k, kept.usedAt
			}
		}
		p.total -= p.kept[oldest].tokens
		delete(p.kept, oldest)
	}
}

// trouble estimates how likely a request fails on an engine.
type trouble struct {
	rate float64
	at   ident.Time
	// downAt is when a connection was last refused or timed out.
	downAt ident.Time
	down   bool
}

// Constants of the estimate.
const (
	troubleStep     = 0.25                   // weight of the latest outcome; four failures in a row give 0.68
	troubleHalfLife = 4 * time.Second        // a replica that recovers is tried again within a few seconds
	downFor         = 700 * time.Millisecond // about half of a heartbeat interval of 1.2 s
)

func (t *trouble) note(failed bool, now ident.Time) {
	t.rate = t.now(now) * (1 - troubleStep)
	if failed {
		t.rate += troubleStep
	}
	t.at = now
}

func (t *trouble) now(now ident.Time) float64 { return t.rate * halve(now.Sub(t.at), troubleHalfLife) }

func (t *trouble) unreachable(now ident.Time) { t.down, t.downAt = true, now }

// avoided reports whether a connection failed a moment ago.
func (t *trouble) avoided(now ident.Time) bool { return t.down && now.Sub(t.downAt) < downFor }
