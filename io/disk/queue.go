package disk

import (
	"sync"
	"time"

	"shallotgap/core/ident"
)

// Queue holds the jobs that wait for the disk, oldest first. It is unbounded, because the loop of a host must never
// block on the disk: the goroutine that writes to the disk passes its results to that loop.
type Queue[J any] struct {
	mu     sync.Mutex
	list   []queuedJob[J]
	oldest ident.Time // when the oldest job in progress was added
	busy   bool       // jobs are in progress
	wake   chan struct{}
}

type queuedJob[J any] struct {
	job   J
	added ident.Time
}

// NewQueue returns an empty queue.
func NewQueue[J any]() *Queue[J] { return &Queue[J]{wake: make(chan struct{}, 1)} }

// Add appends a job to the queue; now is the current time on the clock of the host.
func (q *Queue[J]) Add(job J, now ident.Time) {
	q.mu.Lock()
	q.list = append(q.list, queuedJob[J]{job, now})
	q.mu.Unlock()
	q.signal()
}

func (q *Queue[J]) signal() {
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

// Wake returns a channel that receives a value when jobs are queued.
func (q *Queue[J]) Wake() <-chan struct{} { return q.wake }

// Take removes and returns the oldest jobs, at most limit, which are then in progress. The jobs of the previous call
// count as done.
func (q *Queue[J]) Take(limit int) []J {
	q.mu.Lock()
	defer q.mu.Unlock()
	n := min(len(q.list), limit)
	var batch []J
	for _, j := range q.list[:n] {
		batch = append(batch, j.job)
	}
	if q.busy = n > 0; q.busy {
		q.oldest = q.list[0].added
	}
	q.list = q.list[n:]
	if len(q.list) > 0 {
		q.signal()
	}
	return batch
}

// OldestAge returns the time since the oldest job in progress was added, or 0 if no job is in progress.
func (q *Queue[J]) OldestAge(now ident.Time) time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	if !q.busy {
		return 0
	}
	return now.Sub(q.oldest)
}

// Len returns the number of queued jobs, without those in progress.
func (q *Queue[J]) Len() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.list)
}
