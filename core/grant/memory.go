package grant

import (
	"hash/fnv"
	"math"
	"time"

	"shallotgap/core/book"
	"shallotgap/core/ident"
)

// decay returns the factor by which a value with the given half-life decays in the time d.
func decay(d, halfLife time.Duration) float64 { return math.Exp2(-float64(d) / float64(halfLife)) }

// recentAdapters holds the adapters that an engine unloaded last, up to a limit.
type recentAdapters struct {
	limit       int
	oldestFirst []book.AdapterRef
}

func newRecentAdapters(limit int) *recentAdapters { return &recentAdapters{limit: limit} }

func (r *recentAdapters) has(ref book.AdapterRef) bool {
	for _, x := range r.oldestFirst {
		if x == ref {
			return true
		}
	}
	return false
}

func (r *recentAdapters) remove(ref book.AdapterRef) {
	for i, x := range r.oldestFirst {
		if x == ref {
			r.oldestFirst = append(r.oldestFirst[:i], r.oldestFirst[i+1:]...)
			return
		}
	}
}

func (r *recentAdapters) add(ref book.AdapterRef) {
	r.remove(ref)
	r.oldestFirst = append(r.oldestFirst, ref)
	if len(r.oldestFirst) > r.limit {
		r.oldestFirst = r.oldestFirst[1:]
	}
}

// promptCache estimates which prompt prefixes an engine still has cached.
type promptCache struct {
	parts map[uint64]*cachedPart
	total ident.Tokens
}

type cachedPart struct {
	tokens ident.Tokens
	usedAt ident.Time
}

func newPromptCache() *promptCache { return &promptCache{parts: map[uint64]*cachedPart{}} }

// prefixKeys returns one key per part of a prompt; each key identifies the model, the adapter and all parts up to its own.
func prefixKeys(a Ask) []uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(a.Ref.Model + "/" + string(a.Ref.Adapter)))
	keys := make([]uint64, len(a.Parts))
	for i, p := range a.Parts {
		_, _ = h.Write([]byte("/" + p.ID))
		keys[i] = h.Sum64()
	}
	return keys
}

// cachedTokens returns how many leading tokens of a prompt need no prefill.
func (p *promptCache) cachedTokens(a Ask, keys []uint64) ident.Tokens {
	var n ident.Tokens
	for i, k := range keys {
		if p.parts[k] == nil {
			break
		}
		n += a.Parts[i].Tokens
	}
	return n
}

func (p *promptCache) add(a Ask, now ident.Time) {
	for i, k := range prefixKeys(a) {
		if part := p.parts[k]; part != nil {
			part.usedAt = now
			continue
		}
		p.parts[k] = &cachedPart{tokens: a.Parts[i].Tokens, usedAt: now}
		p.total += a.Parts[i].Tokens
	}
}

// trim removes the least recently used parts until the rest fits into the given memory.
func (p *promptCache) trim(memory ident.Tokens) {
	for p.total > memory {
		var oldest uint64
		var oldestUse ident.Time = math.MaxInt64
		for k, part := range p.parts {
			if part.usedAt < oldestUse || (part.usedAt == oldestUse && k < oldest) {
				oldest, oldestUse = k, part.usedAt
			}
		}
		p.total -= p.parts[oldest].tokens
		delete(p.parts, oldest)
	}
}

// failureEstimate estimates the probability that a request fails on an engine.
type failureEstimate struct {
	share     float64 // share of failed requests, decayed to updatedAt
	updatedAt ident.Time
	// unreachableAt is when a connection was last refused or timed out.
	unreachableAt ident.Time
	isUnreachable bool // set by a failed connection, cleared by a complete answer
	// unreachableFrom holds when the engine was last unreachable from one host only, which may have lost its path.
	unreachableFrom map[ident.HostID]ident.Time
}

// Constants of the failure estimate.
const (
	failureWeight      = 0.25                   // weight of the latest outcome; four failures in a row give 0.68
	failureHalfLife    = 4 * time.Second        // an engine that recovers is tried again within a few seconds
	unreachableBackoff = 700 * time.Millisecond // about half of a heartbeat interval of 1.2 s
)

func (f *failureEstimate) record(failed bool, now ident.Time) {
	f.share = f.decayedShare(now) * (1 - failureWeight)
	if failed {
		f.share += failureWeight
	}
	f.updatedAt = now
}

func (f *failureEstimate) decayedShare(now ident.Time) float64 {
	return f.share * decay(now.Sub(f.updatedAt), failureHalfLife)
}

func (f *failureEstimate) recordUnreachable(now ident.Time) {
	f.isUnreachable, f.unreachableAt = true, now
}

// recordUnreachableFrom records that a host could not reach the engine, and could not find out whether others do.
func (f *failureEstimate) recordUnreachableFrom(host ident.HostID, now ident.Time) {
	if f.unreachableFrom == nil {
		f.unreachableFrom = map[ident.HostID]ident.Time{}
	}
	for h, at := range f.unreachableFrom {
		if now.Sub(at) >= unreachableBackoff {
			delete(f.unreachableFrom, h)
		}
	}
	f.unreachableFrom[host] = now
}

// recentlyUnreachable reports whether a connection failed within unreachableBackoff, from any host or from the given one only.
func (f *failureEstimate) recentlyUnreachable(from ident.HostID, now ident.Time) bool {
	at, known := f.unreachableFrom[from]
	return (f.isUnreachable && now.Sub(f.unreachableAt) < unreachableBackoff) || (known && now.Sub(at) < unreachableBackoff)
}
