package world

import (
	"shallotgap/core/drain"
	"shallotgap/core/ident"
	"shallotgap/core/lease"
	"shallotgap/core/place"
	"shallotgap/core/quorum"
)

// HostRole is a host's role in the replication of the log.
type HostRole string

// The roles of a host.
const (
	RoleEntry     HostRole = "entry"     // keeps no log, gets updates from the leader
	RoleFollower  HostRole = "follower"  // keeps the log as a voter or standby
	RoleCandidate HostRole = "candidate" // requests votes in an election
	RoleLeader    HostRole = "leader"    // appends to the log
)

// Overview describes a host and its view of the system, for operators.
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
	// Members are the data folders that take part in replication, as known to this host; empty on a host without a log.
	Members quorum.Members `json:"members,omitempty"`
	// Queued and Running count the requests at the endpoints that this host owns.
	Queued    int            `json:"queued"`
	Running   int            `json:"running"`
	Endpoints []lease.Owned  `json:"endpoints"`
	Reports   []place.Report `json:"reports"`
	// Wants are the adapter loads that queued requests wait for at the endpoints that this host owns.
	Wants []place.LoadRequest `json:"wants"`
	Stops []drain.Stop        `json:"stops"`
}

// Overview returns this host's view as of its last event.
func (w *World) Overview() Overview {
	o := Overview{
		Host:        w.Self,
		Role:        w.role(),
		Leader:      w.leader,
		Serving:     w.Serving(),
		LeaseLeftMS: max(0, w.lease.Until().Sub(w.now)).Milliseconds(),
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

// waitingLoads returns the adapters that queued requests of a site wait for, including adapters that are being loaded.
func waitingLoads(site *place.Site) []place.LoadRequest {
	var list []place.LoadRequest
	counts := map[ident.Model]int{}
	for _, item := range site.Queue {
		if site.Kind != lease.Engine || !site.Missing(item.Model) {
			continue
		}
		if counts[item.Model]++; counts[item.Model] == 1 {
			list = append(list, place.LoadRequest{Endpoint: site.ID, Model: item.Model})
		}
	}
	for i := range list {
		list[i].Waiting = counts[list[i].Model]
	}
	return list
}
