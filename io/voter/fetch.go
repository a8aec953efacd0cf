package voter

import (
	"shallotgap/core/census"
	"shallotgap/core/ident"
	"shallotgap/core/layout"
	"shallotgap/io/link"
)

// serveFetch sends an entry host the layout, the adapter versions, the suspected and blocked parts and the limits of endpoints, each
// only if the host has an older state.
func (v *Voter) serveFetch(to ident.HostID, f link.Fetch) {
	if l := v.book.Layout; l != nil && l.Version > f.Layout {
		v.turn.fetches++
		v.sendLayout(to, f.Layout)
	}
	if v.book.Changes > f.Changes {
		v.mesh.Send(to, link.Message{Newest: &link.Newest{Changes: v.book.Changes, List: v.book.List()}})
	}
	if v.book.Poison.Changes > f.Poison {
		s := v.book.Poison.Snapshot()
		s.Instances = nil // only the table itself needs them
		v.mesh.Send(to, link.Message{Poison: &s})
	}
	if v.book.Limits.Changes > f.Limits {
		v.sendLimits(to)
	}
	if f.Endpoints {
		list := census.Followed(v.heardEndpoints(), v.isPlain)
		v.mesh.Send(to, link.Message{Endpoints: &link.Endpoints{List: list, Settled: v.census.HeardFor() > v.census.Retention}})
	}
}

// encodedLayout is the current layout as entry hosts get it, encoded once for all of them.
type encodedLayout struct {
	layout *layout.Layout
	// whole has no base; change is the change from the version before to the current one.
	whole, change *link.Encoded
}

// sendLayout sends a host the change from its layout version to the current one; it is the whole layout unless that version is the
// previous one.
func (v *Voter) sendLayout(to ident.HostID, from layout.Version) {
	if v.encodedLayout.layout != v.book.Layout {
		v.encodedLayout = encodedLayout{layout: v.book.Layout}
	}
	isChange := v.latestChange.To == v.book.Layout.Version && v.latestChange.From == from && from != 0
	c, encoded := v.latestChange, &v.encodedLayout.change
	if !isChange {
		encoded = &v.encodedLayout.whole
	}
	if *encoded == nil {
		if !isChange {
			c = layout.Diff(nil, v.book.Layout)
		}
		e, err := link.Encode(link.Message{Change: &c})
		if err != nil {
			v.Log.WithField("step", "fetch").WithField("peer", to).WithField("version", c.To).WithError(err).Error("bad-message")
			return
		}
		*encoded = &e
	}
	v.mesh.SendEncoded(to, **encoded)
}
