package voter

import (
	"context"
	"fmt"
	"reflect"
	"time"

	"shallotgap/core/book"
	"shallotgap/core/ident"
	"shallotgap/core/layout"
	"shallotgap/core/quorum"
	"shallotgap/core/wire"
	"shallotgap/core/world"
	"shallotgap/io/clock"
	"shallotgap/io/link"
)

// drainLog carries out what the log wants written, sent and applied.
func (v *Voter) drainLog() {
	for {
		r := v.node.Ready()
		if r.Empty() {
			return
		}
		for _, m := range r.Immediate {
			v.sendQuorum(m)
		}
		if r.Seq != 0 || len(r.AfterWrite) > 0 {
			v.disk.Add(diskJob{
				write: world.Write{Seq: r.Seq, Hard: r.Hard, Snapshot: r.Snapshot, Replace: r.Snapshot != nil, Entries: r.Entries},
				then:  r.AfterWrite,
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
	v.book, v.applied, v.statusAt = state, s.Index, 0
}

// apply carries out a committed entry.
func (v *Voter) apply(e quorum.Entry) {
	v.applied = e.Index
	v.sinceCut += len(e.Data)
	if e.Kind != quorum.Normal {
		return
	}
	var c book.Command
	if err := wire.Unmarshal(e.Data, &c); err != nil {
		v.Log.WithField("step", "apply").WithField("index", e.Index).WithError(err).Error("bad-entry")
		return
	}
	former := v.book.Layout
	if v.book.Apply(c) {
		v.applyEffects(c, former, e.Index)
	}
	v.calls.committed(e.Index, e.Term)
	v.compact()
}

// applyEffects tells those who need it what a command has changed; former is the layout before it.
func (v *Voter) applyEffects(c book.Command, former *layout.Layout, index ident.Index) {
	v.statusAt = 0
	log := v.Log.WithField("step", "apply").WithField("index", index)
	if c.Layout != nil {
		v.latest = layout.Diff(former, v.book.Layout)
		v.tellServices(former)
		if former == nil {
			v.nameServices()
		}
		log.WithField("version", c.Layout.Version).WithField("routes", len(c.Layout.Routes)).Info("layout")
	} else {
		log.WithField("model", c.Newest.Of.Model).WithField("adapter", c.Newest.Of.Adapter).WithField("version", c.Newest.Version).Info("newest")
	}
	if v.lead == nil {
		return
	}
	if c.Layout != nil {
		v.lead.setLayout(v.book.Layout, v.census.List())
	} else {
		v.lead.authority.SetNewest(*c.Newest)
	}
}

// nameServices has the census tell endpoints of the deployment from what others announce.
func (v *Voter) nameServices() {
	v.census.SetServices(func(s ident.Service) bool {
		_, ok := v.book.Layout.Service(s)
		return ok
	})
}

// tellServices tells entry hosts of the endpoints of services that the layout has brought.
func (v *Voter) tellServices(former *layout.Layout) {
	if former != nil && reflect.DeepEqual(former.Services, v.book.Layout.Services) {
		return
	}
	if list := v.forEntries(v.heard()); len(list) > 0 {
		v.mesh.SendAll(link.Message{Census: list}, func(h link.Hello) bool { return !h.Control })
	}
}

// compact replaces the log by a snapshot when it has grown.
func (v *Voter) compact() {
	if v.node.Length() < compactAt && v.sinceCut < compactOver {
		return
	}
	data, err := v.book.Snapshot()
	if err != nil {
		v.Log.WithField("step", "compact").WithError(err).Error("bad-snapshot")
		return
	}
	if snap, ok := v.node.Compact(v.applied, data); ok {
		v.sinceCut = 0
		v.disk.Add(diskJob{write: world.Write{Snapshot: &snap}}, clock.Boot())
	}
}

// diskJob is a write with the messages that wait for it.
type diskJob struct {
	write world.Write
	then  []quorum.Message
}

// maxWrites is the largest number of writes that share one sync.
const maxWrites = 1024

// writeAll makes writes durable in order, with one sync for those that wait together.
func (v *Voter) writeAll(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-v.disk.Wake():
		}
		for batch := v.disk.Take(maxWrites); len(batch) > 0; batch = v.disk.Take(maxWrites) {
			if err := v.writeBatch(batch); err != nil {
				v.Log.WithField("step", "write").WithField("folder", v.Folder).WithError(err).Error("disk-failed")
				return fmt.Errorf("disk failed, the host stops: %w", err)
			}
		}
	}
}

func (v *Voter) writeBatch(batch []diskJob) error {
	begun := time.Now()
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
	v.Meter.ObserveDuration("shallotgap_disk_write_seconds", time.Since(begun))
	for _, j := range batch {
		for _, m := range j.then {
			v.sendQuorum(m)
		}
	}
	if last != 0 {
		v.post(func() { v.node.Written(last) })
	}
	return nil
}
