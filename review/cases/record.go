//go:build review

package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the protocol of a run: what was sent, answered and run, with the time since the start of the run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	out   *bufio.Writer
	start time.Time
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: f, out: bufio.NewWriter(f), start: time.Now()}, nil
}

// note writes one line.
func (r *record) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.out, "%9.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// say writes one line to the record and to the standard output.
func (r *record) say(format string, args ...any) {
	r.note(format, args...)
	fmt.Printf("%9.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.out.Flush()
	_ = r.file.Close()
}
