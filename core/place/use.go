package place

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"shallotgap/core/ident"
)

// maxUses bounds how many adapters a site remembers the use of.
const maxUses = 1024

// use is an exponentially decayed count of requests.
type use struct {
	count float64
	at    ident.Time
}

// value returns the count decayed to t.
func (u use) value(t ident.Time, halfLife time.Duration) float64 {
	return u.count * math.Exp2(-t.Sub(u.at).Seconds()/halfLife.Seconds())
}

// uses holds the decayed use of adapters, also of those that are not resident.
type uses map[ident.Model]use

func (u uses) add(m ident.Model, now ident.Time, halfLife time.Duration) {
	u[m] = use{count: u[m].value(now, halfLife) + 1, at: now}
	if len(u) > maxUses {
		u.shrink(now, halfLife)
	}
}

// shrink forgets the less used half.
func (u uses) shrink(now ident.Time, halfLife time.Duration) {
	list := slices.SortedFunc(maps.Keys(u), func(x, y ident.Model) int {
		return cmp.Or(cmp.Compare(u[x].value(now, halfLife), u[y].value(now, halfLife)), compareModels(x, y))
	})
	for _, m := range list[:len(list)/2] {
		delete(u, m)
	}
}
