package place

import (
	"cmp"

	"shallotgap/core/ident"
	"shallotgap/core/rows"
	"shallotgap/core/work"
)

// Item is a request that is queued or running at the owner of its endpoint.
type Item struct {
	work.Request
	// From is the entry host that the caller is connected to.
	From     ident.HostID
	Endpoint ident.EndpointID
	Arrived  ident.Time
	Deadline ident.Time
	// Weight is the row's weight in the fair order between workspaces; 0 counts as 1.
	Weight uint32
	// NotBefore is the earliest start of a bulk request under the rate limit of its row.
	NotBefore ident.Time
	// Claimed is true once the claim of an at-most-once request is committed, Claiming while the commit is under way.
	Claimed  bool
	Claiming bool
	Running  bool
	// Started is the time of dispatch.
	Started ident.Time

	row     rows.RowKey
	fairTag float64 // virtual start time in the fair order between workspaces
	seq     uint64  // order of arrival at the endpoint's owner
	slot    *Slot   // the slot that the request pins while it runs
}

// Row returns the key of the table row that permits the request and sets its limits.
func (item *Item) Row() rows.RowKey {
	if item.row == "" {
		item.row = rows.KeyOf(item.Workspace, item.Model.Adapter)
	}
	return item.row
}

// effectiveWeight returns the row's weight, but at least 1.
func (item *Item) effectiveWeight() float64 { return float64(max(1, item.Weight)) }

// defaultCost is the cost, in tokens, of a request that states no maximum.
const defaultCost = 16

// cost returns the tokens that are charged to the request's workspace in the fair order.
func (item *Item) cost() float64 {
	if item.Tokens > 0 {
		return float64(item.Tokens)
	}
	return defaultCost
}

// before reports whether the request is dispatched before other, which is the order of compareItems.
func (item *Item) before(other *Item) bool { return compareItems(item, other) < 0 }

// compareItems sorts waiting requests by descending urgency, then by fair order, then by arrival.
func compareItems(x, y *Item) int {
	return cmp.Or(cmp.Compare(y.Urgency, x.Urgency), cmp.Compare(x.fairTag, y.fairTag), cmp.Compare(x.seq, y.seq))
}

func compareModels(x, y ident.Model) int {
	return cmp.Or(cmp.Compare(x.Adapter, y.Adapter), cmp.Compare(x.Version, y.Version))
}
