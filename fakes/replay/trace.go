// Package replay measures the quality of serving decisions. It replays a trace of requests through the decision core in
// virtual time, against simulated engines and a simulated weight store, and compares the result with a baseline policy.
package replay

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"shallotgap/core/ident"
	"shallotgap/core/place"
	"shallotgap/core/work"
)

// Arrival is one request of a trace. A trace file has one arrival as JSON per line, ordered by time.
type Arrival struct {
	At        time.Duration   `json:"at"` // time since the start of the trace, in nanoseconds
	Workspace ident.Workspace `json:"workspace"`
	Model     ident.Model     `json:"model"`
	Urgency   work.Urgency    `json:"urgency"`
	TimeLeft  time.Duration   `json:"left"`   // time from the arrival to the deadline, in nanoseconds
	Tokens    int             `json:"tokens"` // length of the answer
}

// Share is the weight of a workspace in the fair sharing of capacity, and the fraction of the adapters that belong to it;
// on average the workspace gets the same fraction of the arrivals.
type Share struct {
	Workspace    ident.Workspace
	Weight       uint32
	AdapterShare float64
}

// Stream is one class of traffic: random bursts, each of requests for a single adapter.
type Stream struct {
	Urgency work.Urgency
	// Bursts is the mean number of bursts per second.
	Bursts float64
	// Size is the mean number of requests of a burst, which has between 1 and 2*Size-1.
	Size int
	// Spread is the time over which the requests of a burst arrive.
	Spread time.Duration
	// TimeLeft is the time from the arrival of a request to its deadline.
	TimeLeft time.Duration
	// Tokens is the mean length of an answer in tokens.
	Tokens int
}

// Profile describes a deployment and its synthetic traffic.
type Profile struct {
	Name            string
	Engines         int           // number of engines
	Slots           int           // number of adapters that an engine can hold
	Batch           int           // largest number of running requests of an engine
	StepTime        time.Duration // time of an engine step with an empty batch
	StepPer         time.Duration // added to a step for each request of the batch
	Rate            float64       // loads per second that the weight store allows
	InFlight        int           // concurrent loads above which every load slows down
	LoadTime        time.Duration // time of a load when at most InFlight loads run
	Adapters        int           // number of different adapters in the trace
	Skew            float64       // exponent of the Zipf distribution of adapter popularity
	Length          time.Duration // duration of the trace
	Streams         []Stream
	Shares          []Share
	Faults          bool    // inject load failures and engine restarts
	LoadFailureRate float64 // with Faults, the fraction of loads that fail in the second half of the trace
	Restarts        int     // with Faults, the number of engines that restart without adapters
	HostCount       int     // number of entry hosts
	// Policy is the placement policy with which the deployment runs.
	Policy place.Policy
}

// commonProfile returns the values that both deployments share.
func commonProfile() Profile {
	return Profile{
		Slots: 4, Batch: 16, StepTime: 10 * time.Millisecond, StepPer: 500 * time.Microsecond,
		InFlight: 8, LoadTime: 250 * time.Millisecond,
		Adapters: 3000, Skew: 1.1, Length: 5 * time.Minute,
		LoadFailureRate: 0.1, Restarts: 3, HostCount: 7,
	}
}

// Zahlwerk returns the profile of ten engines that check payments: single urgent requests, small bursts of normal ones, and
// some bulk review.
func Zahlwerk() Profile {
	p := commonProfile()
	p.Name = "zahlwerk"
	p.Engines = 10
	p.Policy = place.DefaultPolicy()
	p.Rate = 2
	p.Streams = []Stream{
		{Urgency: work.Urgent, Bursts: 1.5, Size: 1, TimeLeft: 15 * time.Second, Tokens: 48},
		{Urgency: work.Normal, Bursts: 2, Size: 2, Spread: 4 * time.Second, TimeLeft: 30 * time.Second, Tokens: 64},
		{Urgency: work.Bulk, Bursts: 0.2, Size: 10, Spread: 20 * time.Second, TimeLeft: 10 * time.Minute, Tokens: 128},
	}
	p.Shares = []Share{
		{Workspace: "isar", Weight: 4, AdapterShare: 0.4},
		{Workspace: "lech", Weight: 2, AdapterShare: 0.4},
		{Workspace: "inn", Weight: 1, AdapterShare: 0.2},
	}
	return p
}

// Mungitura returns the profile of twelve engines that write overnight summaries as bulk work and answer single urgent
// questions.
func Mungitura() Profile {
	p := commonProfile()
	p.Name = "mungitura"
	p.Engines = 12
	p.Policy = place.DefaultPolicy()
	p.Rate = 3
	p.Streams = []Stream{
		{Urgency: work.Urgent, Bursts: 1, Size: 1, TimeLeft: 15 * time.Second, Tokens: 48},
		{Urgency: work.Bulk, Bursts: 2, Size: 32, Spread: 30 * time.Second, TimeLeft: 10 * time.Minute, Tokens: 160},
	}
	p.Shares = []Share{{Workspace: "etna", Weight: 2, AdapterShare: 0.5}, {Workspace: "iblei", Weight: 1, AdapterShare: 0.5}}
	return p
}

// Generate returns the trace of a profile; the same seed gives the same trace. Halfway through, other adapters become the
// popular ones, which makes the policy replace most loaded adapters.
func Generate(p Profile, seed uint64) []Arrival {
	g := generator{Profile: p, rand: rand.New(rand.NewPCG(seed, uint64(p.Engines)))}
	g.initPopularity()
	for _, s := range p.Streams {
		g.addStream(s)
	}
	slices.SortStableFunc(g.arrivals, func(x, y Arrival) int { return int(x.At - y.At) })
	return g.arrivals
}

// generator collects the arrivals of a trace.
type generator struct {
	Profile
	rand       *rand.Rand
	cumulative []float64 // cumulative popularity of the adapters, most popular first
	arrivals   []Arrival
}

// initPopularity fills cumulative from the Zipf distribution.
func (g *generator) initPopularity() {
	sum := 0.0
	for rank := range g.Adapters {
		sum += math.Pow(float64(rank+1), -g.Skew)
		g.cumulative = append(g.cumulative, sum)
	}
}

// addStream adds the bursts of a stream as a Poisson process.
func (g *generator) addStream(s Stream) {
	seconds := 0.0
	for {
		seconds += g.rand.ExpFloat64() / s.Bursts
		start := time.Duration(seconds * float64(time.Second))
		if start >= g.Length {
			return
		}
		g.addBurst(s, start)
	}
}

// addBurst adds a burst of requests for one random adapter. Requests after the end of the trace are left out.
func (g *generator) addBurst(s Stream, start time.Duration) {
	w, m := g.pick(start)
	for range 1 + g.rand.IntN(2*s.Size-1) {
		at := start + time.Duration(g.rand.Float64()*float64(s.Spread))
		if at < g.Length {
			tokens := s.Tokens/2 + g.rand.IntN(s.Tokens)
			g.arrivals = append(g.arrivals, Arrival{At: at, Workspace: w, Model: m, Urgency: s.Urgency, TimeLeft: s.TimeLeft, Tokens: tokens})
		}
	}
}

// pick draws a random adapter by its popularity at the given time, and returns it with its workspace.
func (g *generator) pick(at time.Duration) (ident.Workspace, ident.Model) {
	total := g.cumulative[len(g.cumulative)-1]
	rank, _ := slices.BinarySearch(g.cumulative, g.rand.Float64()*total)
	if at >= g.Length/2 {
		rank = (rank + g.Adapters/2) % g.Adapters
	}
	return g.workspaceOf(rank), modelOf(rank)
}

// modelOf returns the model with the n-th adapter.
func modelOf(n int) ident.Model {
	return ident.Model{Adapter: ident.Adapter(fmt.Sprintf("adapter-%05d", n)), Version: "v1"}
}

// workspaceOf returns the workspace of the n-th adapter. Multiples of the golden ratio are evenly distributed modulo 1, so
// each workspace gets its fraction of the adapters at all popularities.
func (p Profile) workspaceOf(n int) ident.Workspace {
	const goldenRatio = 0.6180339887498949
	_, position := math.Modf(float64(n) * goldenRatio)
	for _, s := range p.Shares {
		if position -= s.AdapterShare; position < 0 {
			return s.Workspace
		}
	}
	return p.Shares[0].Workspace
}

// Save writes a trace as JSON lines, which Read reads.
func Save(out io.Writer, list []Arrival) error {
	e := json.NewEncoder(out)
	for _, a := range list {
		if err := e.Encode(a); err != nil {
			return fmt.Errorf("write trace: %w", err)
		}
	}
	return nil
}

// Read reads a trace that Save wrote.
func Read(in io.Reader) ([]Arrival, error) {
	var list []Arrival
	d := json.NewDecoder(bufio.NewReader(in))
	for d.More() {
		var a Arrival
		if err := d.Decode(&a); err != nil {
			return nil, fmt.Errorf("read trace, line %d: %w", len(list)+1, err)
		}
		list = append(list, a)
	}
	return list, nil
}
