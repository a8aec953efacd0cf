package place

import (
	"cmp"

	"shallotgap/core/ident"
	"shallotgap/core/rows"
	"shallotgap/core/work"
)

// Item is a request at its owner.
type Item struct {
	work.Request
	// From is the entry host that the caller is connected to.
	From     ident.HostID
	Endpoint ident.EndpointID
	Arrived  ident.Time
	Deadline ident.Time
	// Weight is the share of the request's row against other workspaces; 0 counts as 1.
	Weight uint32
	// NotBefore holds a bulk request back until its row's rate allows it.
	NotBefore ident.Time
	// Claimed is set once the claim of an unrepeatable request is committed.
	Claimed  bool
	Claiming bool
	Running  bool
	// Started is when the request was dispatched.
	Started ident.Time

	row  rows.RowKey
	tag  float64 // place in the fair order between workspaces
	seq  uint64  // order of arrival at the site
	slot *Slot   // the slot that the running request pins
}

// Row returns the key of the table row that the request runs under.
func (it *Item) Row() rows.RowKey {
	if it.row == "" {
		it.row = rows.KeyOf(it.Workspace, it.Model.Adapter)
	}
	return it.row
}

// weight returns the request's weight, at least 1.
func (it *Item) weight() float64 { return float64(max(1, it.Weight)) }

// defaultCost is the number of tokens that a request counts for when it states none.
const defaultCost = 16

// cost returns what the request takes of its workspace's share, in tokens.
func (it *Item) cost() float64 {
	if it.Tokens > 0 {
		return float64(it.Tokens)
	}
	return defaultCost
}

// before orders waiting requests: the more urgent first, then by fair share, then in order of arrival.
func (it *Item) before(other *Item) bool { return compareItems(it, other) < 0 }

func compareItems(x, y *Item) int {
	return cmp.Or(cmp.Compare(y.Urgency, x.Urgency), cmp.Compare(x.tag, y.tag), cmp.Compare(x.seq, y.seq))
}

func compareModels(x, y ident.Model) int {
	return cmp.Or(cmp.Compare(x.Adapter, y.Adapter), cmp.Compare(x.Version, y.Version))
}
