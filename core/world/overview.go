package world

import (
	"shallotgap/core/drain"
	"shallotgap/core/ident"
	"shallotgap/core/lease"
	"shallotgap/core/place"
	"shallotgap/core/quorum"
)

// HostRole is what a host does for the replicated log.
type HostRole string

// The roles of a host.
const (
	RoleEntry     HostRole = "entry"     // keeps no log, follows the leader
	RoleFollower  HostRole = "follower"  // keeps the log and votes, or learns
	RoleCandidate HostRole = "candidate" // asks for votes
	RoleLeader    HostRole = "leader"    // appends to the log
)

// Overview is what one host knows of itself and of the system, for operators.
type Overview struct {
	Host    ident.HostID `json:"host"`
	Role    HostRole     `json:"role"`
	Leader  ident.HostID `json:"leader"`
	Serving bool         `json:"serving"`
	// LeaseLeftMS is the time in milliseconds until this host's lease ends if it is not renewed; 0 without a lease.
	LeaseLeftMS int64       `json:"lease-left-ms"`
	Applied     ident.Index `json:"applied"`
	// LogLength is the number of entries since the last snapshot; 0 on a host without a log.
	LogLength int `json:"log-length"`
	// Members are the data folders that take part in replication as this host knows them; none on a host without a log.
	Members quorum.Members `json:"members,omitempty"`
	// Queued and Running count the requests at the endpoints that this host owns.
	Queued    int            `json:"queued"`
	Running   int            `json:"running"`
	Endpoints []lease.Owned  `json:"endpoints"`
	Reports   []place.Report `json:"reports"`
	// Wants are the loads that requests wait for at the endpoints that this host owns.
	Wants []place.LoadRequest `json:"wants"`
	Stops []drain.Stop        `json:"stops"`
}

// Overview returns what this host knows at its last event.
func (w *World) Overview() Overview {
	o := Overview{
		Host:        w.Self,
		Role:        w.role(),
		Leader:      w.leader,
		Serving:     w.Serving(),
		LeaseLeftMS: max(0, w.holder.Until().Sub(w.now)).Milliseconds(),
		Applied:     w.state.Applied,
		Endpoints:   w.state.Owners.List(),
		Reports:     w.Reports(),
		Wants:       []place.LoadRequest{},
		Stops:       w.state.Stops.List(),
	}
	if w.node != nil {
		o.LogLength = w.node.Length()
		o.Members = w.Members()
	}
	for _, id := range sortedKeys(w.sites) {
		site := w.sites[id]
		o.Queued += len(site.Queue)
		o.Running += site.Running
		o.Wants = append(o.Wants, waitingLoads(site)...)
	}
	return o
}

func (w *World) role() HostRole {
	if w.node == nil {
		return RoleEntry
	}
	switch w.node.Role() {
	case quorum.Leader:
		return RoleLeader
	case quorum.Candidate:
		return RoleCandidate
	default:
		return RoleFollower
	}
}

// waitingLoads returns the models that requests of a site wait for, those under way included.
func waitingLoads(site *place.Site) []place.LoadRequest {
	var list []place.LoadRequest
	counts := map[ident.Model]int{}
	for _, it := range site.Queue {
		if site.Kind != lease.Engine || !site.Missing(it.Model) {
			continue
		}
		if counts[it.Model]++; counts[it.Model] == 1 {
			list = append(list, place.LoadRequest{Endpoint: site.ID, Model: it.Model})
		}
	}
	for i := range list {
		list[i].Waiting = counts[list[i].Model]
	}
	return list
}
