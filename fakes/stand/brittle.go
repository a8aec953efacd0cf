package stand

import (
	"sync"
	"time"
)

// BrittleConfig describes an endpoint that falls over when it has to reject many requests for want of room.
type BrittleConfig struct {
	// Number is how many rejections the endpoint bears in a second.
	Number int
	// Room is how many requests it processes at a time.
	Room int
	// Down is how long it rejects all requests after it fell over.
	Down time.Duration
}

// Brittle counts what an endpoint processes and rejects.
type Brittle struct {
	BrittleConfig
	mu       sync.Mutex
	running  int
	rejected []time.Time // within rejectionWindow
	falls    int
	// downUntil is the end of the latest fall, fragileAfter the time after which the endpoint falls over.
	downUntil, fragileAfter time.Time
}

// rejectionWindow is the time in which rejections add up.
const rejectionWindow = time.Second

// NewBrittle returns an endpoint that falls over only after a given time.
func NewBrittle(c BrittleConfig, fragileAfter time.Time) *Brittle {
	return &Brittle{BrittleConfig: c, fragileAfter: fragileAfter}
}

// SetFragile sets the time after which the endpoint falls over.
func (b *Brittle) SetFragile(after time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.fragileAfter = after
}

// Begin begins to process a request, and reports false if there is no room for it. End must be called after true.
func (b *Brittle) Begin() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	switch {
	case now.Before(b.downUntil):
		return false
	case b.running < b.Room:
		b.running++
		return true
	}
	b.rejected = append(b.rejected, now)
	for now.Sub(b.rejected[0]) > rejectionWindow {
		b.rejected = b.rejected[1:]
	}
	if now.After(b.fragileAfter) && len(b.rejected) > b.Number {
		b.falls++
		b.rejected = nil
		b.downUntil = now.Add(b.Down)
	}
	return false
}

// End ends a request that Begin has begun.
func (b *Brittle) End() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.running--
}

// Falls returns how often the endpoint fell over.
func (b *Brittle) Falls() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.falls
}
