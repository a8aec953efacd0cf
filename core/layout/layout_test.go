package layout_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"shallotgap/core/ident"
	"shallotgap/core/layout"
)

func route(name, host, prefix string, services ...ident.Service) layout.Route {
	r := layout.Route{Name: name, Host: host, Prefix: prefix, Kind: layout.Safe, Timeout: time.Second, Attempts: 1}
	for _, s := range services {
		r.Shares = append(r.Shares, layout.Share{Service: s, Weight: 1})
	}
	return r
}

func ExampleRouter_Match() {
	l := &layout.Layout{Version: 1, Routes: []layout.Route{route("all", "a.example", "/", "x"), route("pay", "a.example", "/pay/", "y")}}
	r, _ := layout.NewRouter(l).Match("A.example:8080", "/pay/1")
	fmt.Println(r.Name)
	_, found := layout.NewRouter(l).Match("b.example", "/pay/1")
	fmt.Println(found)
	// Output:
	// pay
	// false
}

func TestMatch(t *testing.T) {
	l := &layout.Layout{Version: 1, Routes: []layout.Route{
		route("a", "h", "/a/", "x"),
		route("ab", "h", "/a/b/", "x"),
		route("other", "g", "/a/b/c/", "x"),
	}}
	cases := map[string]struct{ host, path, want string }{
		"longest prefix":               {host: "h", path: "/a/b/c", want: "ab"},
		"shorter prefix":               {host: "h", path: "/a/c", want: "a"},
		"prefix ends at a slash":       {host: "h", path: "/a"},
		"unknown host":                 {host: "i", path: "/a/"},
		"host in capitals":             {host: "H", path: "/a/", want: "a"},
		"host with a port":             {host: "h:80", path: "/a/", want: "a"},
		"path of another host's route": {host: "g", path: "/a/b/"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			r, found := layout.NewRouter(l).Match(c.host, c.path)
			assert.Equal(t, found, c.want != "")
			assert.Equal(t, r.Name, c.want)
		})
	}
}

func TestServiceFollowsWeights(t *testing.T) {
	r := route("split", "h", "/", "x", "y")
	r.Shares[0].Weight, r.Shares[1].Weight = 90, 10
	served := map[ident.Service]int{}
	for i := range 10_000 {
		key := fmt.Sprintf("%016x", i)
		s := r.Service(key)
		assert.Equal(t, s, r.Service(key))
		served[s]++
	}
	assert.Assert(t, served["y"] > 850 && served["y"] < 1150, "%d of 10000 requests went to y, which has a tenth of the weight", served["y"])
}

// Applying the difference of two layouts to the old one gives the new one, whichever routes were added, removed or modified.
func TestDiffAndApply(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := func(v layout.Version, label string) *layout.Layout {
			l := &layout.Layout{Version: v, Services: []layout.Service{{Name: "x"}}}
			for _, n := range rapid.SliceOfNDistinct(rapid.IntRange(0, 9), 0, 8, rapid.ID[int]).Draw(t, label) {
				r := route(fmt.Sprint(n), "h", fmt.Sprintf("/%d/", n), "x")
				r.Timeout = time.Duration(rapid.IntRange(1, 2).Draw(t, "timeout")) * time.Second
				l.Routes = append(l.Routes, r)
			}
			return l
		}
		old, next := draw(1, "old"), draw(2, "next")
		got, ok := layout.Diff(old, next).Apply(old)
		assert.Assert(t, ok)
		a, b := layout.NewRouter(got), layout.NewRouter(next)
		assert.Equal(t, len(got.Routes), len(next.Routes))
		for n := range 10 {
			path := fmt.Sprintf("/%d/", n)
			x, foundX := a.Match("h", path)
			y, foundY := b.Match("h", path)
			assert.Equal(t, foundX, foundY)
			assert.DeepEqual(t, x, y)
		}
		_, ok = layout.Diff(old, next).Apply(next)
		assert.Assert(t, !ok || old.Version == next.Version, "a change was applied to another version")
	})
}

// A change of one of two routes with the same name took the other one away at entry hosts, as changes name routes.
func TestDiffOfEqualNames(t *testing.T) {
	bank, staff := route("r", "bank.example", "/", "x"), route("r", "staff.example", "/", "x")
	slow, renamed := staff, staff
	slow.Timeout, renamed.Name = time.Minute, "s"
	cases := map[string]struct{ old, next []layout.Route }{
		"one is modified": {old: []layout.Route{bank, staff}, next: []layout.Route{bank, slow}},
		"one is removed":  {old: []layout.Route{bank, staff}, next: []layout.Route{bank}},
		"one is added":    {old: []layout.Route{bank}, next: []layout.Route{bank, staff}},
		"one is renamed":  {old: []layout.Route{bank, staff}, next: []layout.Route{bank, renamed}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			old, next := &layout.Layout{Version: 1, Routes: c.old}, &layout.Layout{Version: 2, Routes: c.next}
			got, ok := layout.Diff(old, next).Apply(old)
			assert.Assert(t, ok)
			assert.DeepEqual(t, got.Routes, next.Routes)
		})
	}
}
