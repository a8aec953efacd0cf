package logs

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

// Limits of a Bounded writer.
const (
	maxQueuedLines     = 4096             // lines that may wait for a slow reader
	dropReportInterval = 10 * time.Second // interval of the log line with the number of dropped lines
)

// LinesDropped is the message of the log line that reports the number of dropped lines.
const LinesDropped = "lines-dropped"

// Bounded passes log lines to a writer in the background. It never blocks, and drops lines while its queue is full.
type Bounded struct {
	host    string
	lines   chan []byte
	dropped atomic.Int64
	mu      sync.Mutex
	partial []byte // incomplete line
}

var _ io.Writer = (*Bounded)(nil)

// NewBounded returns a writer that passes the log lines of a host to w.
func NewBounded(w io.Writer, host string) *Bounded {
	b := &Bounded{host: host, lines: make(chan []byte, maxQueuedLines)}
	go b.run(w)
	return b
}

// Write appends p to the incomplete line, and queues the line once p ends with a line feed: the logfmt handler writes a line in
// pieces. Write always succeeds.
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

// Dropped returns the number of lines dropped since the last LinesDropped line.
func (b *Bounded) Dropped() int64 { return b.dropped.Load() }

func (b *Bounded) run(w io.Writer) {
	tick := time.NewTicker(dropReportInterval)
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
			return // the process that reads the log has ended
		}
	}
}
