package voter

import (
	"context"
	"maps"
	"slices"
	"time"

	"shallotgap/core/ident"
	"shallotgap/io/clock"
)

const (
	// orphanDelay is how long after its start a control host waits for the entry hosts that it knows from before. Nearly all dial one
	// of their seeds within some tens of milliseconds, and need no second connection.
	orphanDelay = 1500 * time.Millisecond
	// entryHostRetention is how long the address of an entry host is kept after the loss of its link: longer than an outage of power.
	entryHostRetention = 10 * time.Minute
)

// entryHostAddresses are the addresses at which entry hosts accept links. After a loss of all power, the seeds of an entry host may be
// gone for good; then only a control host that was linked to it can find it.
type entryHostAddresses struct {
	linkedAt map[ident.HostID]ident.Time // time of the last sign of a link, by address
	// orphansDue is the time at which the known hosts without a link are dialled; 0 once that is done.
	orphansDue ident.Time
}

// restoreEntryHosts reads the addresses of entry hosts from before the restart.
func (v *Voter) restoreEntryHosts() {
	v.addresses = entryHostAddresses{linkedAt: map[ident.HostID]ident.Time{}, orphansDue: v.startedAt.Add(orphanDelay)}
	var list []ident.HostID
	if _, err := v.store.EntryHosts().Read(&list); err != nil {
		v.Log.WithField("step", "recall").WithError(err).Warn("entry-hosts-not-read")
		return
	}
	for _, h := range list {
		v.addresses.linkedAt[h] = v.startedAt
	}
}

// dialOrphans links to the entry hosts that are known from before the restart and have not linked to this host.
func (v *Voter) dialOrphans(now ident.Time) {
	if v.addresses.orphansDue == 0 || now < v.addresses.orphansDue {
		return
	}
	v.addresses.orphansDue = 0
	for h, linkedAt := range v.addresses.linkedAt {
		if linkedAt == v.startedAt {
			v.Log.WithField("step", "recall").WithField("peer", h).Info("orphan")
			v.mesh.Target(h)
		}
	}
}

// noteAddress records that an entry host is or was linked.
func (v *Voter) noteAddress(h ident.HostID, now ident.Time) {
	if h != "" {
		v.addresses.linkedAt[h] = now
	}
}

// saveEntryHosts writes the addresses of entry hosts to disk when they change.
func (v *Voter) saveEntryHosts(ctx context.Context) error {
	return saveChanges(ctx, v, savedList[ident.HostID, ident.HostID]{
		what: "entry-hosts", cache: v.store.EntryHosts(),
		list: func() []ident.HostID { return v.addresses.current(v.entryHosts, clock.Boot()) },
		key:  func(h ident.HostID) ident.HostID { return h },
	})
}

// current returns the addresses of the linked entry hosts and of those that were linked lately, in order.
func (a *entryHostAddresses) current(linked map[ident.HostID]entryHost, now ident.Time) []ident.HostID {
	for _, e := range linked {
		if e.hello.Address != "" {
			a.linkedAt[e.hello.Address] = now
		}
	}
	maps.DeleteFunc(a.linkedAt, func(_ ident.HostID, at ident.Time) bool { return now.Sub(at) > entryHostRetention })
	return slices.Sorted(maps.Keys(a.linkedAt))
}
