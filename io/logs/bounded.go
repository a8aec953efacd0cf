package logs

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

// Bounds of the log.
const (
	waitingLines = 4096             // that wait for a slow reader
	reportEvery  = 10 * time.Second // a line tells how many were dropped
)

// LinesDropped is the message that tells how many lines a slow reader missed.
const LinesDropped = "lines-dropped"

// Bounded writes lines in the background: it never blocks, and drops lines when the reader is slow.
type Bounded struct {
	host    string
	lines   chan []byte
	dropped atomic.Int64
	mu      sync.Mutex
	partial []byte // the beginning of a line
}

var _ io.Writer = (*Bounded)(nil)

// NewBounded returns a writer that passes the lines of a host on to w.
func NewBounded(w io.Writer, host string) *Bounded {
	b := &Bounded{host: host, lines: make(chan []byte, waitingLines)}
	go b.run(w)
	return b
}

// Write queues what ends a line with all before it; it always succeeds. The log's handler writes a line in pieces.
func (b *Bounded) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.partial = append(b.partial, p...)
	if !bytes.HasSuffix(p, []byte{'\n'}) {
		return len(p), nil
	}
	select {
	case b.lines <- b.partial:
	default:
		b.dropped.Add(1)
	}
	b.partial = nil
	return len(p), nil
}

// Dropped returns how many lines were dropped since that was last told in the log.
func (b *Bounded) Dropped() int64 { return b.dropped.Load() }

func (b *Bounded) run(w io.Writer) {
	tick := time.NewTicker(reportEvery)
	defer tick.Stop()
	for {
		var line []byte
		select {
		case line = <-b.lines:
		case <-tick.C:
			if n := b.dropped.Swap(0); n > 0 {
				line = fmt.Appendf(nil, "timestamp=%s level=warn message=%s host=%s lines=%d step=log\n", time.Now().UTC().Format(time.RFC3339Nano), LinesDropped, b.host, n)
			}
		}
		if _, err := w.Write(line); err != nil {
			return // nobody reads the log any more
		}
	}
}
