package voter

import (
	"context"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"shallotgap/core/burn"
	"shallotgap/core/census"
	"shallotgap/core/grant"
	"shallotgap/core/ident"
	"shallotgap/io/logs"
	"shallotgap/io/metric"
)

func newVoter(t *testing.T, folder string) *Voter {
	t.Helper()
	common, err := logs.New(io.Discard, "c1", "error")
	assert.NilError(t, err)
	v, err := New(common, metric.New(burn.Targets{}), Config{Self: "c1", Folder: folder, GrantParams: grant.Defaults()})
	assert.NilError(t, err)
	t.Cleanup(func() { assert.NilError(t, v.store.Close()) })
	return v
}

// A restarted control host must know the endpoints that were ready before, until their next heartbeats are due. It must not
// send an endpoint to other hosts before the endpoint's first heartbeat since the restart, and must then send this heartbeat
// as a change.
func TestEndpointsSurviveRestart(t *testing.T) {
	heartbeat := func(id string, seq uint64, s census.State) census.Entry {
		return census.Entry{
			Instance: ident.Instance{ID: ident.EndpointID(id), Born: 7}, Seq: seq, Service: "llm", Address: id, State: s,
			Models: []string{"base"}, Held: []census.HeldAdapter{{Model: "base", Adapter: "a1", Version: 1}},
		}
	}
	folder := t.TempDir()
	synctest.Test(t, func(t *testing.T) {
		v := newVoter(t, folder)
		v.observeEndpoints([]census.Entry{heartbeat("g1", 4, census.Ready), heartbeat("g2", 4, census.Draining), heartbeat("g3", 4, census.Ready)}, true)
		ctx, stop := context.WithCancel(t.Context())
		go func() {
			for f := range v.inbox {
				f()
			}
		}()
		ended := make(chan error)
		go func() { ended <- v.saveEndpoints(ctx) }()
		<-time.After(2 * saveInterval) // virtual time
		synctest.Wait()
		stop()
		assert.NilError(t, <-ended)
		close(v.inbox)
	})

	v := newVoter(t, folder)
	list := v.census.List()
	assert.Equal(t, len(list), 2)
	assert.Equal(t, list[0].Instance.ID, ident.EndpointID("g1"))
	assert.Equal(t, list[1].Instance.ID, ident.EndpointID("g3"))
	assert.DeepEqual(t, list[0].Models, []string{"base"})
	assert.Equal(t, len(list[0].Held), 0)
	silence := v.startedAt.Sub(list[0].LastHeartbeat)
	assert.Equal(t, silence, v.GrantParams.HeartbeatTimeout-v.GrantParams.HeartbeatLag)
	assert.Equal(t, len(v.heardEndpoints()), 0)

	v.observeEndpoints([]census.Entry{heartbeat("g1", 5, census.Ready)}, true)
	assert.Equal(t, len(v.changedEndpoints), 1)
	assert.Equal(t, len(v.heardEndpoints()), 1)
	v.observeEndpoints([]census.Entry{heartbeat("g1", 6, census.Ready)}, true)
	assert.Equal(t, len(v.changedEndpoints), 1)
	v.observeEndpoints([]census.Entry{heartbeat("g3", 4, census.Ready)}, true) // a delayed heartbeat
	assert.Equal(t, len(v.heardEndpoints()), 1)
}
