package logs_test

import (
	"fmt"
	"io"
	"testing"

	"github.com/apex/log"
	"gotest.tools/v3/assert"

	"shallotgap/io/logs"
)

// stuck is a reader that takes nothing until it is released.
type stuck struct {
	release chan struct{}
	got     chan string
}

func (s *stuck) Write(p []byte) (int, error) {
	<-s.release
	select {
	case s.got <- string(p):
	default:
	}
	return len(p), nil
}

// A reader that is stuck never blocks the writer; lines beyond the bound are dropped, the first ones are kept in order.
func TestBounded(t *testing.T) {
	s := &stuck{release: make(chan struct{}), got: make(chan string, 3)}
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

// A line that is written in pieces reaches the reader whole, so that lines of two processes don't mix.
func TestBoundedKeepsLinesWhole(t *testing.T) {
	s := &stuck{release: make(chan struct{}), got: make(chan string, 1)}
	close(s.release)
	b := logs.NewBounded(s, "c1")
	for _, piece := range []string{"step=", "grant ", "outcome=granted", "\n"} {
		_, err := b.Write([]byte(piece))
		assert.NilError(t, err)
	}
	assert.Equal(t, <-s.got, "step=grant outcome=granted\n")
}

// BenchmarkLines is the cost of a line on the host that writes it, with a reader that keeps up and
// with one that is stuck.
func BenchmarkLines(b *testing.B) {
	outputs := map[string]io.Writer{"reader": io.Discard, "stuck": &stuck{release: make(chan struct{})}}
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

// counter counts the bytes of a log.
type counter struct {
	io.Writer
	bytes int
}

func (c *counter) Write(p []byte) (int, error) {
	c.bytes += len(p)
	return c.Writer.Write(p)
}
