package scene

import (
	"bytes"
	"fmt"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

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
	var broken atomic.Bool
	cases := map[string]struct {
		fault *atomic.Bool
		want  string
	}{
		"failing fsync": {fault: &broken, want: "input/output error"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			out := &logBuffer{}
			wrap := func(h ident.HostID, f disk.File) disk.File {
				if h != "e1" {
					return f
				}
				return failingFile{File: f, full: new(atomic.Bool), broken: &broken}
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

// A host whose disk is full ended itself, and again after each restart while the disk was full. Now it stays, the other hosts accept edits
// while it waits, and an edit that is sent to it once the disk has room is accepted at once.
func TestHostWithFullDiskWaitsForRoom(t *testing.T) {
	cases := map[string]struct{ leads bool }{
		"leader":     {true},
		"other host": {false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			out := &logBuffer{}
			full := map[ident.HostID]*atomic.Bool{}
			for n := range 3 {
				full[ident.HostID(fmt.Sprint("e", n+1))] = &atomic.Bool{}
			}
			wrap := func(h ident.HostID, f disk.File) disk.File {
				return failingFile{File: f, full: full[h], broken: &atomic.Bool{}}
			}
			f, err := fleet.New(fleet.Config{Hosts: 4, Disks: 3, Domains: 3, Folder: t.TempDir(), Params: world.Defaults(), Seed: 1, Logs: out, WrapLog: wrap})
			assert.NilError(t, err)
			defer f.Close()
			for _, h := range f.Hosts {
				assert.Assert(t, fleet.Await(settleTime, func() bool { return ready(h, 0) }))
			}
			waiting := slices.IndexFunc(f.Hosts[:3], func(h *fleet.Host) bool { return leads(h) == c.leads })
			assert.Assert(t, waiting >= 0)
			h, others := f.Hosts[waiting], slices.Delete(slices.Clone(f.Hosts), waiting, waiting+1)
			full[h.Name].Store(true)
			for n := range 3 {
				start := time.Now()
				putRowOn(t, others[len(others)-1], others, fmt.Sprintf("feed-advice-%d@v1", n))
				assert.Assert(t, time.Since(start) < 5*time.Second, "the edit took %v", time.Since(start))
				assert.Assert(t, fleet.Await(settleTime, func() bool { return out.has("disk-full") && !leads(h) }))
			}
			assert.Assert(t, !h.Ended(), "%v", h.Err)
			full[h.Name].Store(false)
			start := time.Now()
			putRowOn(t, h, f.Hosts, "feed-advice-last@v1")
			assert.Assert(t, time.Since(start) < 2*time.Second, "the edit took %v", time.Since(start))
			assert.Assert(t, !h.Ended(), "%v", h.Err)
		})
	}
}

// leads reports whether a host leads.
func leads(h *fleet.Host) bool {
	var o world.Overview
	return get(h.URL()+"/admin/status", &o) == nil && o.Role == world.RoleLeader
}
