package voter

import (
	"context"
	"fmt"
	"reflect"
	"time"

	"shallotgap/core/book"
	"shallotgap/core/census"
	"shallotgap/core/ident"
	"shallotgap/core/layout"
	"shallotgap/core/quorum"
	"shallotgap/core/wire"
	"shallotgap/core/world"
	"shallotgap/io/clock"
	"shallotgap/io/link"
)

// processLog executes the effects of the log: messages to send, writes to queue, snapshots and entries to apply.
func (v *Voter) processLog() {
	for {
		r := v.node.Ready()
		if r.Empty() {
			return
		}
		v.linkToMembers()
		for _, m := range r.Immediate {
			v.sendQuorum(m)
		}
		if r.Seq != 0 || len(r.AfterWrite) > 0 {
			v.disk.Add(diskJob{
				write:      world.Write{Seq: r.Seq, Hard: r.Hard, Snapshot: r.Snapshot, Replace: r.Snapshot != nil, Entries: r.Entries},
				afterWrite: r.AfterWrite,
			}, clock.Boot())
		}
		if r.Snapshot != nil {
			v.restore(*r.Snapshot)
		}
		for _, e := range r.Committed {
			v.apply(e)
		}
	}
}

func (v *Voter) sendQuorum(m quorum.Message) { v.mesh.Send(m.To, link.Message{Quorum: &m}) }

func (v *Voter) restore(s quorum.Snapshot) {
	state, err := book.Restore(s.Data)
	if err != nil {
		v.Log.WithField("step", "restore").WithField("index", s.Index).WithError(err).Error("bad-snapshot")
		return
	}
	v.completeLayout(state.Layout)
	former := v.book.Layout
	v.book, v.applied, v.nextStatus = state, s.Index, 0
	v.streams.Life = state.Builds.Life()
	v.publishDepartures(v.census.ApplyDepartures(clock.Boot()))
	if former == nil && v.book.Layout != nil {
		v.setCensusServices()
	}
}

// completeLayout reads the services of a layout from the operators' text again if a host of an earlier version has stored the layout without the
// sizes of adapters. The layout must not be in use yet.
func (v *Voter) completeLayout(l *layout.Layout) {
	if l == nil || v.DecodeLayout == nil || len(l.Source) == 0 || !l.LacksSizes() {
		return
	}
	full, err := v.DecodeLayout(l.Source)
	if err != nil {
		v.Log.WithField("step", "restore").WithField("version", l.Version).WithError(err).Warn("sizes-not-read")
		return
	}
	l.Services = full.Services
}

// apply applies a committed entry to the replicated state.
func (v *Voter) apply(e quorum.Entry) {
	v.applied = e.Index
	v.turn.applied++
	v.bytesSinceSnapshot += len(e.Data)
	if e.Kind != quorum.Normal {
		return
	}
	var c book.Command
	if err := wire.Unmarshal(e.Data, &c); err != nil {
		v.Log.WithField("step", "apply").WithField("index", e.Index).WithError(err).Error("bad-entry")
		return
	}
	v.completeLayout(c.Layout)
	former := v.book.Layout
	if v.book.Apply(c) {
		v.publishCommand(c, former, e.Index)
	}
	v.leaderCalls.committed(e.Index, e.Term)
	v.compact()
}

// publishCommand logs an applied command and passes its changes to the entry hosts, the census and the grant authority.
// former is the layout before the command.
func (v *Voter) publishCommand(c book.Command, former *layout.Layout, index ident.Index) {
	v.nextStatus = 0
	log := v.Log.WithField("step", "apply").WithField("index", index)
	switch {
	case c.Layout != nil:
		v.streams.Life = v.book.Builds.Life()
		v.latestChange = layout.Diff(former, v.book.Layout)
		v.sendServiceEndpoints(former)
		if former == nil {
			v.setCensusServices()
		}
		log.WithField("version", c.Layout.Version).WithField("routes", len(c.Layout.Routes)).Info("layout")
	case c.Newest != nil:
		log.WithField("model", c.Newest.Of.Model).WithField("adapter", c.Newest.Of.Adapter).WithField("version", c.Newest.Version).Info("newest")
	case c.Poison != nil:
		v.logPoison(*c.Poison)
	case c.Limits != nil:
		v.logLimits(*c.Limits)
	case c.Builds != nil:
		v.logBuilds(*c.Builds)
	case c.Departed != nil:
		if e, ok := v.census.Depart(c.Departed.Instance, clock.Boot()); ok {
			v.publishDepartures([]census.Entry{e})
		}
	}
	if v.leadership == nil {
		return
	}
	switch {
	case c.Layout != nil:
		v.leadership.setLayout(v.book.Layout, v.census.List())
	case c.Newest != nil:
		v.leadership.authority.SetNewest(*c.Newest)
	}
}

// setCensusServices lets the census reject heartbeats of endpoints whose service is not in the layout.
func (v *Voter) setCensusServices() {
	v.census.SetServices(func(s ident.Service) bool {
		_, ok := v.book.Layout.Service(s)
		return ok
	})
}

// sendServiceEndpoints sends entry hosts the known endpoints when the services of the layout have changed.
func (v *Voter) sendServiceEndpoints(former *layout.Layout) {
	if former != nil && reflect.DeepEqual(former.Services, v.book.Layout.Services) {
		return
	}
	if list := census.Followed(v.heardEndpoints(), v.isPlain); len(list) > 0 {
		v.mesh.SendAll(link.Message{Census: list}, func(h link.Hello) bool { return !h.Control })
	}
}

// compact replaces the applied entries by a snapshot once the log reaches compactEntries, or the entries applied since the last
// snapshot reach compactBytes.
func (v *Voter) compact() {
	if v.node.Length() < compactEntries && v.bytesSinceSnapshot < compactBytes {
		return
	}
	data, err := v.book.Snapshot()
	if err != nil {
		v.Log.WithField("step", "compact").WithError(err).Error("bad-snapshot")
		return
	}
	if snap, ok := v.node.Compact(v.applied, data); ok {
		v.bytesSinceSnapshot = 0
		v.disk.Add(diskJob{write: world.Write{Snapshot: &snap}}, clock.Boot())
	}
}

// diskJob is a write, and the messages to send once it is durable.
type diskJob struct {
	write      world.Write
	afterWrite []quorum.Message
}

// maxWriteBatch is the largest number of writes that share one sync.
const maxWriteBatch = 1024

// runDiskWriter makes queued writes durable in order, with one sync for all writes of a batch.
func (v *Voter) runDiskWriter(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-v.disk.Wake():
		}
		for batch := v.disk.Take(maxWriteBatch); len(batch) > 0; batch = v.disk.Take(maxWriteBatch) {
			err := v.writeBatch(batch)
			if err != nil && ctx.Err() != nil {
				return nil // the host ends while the disk is full
			}
			if err != nil {
				v.Log.WithField("step", "write").WithField("folder", v.Folder).WithError(err).Error("disk-failed")
				return fmt.Errorf("disk failed, the host stops: %w", err)
			}
		}
	}
}

func (v *Voter) writeBatch(batch []diskJob) error {
	start := time.Now()
	var writes []world.Write
	last := uint64(0)
	for _, j := range batch {
		if j.write.Hard != nil || j.write.Snapshot != nil || len(j.write.Entries) > 0 {
			writes = append(writes, j.write)
		}
		last = max(last, j.write.Seq)
	}
	if err := v.store.Write(writes...); err != nil {
		return err
	}
	v.Meter.ObserveDuration("shallotgap_disk_write_seconds", time.Since(start))
	for _, j := range batch {
		for _, m := range j.afterWrite {
			v.sendQuorum(m)
		}
	}
	if last != 0 {
		v.post(func() { v.node.Written(last) })
	}
	return nil
}
