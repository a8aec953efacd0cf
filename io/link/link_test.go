package link_test

import (
	"context"
	"net"
	"sync"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"shallotgap/core/grant"
	"shallotgap/core/ident"
	"shallotgap/io/link"
	"shallotgap/io/logs"
)

// recorder is a handler that records messages and counts link changes.
type recorder struct {
	mu       sync.Mutex
	messages []link.Message
	ups      int
	downs    int
}

var _ link.Handler = (*recorder)(nil)

func (r *recorder) Receive(_ link.Hello, m link.Message) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.messages = append(r.messages, m)
}

func (r *recorder) LinkUp(link.Hello) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ups++
}

func (r *recorder) LinkDown(link.Hello) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.downs++
}

// read calls f while holding the lock.
func (r *recorder) read(f func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f()
}

// member is a running mesh with a recorder as its handler.
type member struct {
	*link.Mesh
	recorder
	stop func()
}

func start(t *testing.T, name ident.HostID, listener net.Listener) *member {
	t.Helper()
	common, err := logs.New(t.Output(), string(name), "error")
	assert.NilError(t, err)
	m := &member{}
	m.Mesh = link.New(common, link.Config{Self: link.Hello{Host: name, Domain: "d", Control: listener != nil}, Handler: m, Listener: listener})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		if err := m.Run(ctx); err != nil {
			t.Errorf("%s: %v", name, err)
		}
	}()
	m.stop = func() { cancel(); <-done }
	t.Cleanup(m.stop)
	return m
}

func await(t *testing.T, pending string, reached func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if reached() {
			return poll.Success()
		}
		return poll.Continue("%s", pending)
	})
}

// Messages go in both directions of a link, in order; the link is restored after a restart of the control host.
func TestMesh(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	address := listener.Addr().String()
	control := start(t, ident.HostID(address), listener)
	entry := start(t, "entry", nil)
	entry.Target(ident.HostID(address))
	await(t, "the link is not up yet", func() bool { return len(control.Linked()) == 1 && len(entry.Linked()) == 1 })
	for _, id := range []grant.ID{"1", "2", "3"} {
		assert.Assert(t, control.Send("entry", link.Message{Withdraw: id}))
		assert.Assert(t, entry.Send(ident.HostID(address), link.Message{Withdraw: id}))
	}
	assert.Assert(t, !control.Send("nobody", link.Message{Withdraw: "4"}))
	for _, m := range []*member{control, entry} {
		var got string
		await(t, "messages are still missing", func() bool {
			got = ""
			m.read(func() {
				for _, x := range m.messages {
					got += string(x.Withdraw)
				}
			})
			return len(got) >= 3
		})
		assert.Equal(t, got, "123")
	}
	control.stop()
	await(t, "the loss of the link is not noticed yet", func() (down bool) { entry.read(func() { down = entry.downs == 1 }); return down })
	listener, err = net.Listen("tcp", address)
	assert.NilError(t, err)
	start(t, ident.HostID(address), listener)
	await(t, "the link is not restored yet", func() (up bool) { entry.read(func() { up = entry.ups == 2 }); return up })
}
