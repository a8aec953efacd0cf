package heed

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"shallotgap/core/ident"
)

func TestReadBrittle(t *testing.T) {
	for name, c := range map[string]struct {
		values []string
		number Brittle
		named  bool
		bad    string
	}{
		"none":             {nil, 0, false, ""},
		"a number":         {[]string{"3"}, 3, true, ""},
		"with spaces":      {[]string{" 3 "}, 3, true, ""},
		"a fraction":       {[]string{"0.5"}, 0.5, true, ""},
		"zero":             {[]string{"0"}, 0, true, ""},
		"two that differ":  {[]string{"5", "2"}, 2, true, ""},
		"one of two":       {[]string{"many", "2"}, 2, true, `"many, 2"`},
		"negative":         {[]string{"-1"}, 0, false, `"-1"`},
		"a word":           {[]string{"yes"}, 0, false, `"yes"`},
		"not a number":     {[]string{"NaN"}, 0, false, `"NaN"`},
		"empty":            {[]string{""}, 0, false, `""`},
		"more than any":    {[]string{"1e300"}, 0, false, ""},
		"infinite":         {[]string{"Inf"}, 0, false, ""},
		"out of the range": {[]string{"1e999"}, 0, false, ""},
	} {
		t.Run(name, func(t *testing.T) {
			number, named, bad := ReadBrittle(c.values)
			assert.Equal(t, number, c.number)
			assert.Equal(t, named, c.named)
			assert.Equal(t, bad, c.bad)
		})
	}
}

// A brittle endpoint with less room than slots is found out with few rejections in any second, also when the room changes.
func TestRoomIsFoundOut(t *testing.T) {
	for name, c := range map[string]struct {
		number Brittle
		slots  int
		room   func(second int) int
		limit  int // rejections in a second
	}{
		"as many as slots":  {3, 6, func(int) int { return 6 }, 0},
		"less room":         {3, 6, func(int) int { return 4 }, 3},
		"room that shrinks": {8, 12, func(second int) int { return max(2, 12-second) }, 8},
		"room that is back": {3, 6, func(second int) int { return map[bool]int{true: 2, false: 6}[second < 10] }, 4},
	} {
		t.Run(name, func(t *testing.T) {
			now := ident.Time(time.Hour)
			r := NewRoom(c.number, c.slots, now)
			var ends []ident.Time
			var rejected []ident.Time
			served := 0
			for step := range 30000 { // 30 s
				now = now.Add(time.Millisecond)
				if step%1000 == 0 {
					r.Seen(c.number, c.slots, now)
				}
				for len(ends) > 0 && ends[0] <= now {
					ends = ends[1:]
				}
				if !r.Takes(len(ends), now) {
					continue
				}
				if len(ends) >= c.room(step/1000) {
					r.Rejected(len(ends), now)
					rejected = append(rejected, now)
					continue
				}
				served++
				ends = append(ends, now.Add(50*time.Millisecond))
			}
			for i := range rejected {
				n := 0
				for _, x := range rejected[i:] {
					if x.Sub(rejected[i]) < time.Second {
						n++
					}
				}
				assert.Assert(t, n <= c.limit, "%d rejections in a second", n)
			}
			bears := 0
			for s := range 30 {
				bears += c.room(s) * 20
			}
			assert.Assert(t, served >= bears*8/10, "served %d of %d", served, bears)
		})
	}
}

// Without a leader the hosts together send no more than there are slots, whatever their number.
func TestShares(t *testing.T) {
	for name, c := range map[string]struct{ slots, hosts, most int }{
		"more slots than hosts": {64, 7, 63}, "as many": {7, 7, 7}, "fewer slots than hosts": {6, 91, 6}, "one host": {6, 1, 6},
	} {
		t.Run(name, func(t *testing.T) {
			i := ident.Instance{ID: "e"}
			all := 0
			for h := range c.hosts {
				table := NewTable()
				table.Note(i, 3, true, 1)
				all += runningAt(table, i, c.slots, c.hosts, uint64(h))
			}
			assert.Equal(t, all, c.most)
		})
	}
}

// runningAt returns how many requests a host may have running.
func runningAt(t *Table, i ident.Instance, slots, hosts int, order uint64) int {
	n := 0
	for t.Share(i, slots, hosts, n, order, 1) {
		n++
	}
	return n
}
