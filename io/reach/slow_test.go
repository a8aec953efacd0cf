package reach

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"shallotgap/core/reach"
	"shallotgap/io/dial"
)

// One connection that took too long had the only relay left out for a second, and all requests of the host were rejected, though the relay answered
// others meanwhile.
func TestSlowConnectionToRelay(t *testing.T) {
	for name, c := range map[string]struct {
		answers bool // the relay answers another request meanwhile
	}{
		"the relay answers": {true},
		"the relay is gone": {false},
	} {
		t.Run(name, func(t *testing.T) {
			_, relay := newClient(t, nil)
			client, _ := newClient(t, refused)
			var opened atomic.Int32
			slow := make(chan struct{})
			client.hosts = dial.New(dial.Config{Open: func(ctx context.Context, network, address string) (net.Conn, error) {
				if opened.Add(1) != 2 {
					return (&net.Dialer{}).DialContext(ctx, network, address)
				}
				close(slow)
				<-ctx.Done()
				return nil, ctx.Err()
			}})
			client.SetRelays([]reach.Relay{relay})
			more := make(chan struct{})
			if !c.answers {
				defer close(more)
			}
			streams := newEndpoint(t, "streams", func(w http.ResponseWriter, _ *http.Request) {
				_, _ = io.WriteString(w, "a")
				_ = http.NewResponseController(w).Flush()
				<-more
				_, _ = io.WriteString(w, "b")
			})
			endless, sound := newEndpoint(t, "endless", endlessBody(strings.Repeat("a", 32<<10))), newEndpoint(t, "sound", serveOK)
			stream, err := client.Do(t.Context(), streams.request(""))
			assert.NilError(t, err)
			result := make(chan error)
			go func() { result <- ask(t.Context(), client, sound) }()
			<-slow
			if c.answers {
				close(more)
				_, err = io.ReadAll(stream)
				assert.NilError(t, err)
				stream.Finish()
				stream, err = client.Do(t.Context(), endless.request("")) // keeps the only connection
				assert.NilError(t, err)
			}
			err = <-result
			stream.Abort()
			assert.Equal(t, err == nil, c.answers, "%v", err)
			assert.Equal(t, errors.Is(err, ErrNoPath), !c.answers, "%v", err)
			var failed *dial.Error
			assert.Assert(t, !errors.As(err, &failed) || !failed.Sent)
		})
	}
}

// ask sends a request and reads its answer.
func ask(ctx context.Context, c *Client, e *endpoint) error {
	resp, err := c.Do(ctx, e.request(""))
	if err != nil {
		return err
	}
	defer resp.Finish()
	_, err = io.ReadAll(resp)
	return err
}
