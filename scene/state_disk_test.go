package scene

import (
	"bytes"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"

	"shallotgap/core/ident"
	"shallotgap/core/world"
	"shallotgap/fakes/fleet"
	"shallotgap/io/disk"
)

// failingFile is a log file with fault injection: full fails writes, broken fails syncs.
type failingFile struct {
	disk.File
	full, broken *atomic.Bool
}

func (f failingFile) Write(p []byte) (int, error) {
	if f.full.Load() {
		return 0, syscall.ENOSPC
	}
	return f.File.Write(p)
}

func (f failingFile) Sync() error {
	if f.broken.Load() {
		return syscall.EIO
	}
	return f.File.Sync()
}

// logBuffer collects the log lines of all hosts.
type logBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (l *logBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buf.Write(p)
}

func (l *logBuffer) has(s string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Contains(l.buf.String(), s)
}

// A host whose disk fails acknowledges no further write, logs the failure and ends with an error. The other hosts go on
// accepting edits.
func TestHostWithFailingDiskEndsAndOthersContinue(t *testing.T) {
	var full, broken atomic.Bool
	cases := map[string]struct {
		fault *atomic.Bool
		want  string
	}{
		"full disk":     {fault: &full, want: "no space left on device"},
		"failing fsync": {fault: &broken, want: "input/output error"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			out := &logBuffer{}
			wrap := func(h ident.HostID, f disk.File) disk.File {
				if h != "e1" {
					return f
				}
				return failingFile{File: f, full: &full, broken: &broken}
			}
			f, err := fleet.New(fleet.Config{Hosts: 4, Disks: 3, Domains: 3, Folder: t.TempDir(), Params: world.Defaults(), Seed: 1, Logs: out, WrapLog: wrap})
			assert.NilError(t, err)
			defer f.Close()
			for _, h := range f.Hosts {
				assert.Assert(t, fleet.Await(settleTime, func() bool { return ready(h, 0) }))
			}
			c.fault.Store(true)
			defer c.fault.Store(false)
			failed := f.Hosts[0]
			putRowOn(t, f.Hosts[3], f.Hosts[1:], "feed-advice@v1")
			assert.Assert(t, fleet.Await(settleTime, failed.Ended))
			assert.ErrorContains(t, failed.Err, "disk failed, the host stops")
			assert.ErrorContains(t, failed.Err, c.want)
			assert.Assert(t, out.has("disk-failed"))
			putRowOn(t, f.Hosts[1], f.Hosts[1:], "feed-advice-2@v1")
		})
	}
}
