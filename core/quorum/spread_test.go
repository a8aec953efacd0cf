package quorum_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"shallotgap/core/ident"
	"shallotgap/core/quorum"
)

// Learners became voters in the order in which they started, and stayed voters: the loss of one region or failure domain took a majority, and what
// was acknowledged with it.
func TestVotersAreSpread(t *testing.T) {
	cases := map[string]struct {
		domains []ident.DomainID // of the hosts, in the order in which they start; the first founds the log
		regions map[ident.DomainID]ident.RegionID
		voters  int
		most    int // voters that the loss of one region, or of one domain if there is one region only, may take
	}{
		"three domains":              {domains: []ident.DomainID{"a", "a", "a", "b", "c"}, voters: 3, most: 1},
		"the founder's domain last":  {domains: []ident.DomainID{"a", "b", "b", "c", "c"}, voters: 3, most: 1},
		"three regions":              {domains: []ident.DomainID{"a1", "a2", "a3", "b1", "c1"}, regions: map[ident.DomainID]ident.RegionID{"a1": "a", "a2": "a", "a3": "a", "b1": "b", "c1": "c"}, voters: 3, most: 1},
		"regions of several domains": {domains: []ident.DomainID{"a1", "a2", "b1", "b2", "c1", "c2"}, regions: map[ident.DomainID]ident.RegionID{"a1": "a", "a2": "a", "b1": "b", "b2": "b", "c1": "c", "c2": "c"}, voters: 3, most: 1},
		"five voters, three regions": {domains: []ident.DomainID{"a1", "a2", "a3", "b1", "b2", "c1"}, regions: map[ident.DomainID]ident.RegionID{"a1": "a", "a2": "a", "a3": "a", "b1": "b", "b2": "b", "c1": "c"}, voters: 5, most: 2},
		"fewer domains than voters":  {domains: []ident.DomainID{"a", "a", "a", "b"}, voters: 3, most: 2},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(*lifeSeeds) {
				l := &clusterLife{t: t, rand: rand.New(rand.NewPCG(seed, 7)), seed: seed, voters: c.voters, domains: map[ident.HostID]ident.DomainID{}, regions: c.regions}
				for _, domain := range c.domains {
					m := l.add()
					l.domains[m.id] = domain
					l.start(m, l.ids()[:1])
					for _, other := range l.machines {
						other.node.Contacts = l.ids()
					}
					l.run(lifeOutage)
				}
				l.run(2 * lifeCatchUp)
				l.mustBeSpread(c.voters, c.most, "after the start")
				l.tolerance = (c.voters - 1) / 2
				lost := l.machines[seed%uint64(len(l.machines))]
				lost.node = nil
				l.run(lifeCatchUp)
				l.start(lost, nil)
				l.run(2 * lifeCatchUp)
				l.mustBeSpread(c.voters, c.most, fmt.Sprintf("after %s was down", lost.id))
				changes := l.memberChanges()
				l.run(2 * lifeCatchUp)
				assert.Equal(t, l.memberChanges(), changes, "seed %d: the membership goes on changing", seed)
			}
		})
	}
}

// mustBeSpread checks the number of voters, and how many of them one loss takes.
func (l *clusterLife) mustBeSpread(voters, most int, when string) {
	l.t.Helper()
	members := l.newestMembers()
	assert.Equal(l.t, members.Voters(), voters, "seed %d, %s: %v", l.seed, when, members)
	lost := map[string]int{}
	for _, m := range members {
		if m.Voter {
			group := string(l.domains[m.Host])
			if region := l.regions[l.domains[m.Host]]; region != "" {
				group = string(region)
			}
			lost[group]++
		}
	}
	for group, n := range lost {
		assert.Assert(l.t, n <= most, "seed %d, %s: the loss of %s takes %d voters of %v", l.seed, when, group, n, members)
	}
}

// newestMembers returns the membership on the disk with the newest log.
func (l *clusterLife) newestMembers() quorum.Members {
	newest := slices.MaxFunc(l.machines, func(a, b *machine) int {
		_, x := a.stored.last()
		_, y := b.stored.last()
		return int(x) - int(y)
	})
	return newest.stored.members()
}

// memberChanges counts the changes of the membership in the newest log.
func (l *clusterLife) memberChanges() int {
	most := 0
	for _, m := range l.machines {
		n := 0
		for _, e := range m.stored.entries {
			if e.Kind == quorum.Config {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}
