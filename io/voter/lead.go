package voter

import (
	"context"
	"time"

	"github.com/apex/log"

	"shallotgap/core/census"
	"shallotgap/core/grant"
	"shallotgap/core/ident"
	"shallotgap/core/layout"
	"shallotgap/core/quorum"
	"shallotgap/io/clock"
	"shallotgap/io/link"
)

// leading is what a host has only while it leads.
type leading struct {
	authority *grant.Authority
	term      ident.Term
	began     ident.Time
	ordersAt  ident.Time // no order before
	lastOrder ident.Time
}

// orderTimeout bounds an order and a question to an engine, which answer at once.
const orderTimeout = 200 * time.Millisecond

// runAuthority begins and ends leading, and carries out the authority's decisions.
func (v *Voter) runAuthority(ctx context.Context) {
	now := clock.Boot()
	_, term := v.node.Leader()
	if v.lead != nil && (v.node.Role() != quorum.Leader || v.lead.term != term) {
		v.Log.WithField("step", "lead").WithField("term", v.lead.term).Info("stopped-leading")
		v.ordered = max(v.ordered, v.lead.lastOrder)
		v.lead = nil
		v.statusAt = 0
	}
	v.dropProposals()
	if !v.node.LeadershipConfirmed() {
		return
	}
	if v.lead == nil {
		v.beginLeading(term, now)
	}
	v.serveHeld()
	v.carryOut(ctx, v.lead.authority.Step(now), now)
}

func (v *Voter) beginLeading(term ident.Term, now ident.Time) {
	v.lead = &leading{authority: grant.New(v.GrantParams, now), term: term, began: now}
	if v.ordered != 0 {
		// Orders of this host, then of another one and then of this one again within the pause would be taking turns.
		v.lead.ordersAt = v.ordered.Add(v.OrderPause)
	}
	v.lead.setLayout(v.book.Layout, v.census.List())
	for _, n := range v.book.List() {
		v.lead.authority.SetNewest(n)
	}
	v.Log.WithField("step", "lead").WithField("term", term).WithField("endpoints", len(v.census.List())).Info("leading")
	v.sendStatus(now)
}

func (l *leading) setLayout(next *layout.Layout, endpoints []census.Entry) {
	l.authority.SetLayout(next)
	for _, e := range endpoints {
		l.authority.Observe(e, e.LastHeartbeat)
	}
}

// receivePlaces handles what entry hosts tell the authority.
func (v *Voter) receivePlaces(from link.Hello, m link.Message, now ident.Time) {
	if v.lead == nil {
		return
	}
	switch {
	case m.Ask != nil:
		a := *m.Ask
		a.Host, a.Domain = from.Host, from.Domain
		v.lead.authority.Ask(a, now)
	case m.End != nil:
		v.lead.authority.End(*m.End, now)
	case m.Withdraw != "":
		v.lead.authority.Withdraw(m.Withdraw)
	case m.Live != nil && m.Live.Term == v.lead.term:
		for _, l := range m.Live.Places {
			v.lead.authority.Resume(l, now)
		}
		for _, h := range m.Live.LastServed {
			v.lead.authority.Remember(h)
		}
		for s, sent := range m.Live.SendCounts {
			v.lead.authority.MergeSends(s, sent, now)
		}
	}
}

func (v *Voter) carryOut(ctx context.Context, e grant.Effects, now ident.Time) {
	for _, r := range e.Replies {
		v.mesh.Send(r.Host, link.Message{Reply: &r.Reply})
	}
	for _, n := range e.Notes {
		v.Log.WithFields(log.Fields{
			"step": n.Step, "request": n.Request, "endpoint": n.Endpoint, "peer": n.Peer, "term": v.lead.term,
			"outcome": n.Outcome, "inputs": n.Inputs,
		}).Info("place")
	}
	for _, o := range e.Orders {
		v.sendOrder(ctx, o, now)
	}
	for _, t := range e.Reports {
		v.askReport(ctx, t)
	}
}

func (v *Voter) sendOrder(ctx context.Context, o grant.Order, now ident.Time) {
	lead := v.lead
	done := func(r grant.Result) {
		if v.lead == lead {
			lead.authority.ApplyOrderResult(o, r, clock.Boot())
		}
	}
	if now < lead.ordersAt {
		v.post(func() { done(grant.Conflict) })
		return
	}
	lead.lastOrder = now
	v.Meter.Count("shallotgap_orders_total")
	until := now.Add(election / 2)
	go func() {
		ctx, cancel := context.WithTimeout(ctx, orderTimeout)
		defer cancel()
		r := v.Engines.Order(ctx, o, ident.Fence(lead.term), until)
		v.post(func() { done(r) })
	}()
}

func (v *Voter) askReport(ctx context.Context, t grant.Target) {
	lead := v.lead
	v.Meter.Count("shallotgap_engine_reports_total")
	go func() {
		ctx, cancel := context.WithTimeout(ctx, orderTimeout)
		defer cancel()
		r, err := v.Engines.Report(ctx, t)
		v.post(func() {
			if err != nil {
				if v.lead == lead {
					lead.authority.ReportFailed(t.Instance, clock.Boot())
				}
				v.Log.WithField("step", "report").WithField("endpoint", t.Instance.ID).WithField("peer", t.Address).WithError(err).Warn("no-report")
				return
			}
			if v.lead == lead {
				lead.authority.ApplyReport(t.Instance, r, clock.Boot())
			}
		})
	}()
}

// Stop gives up leading, so that another host leads before this one ends.
func (v *Voter) Stop() {
	v.post(func() {
		v.node.Tick(clock.Boot())
		v.node.StepDown(quorum.ExcludeNone)
		v.node.SuspendCampaigns(holdAfterStop)
	})
}

// holdAfterStop is how long a stopping host does not campaign: longer than any grace.
const holdAfterStop = time.Minute
