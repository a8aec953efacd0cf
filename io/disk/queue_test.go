package disk_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"shallotgap/core/ident"
	"shallotgap/io/disk"
)

// A loop adds many writes while the disk's goroutine waits to hand it results: neither may wait for the other for ever.
func TestQueueNeverBlocksTheLoop(t *testing.T) {
	const writes = 5000
	q := disk.NewQueue[int]()
	inbox := make(chan int, 1) // the loop's own inbox is bounded
	done := make(chan struct{})
	go func() { // the disk
		defer close(done)
		for next := 0; next < writes; {
			<-q.Wake()
			for _, n := range q.Take(64) {
				assert.Check(t, n == next, "write %d came in place of %d", n, next)
				next++
				inbox <- n
			}
		}
	}()
	go func() { // the loop adds all before it takes the first result, then one for each
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
		t.Fatal("loop and disk wait for each other")
	}
}

// What is under way is late from when its oldest job was added, until the next jobs are taken.
func TestQueueTellsLateJobs(t *testing.T) {
	q := disk.NewQueue[string]()
	assert.Equal(t, q.OldestAge(at(9)), time.Duration(0))
	q.Add("a", at(1))
	q.Add("b", at(2))
	q.Add("c", at(3))
	assert.DeepEqual(t, q.Take(2), []string{"a", "b"})
	assert.Equal(t, q.OldestAge(at(9)), 8*time.Second)
	assert.Equal(t, q.Len(), 1)
	assert.DeepEqual(t, q.Take(2), []string{"c"})
	assert.Equal(t, q.OldestAge(at(9)), 6*time.Second)
	assert.Equal(t, len(q.Take(2)), 0)
	assert.Equal(t, q.OldestAge(at(9)), time.Duration(0))
}

// Jobs beyond the limit of one batch wake the disk again.
func TestQueueWakesForTheRest(t *testing.T) {
	q := disk.NewQueue[int]()
	for n := range 3 {
		q.Add(n, 0)
	}
	<-q.Wake()
	q.Take(2)
	select {
	case <-q.Wake():
	default:
		t.Fatal("the third job waits unnoticed")
	}
}

func at(seconds int) ident.Time { return ident.Time(time.Duration(seconds) * time.Second) }
