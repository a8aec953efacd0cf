// Package sizes builds decision cores that hold the state of a deployment of a given size, for the benchmarks behind
// docs/CAPACITY.md. Messages to other hosts are counted and then dropped.
package sizes

import (
	"fmt"
	"math/rand/v2"
	"time"

	"shallotgap/core/feed"
	"shallotgap/core/ident"
	"shallotgap/core/lease"
	"shallotgap/core/quorum"
	"shallotgap/core/rows"
	"shallotgap/core/state"
	"shallotgap/core/wire"
	"shallotgap/core/world"
)

// Size is the size of a deployment.
type Size struct {
	Hosts     int
	Endpoints int
	Adapters  int
}

// String returns the size in the form of a benchmark name.
func (s Size) String() string {
	return fmt.Sprintf("hosts=%d/endpoints=%d/adapters=%d", s.Hosts, s.Endpoints, s.Adapters)
}

// Workspaces is the number of workspaces over which the adapters are spread.
const Workspaces = 200

// Slots is the number of adapter slots of each engine.
const Slots = 8

// HostName returns the name of the n-th host.
func HostName(n int) ident.HostID { return ident.HostID(fmt.Sprintf("e%d", n)) }

// Model returns the n-th adapter at version v1.
func Model(n int) ident.Model {
	return ident.Model{Adapter: ident.Adapter(fmt.Sprintf("adapter-%05d", n)), Version: "v1"}
}

// Workspace returns the workspace of the n-th adapter.
func Workspace(n int) ident.Workspace {
	return ident.Workspace(fmt.Sprintf("workspace-%03d", n%Workspaces))
}

// Edit returns an edit that writes the n-th adapter's row and expects the row to be at version from; 0 adds the row.
func Edit(n int, from ident.RowVersion) rows.Edit {
	m := Model(n)
	row := rows.Row{Workspace: Workspace(n), Adapter: m.Adapter, Version: m.Version, Weight: 1, MaxRunning: 4}
	return rows.Edit{
		ID:   ident.EditID(fmt.Sprintf("edit-%d-%d", n, from)),
		Key:  rows.KeyOf(row.Workspace, row.Adapter),
		From: from,
		Row:  &row,
	}
}

// Endpoint returns the n-th endpoint, which is an engine.
func Endpoint(n int) lease.Endpoint {
	return lease.Endpoint{
		ID: ident.EndpointID(fmt.Sprintf("g%04d", n)), Kind: lease.Engine, URL: fmt.Sprintf("http://10.0.%d.%d:8000", n/250, n%250),
		Domain: ident.DomainID(fmt.Sprintf("d%02d", n%16)), Service: "base", Slots: Slots, MaxRunning: 32, Instance: ident.Incarnation(n + 1),
	}
}

// State returns the replicated state of a deployment with all rows and with all endpoints assigned evenly to the hosts.
func State(s Size) *state.State {
	st := state.New()
	i := ident.Index(0)
	apply := func(c state.Command) {
		i++
		st.Apply(i, c)
	}
	for n := range s.Adapters {
		e := Edit(n, 0)
		apply(state.Command{Edit: &e})
	}
	for n := range s.Endpoints {
		e := Endpoint(n)
		apply(state.Command{Announce: &e})
		apply(state.Command{Assign: &lease.Assign{Endpoint: e.ID, Owner: HostName(n % s.Hosts)}})
	}
	return st
}

// Driver feeds inputs to a decision core and counts the messages that the core sends and their encoded bytes.
type Driver struct {
	World    *world.World
	Now      ident.Time
	Messages int
	Bytes    int
	// LastSnapshot is the log index of the last snapshot that the core wrote.
	LastSnapshot ident.Index
	// OnEffect is called with every effect, unless nil.
	OnEffect func(world.Effect)
}

// seed makes the random choices of the decision cores repeatable.
const seed = 7

// NewEntry returns the driver of an entry host without a disk. The host holds the given state and owns its share of the
// endpoints.
func NewEntry(s Size, st *state.State) (*Driver, error) {
	d, err := newDriver(s, nil)
	if err != nil {
		return nil, err
	}
	// The snapshot is encoded and decoded, so that the host shares no memory with st and heap measurements are right.
	data, err := wire.Marshal(st.Snapshot(false))
	if err != nil {
		return nil, err
	}
	var snap state.Snapshot
	if err := wire.Unmarshal(data, &snap); err != nil {
		return nil, err
	}
	d.Receive(HostName(1), world.Message{Update: &feed.Update{To: st.Applied, Snapshot: &snap}})
	d.Renew()
	return d, nil
}

// NewLeader returns the driver of the only voter, which is the leader and holds the given state.
func NewLeader(s Size, st *state.State) (*Driver, error) {
	data, err := wire.Marshal(st.Snapshot(true))
	if err != nil {
		return nil, err
	}
	stored := &world.Stored{Disk: "disk"}
	stored.Snapshot.Data = data
	stored.Snapshot.Index = st.Applied
	stored.Snapshot.Term = 1
	stored.Snapshot.Members = append(stored.Snapshot.Members, quorum.Member{Host: HostName(0), Disk: stored.Disk, Voter: true})
	d, err := newDriver(s, stored)
	if err != nil {
		return nil, err
	}
	for d.World.Leader() == "" {
		d.Tick(world.Defaults().Heartbeat)
	}
	for n := 1; n < s.Hosts; n++ {
		d.ReceiveRenewal(n, st.Applied)
	}
	d.Tick(world.Defaults().Heartbeat)
	return d, nil
}

func newDriver(s Size, stored *world.Stored) (*Driver, error) {
	var peers []world.Peer
	for n := range s.Hosts {
		peers = append(peers, world.Peer{Host: HostName(n), Domain: ident.DomainID(fmt.Sprintf("d%02d", n%16)), Disk: stored != nil && n == 0 || stored == nil && n == 1})
	}
	w, err := world.New(world.Config{
		Self: HostName(0), Incarnation: 1, Peers: peers, Stored: stored, Params: world.Defaults(),
		Rand: rand.New(rand.NewPCG(seed, seed)),
	})
	return &Driver{World: w}, err
}

// Handle feeds an event to the core. Writes are reported back as durable immediately.
func (d *Driver) Handle(e world.Event) {
	queue := []world.Event{e}
	for len(queue) > 0 {
		effects := d.World.Handle(world.Input{Now: d.Now, Wall: int64(d.Now / ident.Time(time.Second)), Event: queue[0]})
		queue = queue[1:]
		for _, x := range effects {
			if d.OnEffect != nil {
				d.OnEffect(x)
			}
			if x.Write != nil && x.Write.Seq != 0 {
				queue = append(queue, world.Event{Written: &world.Written{Seq: x.Write.Seq}})
			}
			if x.Write != nil && x.Write.Snapshot != nil {
				d.LastSnapshot = x.Write.Snapshot.Index
			}
			if x.Compact != nil {
				data, err := wire.Marshal(x.Compact.State)
				queue = append(queue, world.Event{Compacted: &world.Compacted{Index: x.Compact.State.Applied, Data: data, Err: errText(err)}})
			}
			d.count(x)
		}
	}
}

func errText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// count adds a sent message to the totals. The message is encoded as on a real host, so that benchmarks include the cost of
// the encoding.
func (d *Driver) count(x world.Effect) {
	if x.Send == nil {
		return
	}
	data, err := wire.Marshal(x.Send.Message)
	if err == nil {
		d.Messages++
		d.Bytes += len(data)
	}
}

// Receive feeds a control message from another host.
func (d *Driver) Receive(from ident.HostID, m world.Message) {
	d.Handle(world.Event{Message: &world.Inbound{From: from, Message: m}})
}

// Tick advances the clock and feeds a clock tick.
func (d *Driver) Tick(by time.Duration) {
	d.Now = d.Now.Add(by)
	d.Handle(world.Event{})
}

// RunSecond advances the clock by a second in ticks of the given length. It feeds the lease renewals of that second and one
// announcement of each endpoint in the host's share.
func (d *Driver) RunSecond(s Size, tick time.Duration) {
	for n := 0; n < s.Endpoints; n += s.Hosts {
		e := Endpoint(n)
		d.Handle(world.Event{Announced: &e})
	}
	for at := time.Duration(0); at < time.Second; at += tick {
		if at%world.Defaults().Lease.Renew == 0 {
			d.Renew()
		}
		d.Tick(tick)
	}
}

// Renew feeds the leader's reply to the host's own lease renewal.
func (d *Driver) Renew() {
	d.Receive(HostName(1), world.Message{Renewed: &lease.RenewReply{Sent: d.Now, Term: 1, Incarnation: 1}})
}

// ReceiveRenewal feeds the n-th host's lease renewal to the leader.
func (d *Driver) ReceiveRenewal(n int, applied ident.Index) {
	d.Receive(HostName(n), world.Message{Renew: &lease.RenewRequest{Sent: d.Now, Incarnation: 1, Applied: applied}})
}
