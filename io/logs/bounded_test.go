package logs_test

import (
	"fmt"
	"testing"

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
	b := logs.NewBounded(s)
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
	b := logs.NewBounded(s)
	for _, piece := range []string{"step=", "grant ", "outcome=granted", "\n"} {
		_, err := b.Write([]byte(piece))
		assert.NilError(t, err)
	}
	assert.Equal(t, <-s.got, "step=grant outcome=granted\n")
}
