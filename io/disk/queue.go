package disk

import (
	"sync"
	"time"

	"shallotgap/core/ident"
)

// Queue holds the jobs that wait for the disk, oldest first. It has no bound, because a host's loop must never wait for
// the disk: the disk's goroutine hands its results to that loop.
type Queue[J any] struct {
	mu    sync.Mutex
	list  []queued[J]
	begun ident.Time // when the oldest job under way was added
	busy  bool
	wake  chan struct{}
}

type queued[J any] struct {
	job J
	at  ident.Time
}

// NewQueue returns an empty queue.
func NewQueue[J any]() *Queue[J] { return &Queue[J]{wake: make(chan struct{}, 1)} }

// Add queues a job at the clock reading at.
func (q *Queue[J]) Add(job J, at ident.Time) {
	q.mu.Lock()
	q.list = append(q.list, queued[J]{job, at})
	q.mu.Unlock()
	q.signal()
}

func (q *Queue[J]) signal() {
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

// Wake returns a channel that has a value when jobs wait.
func (q *Queue[J]) Wake() <-chan struct{} { return q.wake }

// Take returns the oldest jobs, at most limit. The jobs that it returned before are done.
func (q *Queue[J]) Take(limit int) []J {
	q.mu.Lock()
	defer q.mu.Unlock()
	n := min(len(q.list), limit)
	var batch []J
	for _, j := range q.list[:n] {
		batch = append(batch, j.job)
	}
	if q.busy = n > 0; q.busy {
		q.begun = q.list[0].at
	}
	q.list = q.list[n:]
	if len(q.list) > 0 {
		q.signal()
	}
	return batch
}

// OldestAge returns for how long the oldest job under way has been waited for; 0 when none is.
func (q *Queue[J]) OldestAge(now ident.Time) time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	if !q.busy {
		return 0
	}
	return now.Sub(q.begun)
}

// Len returns the number of jobs that wait.
func (q *Queue[J]) Len() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.list)
}
