package scene

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"shallotgap/fakes/procs"
)

const (
	answerBytes    = 8 << 20
	endlessCallers = 16
	endlessTime    = 6 * time.Second
	endlessPause   = 20 * time.Millisecond // between two parts of an answer, so that the test does not load the machine
	// The expected peak memory of a host is answerCopies x answer-bytes (live answers, garbage before the next collection, and buffers of links
	// to other hosts) + ownBytes for everything else.
	answerCopies = 3
	ownBytes     = 64 << 20
)

// Engines whose answers do not end, and callers that do not read, had a host hold all of the answers. Now answer-bytes bounds them.
func TestMemoryUnderEndlessAnswers(t *testing.T) {
	program, err := procs.Build("..", t.TempDir())
	assert.NilError(t, err)
	for name, c := range map[string]struct {
		stream, reads bool
	}{
		"events that wait for callers": {stream: true},
		"whole answers":                {reads: true},
	} {
		t.Run(name, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			d, err := procs.New(procs.Config{
				Program: program, Folder: t.TempDir(), Hosts: 3, Disks: 3, Domains: 3, EntryLife: time.Second, AnswerBytes: answerBytes,
				WrapEngine: func(next http.Handler) http.Handler { return endlessAnswers(ctx, next, c.stream) },
			})
			assert.NilError(t, err)
			t.Cleanup(d.Close)
			addFirstRow(t, d)
			before, most := 0, 0
			for _, h := range d.Hosts {
				before = max(before, h.ResidentMB())
			}
			var begun atomic.Int64
			var callers sync.WaitGroup
			load, end := context.WithTimeout(ctx, endlessTime)
			defer end()
			for range endlessCallers {
				callers.Go(func() {
					for load.Err() == nil {
						if askEndless(load, d.Hosts[0].URL(), c.stream, c.reads) {
							begun.Add(1)
						}
						pause(load, 20*time.Millisecond)
					}
				})
			}
			for load.Err() == nil {
				for _, h := range d.Hosts {
					most = max(most, h.ResidentMB())
				}
				pause(load, 20*time.Millisecond)
			}
			cancel()
			callers.Wait()
			t.Logf("resident memory %d MB before, %d MB at most; %d answers begun", before, most, begun.Load())
			assert.Check(t, most<<20 < answerCopies*answerBytes+ownBytes, "resident memory of %d MB", most)
			assert.Check(t, !c.stream || begun.Load() > 0)
			for _, h := range d.Hosts {
				select {
				case <-h.Ended():
					t.Errorf("process %s has ended", h.Name)
				default:
				}
			}
		})
	}
}

// endlessAnswers answers completions without end until the context ends.
func endlessAnswers(ctx context.Context, next http.Handler, stream bool) http.Handler {
	text := strings.Repeat("x", 32<<10)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/v1/completions" {
			next.ServeHTTP(w, r)
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		part := text
		w.Header().Set("Content-Type", "application/json")
		if stream {
			w.Header().Set("Content-Type", "text/event-stream")
			part = fmt.Sprintf("data: {\"id\":\"cmpl-%s\",\"model\":\"feed-advice@v1\",\"text\":\"%s\"}\n\n", r.Header.Get("X-Request-Id"), text)
		}
		for ctx.Err() == nil {
			if _, err := io.WriteString(w, part); err != nil {
				return
			}
			_ = http.NewResponseController(w).Flush()
			pause(ctx, endlessPause)
		}
	})
}

// askEndless sends a request on a connection of its own, and reads the answer or waits. It reports whether the answer began.
func askEndless(ctx context.Context, url string, stream, reads bool) bool {
	dialer := net.Dialer{Timeout: time.Second}
	transport := &http.Transport{DisableKeepAlives: true, ReadBufferSize: 512, DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dialer.DialContext(ctx, network, address)
		if tcp, ok := conn.(*net.TCPConn); ok && !reads {
			_ = tcp.SetReadBuffer(4096)
		}
		return conn, err
	}}
	body := fmt.Sprintf(`{"model":"feed-advice@v1","max_tokens":10,"stream":%t}`, stream)
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, url+"/v1/completions", strings.NewReader(body))
	if err != nil {
		return false
	}
	resp, err := transport.RoundTrip(r)
	if err != nil {
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	if reads {
		_, _ = io.Copy(io.Discard, resp.Body)
	} else {
		<-ctx.Done()
	}
	return resp.StatusCode == http.StatusOK
}

// pause waits, or until the context ends.
func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
