package disk_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"shallotgap/core/ident"
	"shallotgap/io/disk"
)

// A host's loop adds many writes while the disk's goroutine waits to pass results to the loop. Neither may wait for the
// other forever.
func TestQueueNeverBlocksTheLoop(t *testing.T) {
	const writes = 5000
	q := disk.NewQueue[int]()
	inbox := make(chan int, 1) // the inbox of the loop is bounded
	done := make(chan struct{})
	go func() { // the disk's goroutine
		defer close(done)
		for next := 0; next < writes; {
			<-q.Wake()
			for _, n := range q.Take(64) {
				assert.Check(t, n == next, "got write %d instead of %d", n, next)
				next++
				inbox <- n
			}
		}
	}()
	go func() { // the loop adds all writes before it receives any result
		for n := range writes {
			q.Add(n, 0)
		}
		for range writes {
			<-inbox
		}
	}()
	select {
	case <-done:
	case <-time.After(time.Minute):
		t.Fatal("deadlock between the loop and the disk's goroutine")
	}
}

// The age counts from when the oldest job in progress was added, until the next jobs are taken.
func TestQueueOldestAge(t *testing.T) {
	q := disk.NewQueue[string]()
	assert.Equal(t, q.OldestAge(timeAt(9)), time.Duration(0))
	q.Add("a", timeAt(1))
	q.Add("b", timeAt(2))
	q.Add("c", timeAt(3))
	assert.DeepEqual(t, q.Take(2), []string{"a", "b"})
	assert.Equal(t, q.OldestAge(timeAt(9)), 8*time.Second)
	assert.Equal(t, q.Len(), 1)
	assert.DeepEqual(t, q.Take(2), []string{"c"})
	assert.Equal(t, q.OldestAge(timeAt(9)), 6*time.Second)
	assert.Equal(t, len(q.Take(2)), 0)
	assert.Equal(t, q.OldestAge(timeAt(9)), time.Duration(0))
}

// Jobs that exceed the limit of one batch wake the disk's goroutine again.
func TestQueueWakesForRemainingJobs(t *testing.T) {
	q := disk.NewQueue[int]()
	for n := range 3 {
		q.Add(n, 0)
	}
	<-q.Wake()
	q.Take(2)
	select {
	case <-q.Wake():
	default:
		t.Fatal("no wake-up for the third job")
	}
}

// timeAt returns a clock reading in seconds.
func timeAt(seconds int) ident.Time { return ident.Time(time.Duration(seconds) * time.Second) }
