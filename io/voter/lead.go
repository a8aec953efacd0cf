package voter

import (
	"context"
	"errors"
	"time"

	"github.com/apex/log"

	"shallotgap/core/book"
	"shallotgap/core/census"
	"shallotgap/core/grant"
	"shallotgap/core/ident"
	"shallotgap/core/layout"
	"shallotgap/core/quorum"
	corereach "shallotgap/core/reach"
	"shallotgap/core/resume"
	"shallotgap/io/clock"
	"shallotgap/io/link"
	"shallotgap/io/reach"
)

// leadership is the state that a host has only while it is the leader.
type leadership struct {
	authority  *grant.Authority
	term       ident.Term
	startedAt  ident.Time
	ordersFrom ident.Time // earliest time at which this leader may send its first order
	lastOrder  ident.Time
	holders    *corereach.Holders
	builds     *resume.Watch
	// buildsDue is the time of the next look at the builds of endpoints.
	buildsDue ident.Time
}

// orderTimeout limits an order or a report request to an engine; engines answer both at once.
const orderTimeout = 200 * time.Millisecond

// runAuthority starts and stops the grant authority as this host gains and loses the leadership, and executes its effects.
func (v *Voter) runAuthority(ctx context.Context) {
	now := clock.Boot()
	_, term := v.node.Leader()
	if v.leadership != nil && (v.node.Role() != quorum.Leader || v.leadership.term != term) {
		v.Log.WithField("step", "lead").WithField("term", v.leadership.term).Info("stopped-leading")
		v.lastOrder = max(v.lastOrder, v.leadership.lastOrder)
		v.leadership = nil
		v.nextStatus = 0
	}
	v.dropProposals()
	if !v.node.LeadershipConfirmed() {
		return
	}
	if v.leadership == nil {
		v.beginLeading(term, now)
	}
	v.watchBuilds(now)
	v.serveDeferred()
	v.executeGrantEffects(ctx, v.leadership.authority.Step(now), now)
}

func (v *Voter) beginLeading(term ident.Term, now ident.Time) {
	v.leadership = &leadership{authority: grant.New(v.GrantParams, now), term: term, startedAt: now, holders: corereach.NewHolders(term, v.OrderPause), builds: resume.NewWatch()}
	if v.lastOrder != 0 {
		// Another host may have sent orders since this host's last order, and orders of two hosts must not alternate within
		// OrderPause.
		v.leadership.ordersFrom = v.lastOrder.Add(v.OrderPause)
	}
	v.leadership.authority.SetPoison(v.book.Poison)
	v.leadership.authority.SetLimits(v.book.Limits, now)
	v.leadership.authority.SetBuilds(v.book.Builds)
	v.proposePoisonKey()
	v.leadership.setLayout(v.book.Layout, v.census.List())
	for _, n := range v.book.List() {
		v.leadership.authority.SetNewest(n)
	}
	v.Log.WithField("step", "lead").WithField("term", term).WithField("endpoints", len(v.census.List())).Info("leading")
	v.sendDepartures()
	v.sendStatus(now)
}

func (l *leadership) setLayout(next *layout.Layout, endpoints []census.Entry) {
	l.authority.SetLayout(next)
	for _, e := range endpoints {
		l.authority.Observe(e, e.LastHeartbeat)
	}
}

// receiveGrantMessage passes an entry host's message to the grant authority. A host that is not the leader ignores it.
func (v *Voter) receiveGrantMessage(from link.Hello, m link.Message, now ident.Time) {
	if v.leadership == nil {
		return
	}
	switch {
	case m.Ask != nil:
		a := *m.Ask
		a.Host, a.Domain = from.Host, from.Domain
		v.leadership.authority.Ask(a, now)
	case m.End != nil:
		v.leadership.authority.End(*m.End, now)
	case m.Written != "":
		v.leadership.authority.Written(m.Written, now)
	case m.LimitSeen != nil:
		v.leadership.authority.ObserveLimit(*m.LimitSeen, now)
	case m.Withdraw != "":
		v.leadership.authority.Withdraw(m.Withdraw)
	case m.Live != nil && m.Live.Term == v.leadership.term:
		v.leadership.authority.AddWritten(m.Live.Written, now)
		for _, c := range m.Live.Crashes {
			v.leadership.authority.ReportCrash(c, from.Host, now)
		}
		for _, s := range m.Live.Limits {
			v.leadership.authority.ObserveLimit(s, now)
		}
		v.addStreams(m.Live.Begun, now)
		for _, l := range m.Live.Places {
			if l.Ask.Resumable {
				v.addStreams([]resume.Record{{Attempt: resume.Attempt(l.Ask.Request), Service: l.Ask.Service, Build: l.Build, Wrote: l.Ask.Bound}}, now)
			}
			v.leadership.authority.Resume(l, now)
		}
		for _, h := range m.Live.LastServed {
			v.leadership.authority.Remember(h)
		}
		for s, sent := range m.Live.SendCounts {
			v.leadership.authority.MergeSends(s, sent, now)
		}
	}
}

func (v *Voter) executeGrantEffects(ctx context.Context, e grant.Effects, now ident.Time) {
	v.addStreams(e.Granted, now)
	v.confirmAlive(e.Alive, now)
	for _, r := range e.Replies {
		v.mesh.Send(r.Host, link.Message{Reply: &r.Reply})
	}
	for _, n := range e.Notes {
		v.Log.WithFields(log.Fields{
			"step": n.Step, "request": n.Request, "endpoint": n.Endpoint, "peer": n.Peer, "term": v.leadership.term,
			"outcome": n.Outcome, "inputs": n.Inputs,
		}).Info("place")
	}
	for _, o := range e.Orders {
		v.sendOrder(ctx, o, now)
	}
	for _, t := range e.Reports {
		v.requestReport(ctx, t)
	}
	for _, t := range e.Probes {
		v.probe(ctx, t)
	}
	for _, c := range e.Poison {
		v.proposeCommand("poison", book.Command{Poison: &c})
	}
	for _, c := range e.Limits {
		v.proposeCommand("limit", book.Command{Limits: &c})
	}
	for _, s := range e.Sends {
		v.Meter.Count("shallotgap_limited_sends_total", "kind", string(s.Kind))
	}
}

func (v *Voter) sendOrder(ctx context.Context, o grant.Order, now ident.Time) {
	lead := v.leadership
	done := func(r grant.Result) {
		if v.leadership != lead {
			return
		}
		if r == grant.Superseded && !lead.holders.Raise(o.Instance) {
			v.renewTerm(o)
		}
		lead.authority.ApplyOrderResult(o, r, clock.Boot())
	}
	holder, found := v.chooseHolder(o, now)
	if !found && lead.holders.Spent(o.Instance) {
		v.renewTerm(o)
	}
	if now < lead.ordersFrom || !found {
		v.post(func() { done(grant.Conflict) })
		return
	}
	if holder.Deputy == "" {
		lead.lastOrder = now
	}
	v.Meter.Count("shallotgap_orders_total")
	until := now.Add(electionTimeout / 2)
	go func() {
		ctx, cancel := context.WithTimeout(ctx, orderTimeout)
		defer cancel()
		r := v.Engines.Order(ctx, o, holder, until)
		v.post(func() { done(r) })
	}()
}

// renewTerm gives up the leadership after an engine has had all fencing tokens of the term, as the next term has new ones. That takes hours of
// refusals, or hundreds of changes of the holder.
func (v *Voter) renewTerm(o grant.Order) {
	v.Log.WithField("step", "order").WithField("endpoint", o.Instance.ID).WithField("term", v.leadership.term).Warn("fences-spent")
	v.node.StepDown(quorum.ExcludeNone)
}

func (v *Voter) requestReport(ctx context.Context, t grant.Target) {
	lead := v.leadership
	v.Meter.Count("shallotgap_engine_reports_total")
	go func() {
		ctx, cancel := context.WithTimeout(ctx, orderTimeout)
		defer cancel()
		r, err := v.Engines.Report(ctx, t)
		v.post(func() {
			if err != nil {
				if v.leadership == lead {
					lead.authority.ReportFailed(t.Instance, !errors.Is(err, reach.ErrNoPath), clock.Boot())
				}
				v.Log.WithField("step", "report").WithField("endpoint", t.Instance.ID).WithField("peer", t.Address).WithError(err).Warn("no-report")
				return
			}
			if v.leadership == lead {
				lead.authority.ApplyReport(t.Instance, r, clock.Boot())
			}
		})
	}()
}

// Stop gives up the leadership, so that another host is elected before this one exits.
func (v *Voter) Stop() {
	v.post(func() {
		v.node.Tick(clock.Boot())
		v.node.StepDown(quorum.ExcludeNone)
		v.node.SuspendCampaigns(stopCampaignHold)
	})
}

// stopCampaignHold is how long a stopping host does not campaign: longer than any grace period.
const stopCampaignHold = time.Minute
