// Package logs sets up the process log and provides the fields common to all components.
package logs

import (
	"io"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/logfmt"
)

// Common is embedded by every component: it holds the log and the start of the monotonic clock.
type Common struct {
	Log   log.Interface
	Start time.Time
}

// New returns a Common that writes each log entry to w as one line of key=value pairs.
func New(w io.Writer, host, level string) (Common, error) {
	parsed, err := log.ParseLevel(level)
	if err != nil {
		return Common{}, err
	}
	logger := &log.Logger{Handler: logfmt.New(w), Level: parsed}
	return Common{Log: logger.WithField("host", host), Start: time.Now()}, nil
}

// Since returns the monotonic time since the process started.
func (c Common) Since() time.Duration { return time.Since(c.Start) }
