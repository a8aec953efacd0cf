package place

import (
	"time"

	"shallotgap/core/work"
)

// learnPart is the weight of the latest request in the mean running time.
const learnPart = 0.05

// learn takes the running time of a request into the mean.
func (s *Site) learn(run time.Duration) {
	if s.meanRun == 0 {
		s.meanRun = run
		return
	}
	s.meanRun += time.Duration(learnPart * float64(run-s.meanRun))
}

// EstimateWait estimates how long a new request of the urgency waits for a place in the batch, from the mean running time
// and the waiting requests that go before it.
func (s *Site) EstimateWait(u work.Urgency) time.Duration {
	ahead := 0
	for _, it := range s.Queue {
		if it.Urgency >= u {
			ahead++
		}
	}
	return s.meanRun * time.Duration(ahead) / time.Duration(max(1, s.MaxRunning))
}
