package place

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"shallotgap/core/ident"
)

// maxTrackedAdapters is the number of adapters of one endpoint whose use is tracked.
const maxTrackedAdapters = 1024

// use is an exponentially decayed count of requests for an adapter.
type use struct {
	count     float64
	updatedAt ident.Time
}

// value returns the count, decayed to time t.
func (u use) value(t ident.Time, halfLife time.Duration) float64 {
	return u.count * math.Exp2(-t.Sub(u.updatedAt).Seconds()/halfLife.Seconds())
}

// uses holds the decayed request count of each adapter, also of adapters that are not resident.
type uses map[ident.Model]use

// add counts a request for an adapter.
func (u uses) add(m ident.Model, now ident.Time, halfLife time.Duration) {
	u[m] = use{count: u[m].value(now, halfLife) + 1, updatedAt: now}
	if len(u) > maxTrackedAdapters {
		u.shrink(now, halfLife)
	}
}

// shrink drops the half of the adapters with the lower counts.
func (u uses) shrink(now ident.Time, halfLife time.Duration) {
	list := slices.SortedFunc(maps.Keys(u), func(x, y ident.Model) int {
		return cmp.Or(cmp.Compare(u[x].value(now, halfLife), u[y].value(now, halfLife)), compareModels(x, y))
	})
	for _, m := range list[:len(list)/2] {
		delete(u, m)
	}
}
