package logs_test

import (
	"fmt"
	"io"
	"testing"

	"github.com/apex/log"
	"gotest.tools/v3/assert"

	"shallotgap/io/logs"
)

// blockedWriter is a writer whose calls block until release is closed. It then passes the lines to got.
type blockedWriter struct {
	release chan struct{}
	got     chan string
}

func (s *blockedWriter) Write(p []byte) (int, error) {
	<-s.release
	select {
	case s.got <- string(p):
	default:
	}
	return len(p), nil
}

// A blocked log reader must not block the host: lines beyond the queue's limit are dropped, and the earlier ones keep their order.
func TestBoundedNeverBlocks(t *testing.T) {
	s := &blockedWriter{release: make(chan struct{}), got: make(chan string, 3)}
	b := logs.NewBounded(s, "c1")
	for n := range 20_000 {
		_, err := fmt.Fprintf(b, "line %d\n", n)
		assert.NilError(t, err)
	}
	close(s.release)
	for n := range 3 {
		assert.Equal(t, <-s.got, fmt.Sprintf("line %d\n", n))
	}
	assert.Assert(t, b.Dropped() >= 20_000-5_000)
}

// A line written in pieces must reach the reader in one write. Otherwise the lines of two processes could mix.
func TestBoundedKeepsLinesWhole(t *testing.T) {
	s := &blockedWriter{release: make(chan struct{}), got: make(chan string, 1)}
	close(s.release)
	b := logs.NewBounded(s, "c1")
	for _, piece := range []string{"step=", "grant ", "outcome=granted", "\n"} {
		_, err := b.Write([]byte(piece))
		assert.NilError(t, err)
	}
	assert.Equal(t, <-s.got, "step=grant outcome=granted\n")
}

// BenchmarkLines measures the cost of writing a log line, with a fast reader and with a blocked one.
func BenchmarkLines(b *testing.B) {
	outputs := map[string]io.Writer{"fast reader": io.Discard, "blocked reader": &blockedWriter{release: make(chan struct{})}}
	for name, out := range outputs {
		b.Run(name, func(b *testing.B) {
			counted := &counter{Writer: logs.NewBounded(out, "f1")}
			common, err := logs.New(counted, "f1", "info")
			assert.NilError(b, err)
			for b.Loop() {
				common.Log.WithFields(log.Fields{
					"step": "end", "request": "4728ec5a02de2762", "endpoint": "llm-4", "outcome": "served",
					"inputs": "first=40ms gap=11ms prompt=100", "sends": 1,
				}).Info("request")
			}
			b.ReportMetric(float64(counted.bytes)/float64(b.N), "B/line")
		})
	}
}

// counter counts the bytes written to a log.
type counter struct {
	io.Writer
	bytes int
}

func (c *counter) Write(p []byte) (int, error) {
	c.bytes += len(p)
	return c.Writer.Write(p)
}
