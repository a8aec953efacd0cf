package limit_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"shallotgap/core/ident"
	"shallotgap/core/limit"
	"shallotgap/fakes/stand"
)

var engine = ident.Instance{ID: "e1", Born: 1}

// An answer to an earlier request may arrive after one to a later request, from another host.
func TestAnswersThatOvertakeEachOther(t *testing.T) {
	const second = time.Second
	cases := map[string]struct {
		seen []limit.Seen // one a second, after a limit of 5 was named at the start
		want limit.Rate   // 0 for no limit
	}{
		"nothing more":                     {want: 5},
		"lower":                            {seen: []limit.Seen{{Rate: 2, SentAgo: 10 * second}}, want: 2},
		"higher, sent later":               {seen: []limit.Seen{{Rate: 9, SentAgo: second / 2}}, want: 9},
		"higher, sent before":              {seen: []limit.Seen{{Rate: 9, SentAgo: 2 * second}}, want: 5},
		"ended, sent later":                {seen: []limit.Seen{{Ended: true, SentAgo: second / 2}}},
		"ended, sent before":               {seen: []limit.Seen{{Ended: true, SentAgo: 2 * second}}, want: 5},
		"so high that it is none":          {seen: []limit.Seen{{Rate: limit.MaxRate, SentAgo: second / 2}}},
		"ended, then named by a late host": {seen: []limit.Seen{{Ended: true}, {Rate: 3}}, want: 3},
		"named again, then an old end":     {seen: []limit.Seen{{Rate: 5}, {Ended: true, SentAgo: second + second/2}}, want: 5},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			now := ident.Time(time.Hour)
			p, table := limit.NewPool(limit.NewTable(), now), limit.NewTable()
			p.Observe(limit.Seen{Instance: engine, Rate: 5}, now)
			for _, s := range c.seen {
				now = now.Add(second)
				s.Instance = engine
				p.Observe(s, now)
			}
			for _, command := range p.Sync(table, now.Add(second)) {
				table.Apply(command)
			}
			r, _ := table.Get(engine)
			assert.Equal(t, r.Rate, c.want)
			assert.Equal(t, p.Limited(engine), c.want != 0)
		})
	}
}

func TestLimitsOfEndpointsThatLeft(t *testing.T) {
	cases := map[string]struct {
		instance ident.Instance
		gone     bool
		want     bool
	}{
		"same instance":    {instance: engine, want: true},
		"later instance":   {instance: ident.Instance{ID: "e1", Born: 2}},
		"earlier instance": {instance: ident.Instance{ID: "e1"}, want: true},
		"gone":             {instance: engine, gone: true},
		"another endpoint": {instance: ident.Instance{ID: "e2", Born: 9}, gone: true, want: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			now := ident.Time(time.Hour)
			p, table := limit.NewPool(limit.NewTable(), now), limit.NewTable()
			p.Observe(limit.Seen{Instance: engine, Rate: 5}, now)
			table.Apply(p.Sync(table, now)[0])
			p.Replaced(c.instance, c.gone)
			assert.Equal(t, p.Limited(engine), c.want)
			for _, command := range p.Sync(table, now.Add(time.Minute)) {
				table.Apply(command)
			}
			assert.Equal(t, table.Len() == 1, c.want)
		})
	}
}

// The limits outlive a restart of all control hosts, from a snapshot, and a limit that is not reported any more is dropped after
// forgetAfter, not before.
func TestLimitsOutliveSnapshotsUntilForgotten(t *testing.T) {
	now := ident.Time(time.Hour)
	table := limit.NewTable()
	table.Apply(limit.Command{Set: []limit.Record{{Instance: engine, Service: "llm", Rate: 1.5}}})
	table = limit.Restore(table.Snapshot())
	assert.Equal(t, table.Changes, uint64(1))
	p := limit.NewPool(table, now)
	assert.Assert(t, p.Limited(engine))
	assert.Assert(t, p.Wait(engine, now) > 0, "what the earlier leader permitted may still be under way")
	assert.Equal(t, len(p.Sync(table, now.Add(9*time.Minute))), 0)
	for _, c := range p.Sync(table, now.Add(11*time.Minute)) {
		table.Apply(c)
	}
	assert.Equal(t, table.Len(), 0)
	assert.Assert(t, !p.Limited(engine))
}

// An endpoint that names another limit with each answer must not fill the log.
func TestVaryingLimitIsReplicatedSeldom(t *testing.T) {
	now := ident.Time(time.Hour)
	p, table := limit.NewPool(limit.NewTable(), now), limit.NewTable()
	for k := range 1000 {
		now = now.Add(10 * time.Millisecond)
		p.Observe(limit.Seen{Instance: engine, Rate: limit.Rate(1 + k%7)}, now)
		for _, c := range p.Sync(table, now) {
			table.Apply(c)
		}
	}
	assert.Assert(t, table.Changes > 0 && table.Changes <= 21, "%d changes in 10 s", table.Changes)
}

// fleet plays one endpoint with a limit, hosts with more demand than it takes, and leaders that follow each other.
type fleet struct {
	rand   *rand.Rand
	now    ident.Time
	table  *limit.Table
	pool   *limit.Pool // nil while no leader is known
	shares []*limit.Pacer
	// sent are the times at which the sends leave their hosts.
	sent []ident.Time
}

// permit gives one of the hosts a permit, which leaves within PermitLife.
func (f *fleet) permit() {
	if f.pool.Wait(engine, f.now) > 0 {
		return
	}
	f.pool.Take(engine, f.now)
	f.sent = append(f.sent, f.now.Add(time.Duration(f.rand.Int64N(int64(20*time.Millisecond)))))
}

// Leaders change once a second or less often, and all control hosts restart from the table, while demand is above the limit all the
// time. Without a leader hosts use their shares.
func TestLimitHoldsThroughChangesOfLeader(t *testing.T) {
	const rate, hosts, step = 3.0, 7, 5 * time.Millisecond
	for seed := range uint64(20) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			f := &fleet{rand: rand.New(rand.NewPCG(seed, 5)), now: ident.Time(time.Hour), table: limit.NewTable()}
			f.table.Apply(limit.Command{Set: []limit.Record{{Instance: engine, Rate: rate}}})
			f.pool = limit.NewPool(f.table, f.now)
			next := f.now.Add(3 * time.Second)
			led := time.Duration(0)
			for end := f.now.Add(5 * time.Minute); f.now < end; f.now = f.now.Add(step) {
				if f.now >= next {
					f.changeLeader()
					next = f.now.Add(time.Second + time.Duration(f.rand.Int64N(int64(8*time.Second))))
				}
				if f.pool != nil {
					led += step
					f.permit()
					continue
				}
				for _, p := range f.shares {
					if p.Wait(f.now) == 0 {
						p.Take(f.now)
						f.sent = append(f.sent, f.now)
					}
				}
			}
			slices.Sort(f.sent)
			most := stand.MostInWindow(f.sent, window)
			assert.Assert(t, float64(most) <= rate*window.Seconds()+2, "%d sends in 4 s", most)
			assert.Assert(t, float64(len(f.sent)) >= 0.8*rate*(5*time.Minute).Seconds(), "only %d sends, led for %v", len(f.sent), led)
		})
	}
}

// changeLeader replaces the leader at once or, now and then, after a time in which none is known.
func (f *fleet) changeLeader() {
	if f.pool != nil && f.rand.IntN(3) == 0 {
		f.pool, f.shares = nil, nil
		for rank := range 7 {
			f.shares = append(f.shares, limit.NewShare(3, rank, 7, f.now))
		}
		return
	}
	f.table = limit.Restore(f.table.Snapshot())
	f.pool = limit.NewPool(f.table, f.now)
}
