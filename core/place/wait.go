package place

import (
	"time"

	"shallotgap/core/work"
)

// runTimeWeight is the weight of the latest request in the moving average of running times.
const runTimeWeight = 0.05

// recordRunTime adds the running time of a request to the moving average.
func (s *Site) recordRunTime(elapsed time.Duration) {
	if s.meanRunTime == 0 {
		s.meanRunTime = elapsed
		return
	}
	s.meanRunTime += time.Duration(runTimeWeight * float64(elapsed-s.meanRunTime))
}

// EstimateWait estimates how long a new request of the given urgency waits for a place in the batch, from the average running
// time and the number of queued requests that are at least as urgent.
func (s *Site) EstimateWait(u work.Urgency) time.Duration {
	return s.meanRunTime * time.Duration(s.AtLeastAsUrgent(u)) / time.Duration(max(1, s.MaxRunning))
}

// AtLeastAsUrgent returns the number of queued requests that are at least as urgent.
func (s *Site) AtLeastAsUrgent(u work.Urgency) int {
	n := 0
	for _, item := range s.Queue {
		if item.Urgency >= u {
			n++
		}
	}
	return n
}
