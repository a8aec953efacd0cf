package peer_test

import (
	"context"
	"io"
	"net"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"shallotgap/core/ident"
	"shallotgap/core/world"
	"shallotgap/io/conf"
	"shallotgap/io/logs"
	"shallotgap/io/peer"
	"shallotgap/io/relay"
)

// counter is a receiver that counts chunks and checks their order.
type counter struct {
	next       atomic.Uint32
	misordered atomic.Uint32
	arrived    chan struct{}
}

var _ peer.Receiver = (*counter)(nil)

func (c *counter) ReceiveControl(ident.HostID, world.Message) {}
func (c *counter) LinkLost(ident.HostID)                      {}
func (c *counter) LinkUp(ident.HostID)                        {}

func (c *counter) ReceiveData(_ ident.HostID, f relay.Frame) {
	if f.Chunk.Seq != c.next.Load() {
		c.misordered.Add(1)
	}
	c.next.Add(1)
	c.arrived <- struct{}{}
}

// pair starts two networks and returns the first one and the receiver of the second. The receiver blocks once window
// received chunks have not been read from arrived.
func pair(t testing.TB, window int) (*peer.Network, *counter) {
	t.Helper()
	common, err := logs.New(io.Discard, "e1", "info")
	assert.NilError(t, err)
	var hosts []conf.Host
	var listeners []net.Listener
	for _, name := range []ident.HostID{"e1", "e2"} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		listeners = append(listeners, l)
		hosts = append(hosts, conf.Host{Name: name, Peer: l.Addr().String()})
	}
	c := &counter{arrived: make(chan struct{}, window)}
	first := peer.New(common, peer.Config{Self: "e1", Hosts: hosts, Listener: listeners[0], Receiver: &counter{}})
	second := peer.New(common, peer.Config{Self: "e2", Hosts: hosts, Listener: listeners[1], Receiver: c})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{}, 2)
	for _, n := range []*peer.Network{first, second} {
		go func() {
			_ = n.Run(ctx)
			done <- struct{}{}
		}()
	}
	t.Cleanup(func() {
		cancel()
		<-done
		<-done
	})
	return first, c
}

// chunk returns a frame with one token of a streamed answer, in the format of an engine.
func chunk(seq uint32) relay.Frame {
	event := []byte(`data: {"id":"cmpl-e1.18eddd1d8f5c029a.1","object":"text_completion","model":"feed-advice@v1","choices":[{"index":0,"text":"t2 "}]}` + "\n\n")
	return relay.Frame{Chunk: &relay.Chunk{ID: ident.RequestID{Host: "e1", Incarnation: 1, Seq: 7}, Seq: seq, Data: event}}
}

// sendAll sends n chunks and waits until all have arrived. While the link's queue is full, it waits for a chunk to
// arrive.
func sendAll(n int, from *peer.Network, to *counter) {
	for seq := range n {
		for !from.SendData("e2", chunk(uint32(seq))) {
			if seq > 0 {
				<-to.arrived
			}
		}
	}
	for to.next.Load() < uint32(n) {
		<-to.arrived
	}
}

func TestFramesArriveInOrder(t *testing.T) {
	const frames = 3000
	from, to := pair(t, frames)
	sendAll(frames, from, to)
	assert.Equal(t, to.next.Load(), uint32(frames))
	assert.Equal(t, to.misordered.Load(), uint32(0))
}

// One operation sends one token to another host.
func BenchmarkRelayToken(b *testing.B) {
	from, to := pair(b, b.N+1)
	sendAll(1, from, to)
	b.ResetTimer()
	for seq := range b.N {
		for !from.SendData("e2", chunk(uint32(seq))) {
			<-to.arrived
		}
	}
	for to.next.Load() < uint32(b.N) {
		<-to.arrived
	}
}
