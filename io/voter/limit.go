package voter

import (
	"context"
	"maps"
	"slices"

	"shallotgap/core/ident"
	"shallotgap/core/limit"
	"shallotgap/io/link"
)

// Limits returns the limits that endpoints ask for.
func (v *Voter) Limits(ctx context.Context) ([]limit.Record, error) {
	var list []limit.Record
	err := v.runInLoop(ctx, func() { list = v.book.Limits.List() })
	return list, err
}

// sendLimits sends an entry host the limits of endpoints, with its rank among the entry hosts.
func (v *Voter) sendLimits(to ident.HostID) {
	m := link.Limits{Snapshot: v.book.Limits.Snapshot(), Hosts: len(v.entryHosts)}
	if rank, found := slices.BinarySearch(slices.Sorted(maps.Keys(v.entryHosts)), to); found {
		m.Rank = rank
	}
	v.mesh.Send(to, link.Message{Limits: &m})
}

// logLimits logs a change of the replicated limits.
func (v *Voter) logLimits(c limit.Command) {
	for _, r := range c.Set {
		v.Log.WithField("step", "limit").WithField("endpoint", r.Instance.ID).WithField("service", r.Service).WithField("rate", float64(r.Rate)).WithField("outcome", "in-force").Info("limit")
	}
	for _, i := range c.Drop {
		v.Log.WithField("step", "limit").WithField("endpoint", i.ID).WithField("outcome", "ended").Info("limit")
	}
	v.Meter.Gauge("shallotgap_limits_in_force", int64(v.book.Limits.Len()))
}
