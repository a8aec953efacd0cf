//go:build review

package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record writes down what was sent, answered and run.
type record struct {
	mu     sync.Mutex
	start  time.Time
	file   *os.File
	broken []string
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{start: time.Now(), file: f}, nil
}

func (r *record) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f s  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// breaks writes down that a rule was broken.
func (r *record) breaks(rule, format string, args ...any) {
	text := rule + ": " + fmt.Sprintf(format, args...)
	r.note("BROKEN %s", text)
	r.mu.Lock()
	r.broken = append(r.broken, text)
	r.mu.Unlock()
}

func (r *record) verdict() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.broken) == 0 {
		_, _ = fmt.Fprintln(r.file, "held")
		return 0
	}
	_, _ = fmt.Fprintf(r.file, "broken: %d times, first: %s\n", len(r.broken), r.broken[0])
	return 1
}
