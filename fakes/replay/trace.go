// Package replay measures the serving decisions: it replays recorded arrivals through the real decision core in
// virtual time, against stand-ins of engines and weight store with fixed timings.
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

// Arrival is one recorded request; a trace is a list of them as JSON lines in order of At.
type Arrival struct {
	At        time.Duration   `json:"at"` // since the start of the trace, in nanoseconds
	Workspace ident.Workspace `json:"workspace"`
	Model     ident.Model     `json:"model"`
	Urgency   work.Urgency    `json:"urgency"`
	TimeLeft  time.Duration   `json:"left"` // to the deadline, in nanoseconds
	Tokens    int             `json:"tokens"`
}

// Share is a workspace's weight and its part of the arrivals.
type Share struct {
	Workspace    ident.Workspace
	Weight       uint32
	AdapterShare float64
}

// Stream is one kind of traffic: bursts of requests for one adapter each.
type Stream struct {
	Urgency work.Urgency
	// Bursts is the number of bursts a second; each has between 1 and 2*Size-1 requests spread over Spread.
	Bursts   float64
	Size     int
	Spread   time.Duration
	TimeLeft time.Duration
	Tokens   int
}

// Profile describes a deployment and its traffic.
type Profile struct {
	Name            string
	Engines         int
	Slots           int // adapters held by one engine
	Batch           int // largest batch of one engine
	StepTime        time.Duration
	StepPer         time.Duration
	Rate            float64 // loads a second
	InFlight        int     // loads at once that take the plain time
	LoadTime        time.Duration
	Adapters        int
	Skew            float64 // exponent of the Zipf distribution of popularity
	Length          time.Duration
	Streams         []Stream
	Shares          []Share
	Faults          bool
	LoadFailureRate float64 // of the loads in the second half, with Faults
	Restarts        int     // engines that restart empty, with Faults
	HostCount       int
	// Policy is the one that is shipped for the deployment.
	Policy place.Policy
}

// common are the parts that both deployments share.
func common() Profile {
	return Profile{
		Slots: 4, Batch: 16, StepTime: 10 * time.Millisecond, StepPer: 500 * time.Microsecond,
		InFlight: 8, LoadTime: 250 * time.Millisecond,
		Adapters: 3000, Skew: 1.1, Length: 5 * time.Minute,
		LoadFailureRate: 0.1, Restarts: 3, HostCount: 7,
	}
}

// Zahlwerk is ten replicas that check payments: single urgent and normal requests with deadlines, some bulk review.
func Zahlwerk() Profile {
	p := common()
	p.Name = "zahlwerk"
	p.Engines = 10
	p.Policy = place.DefaultPolicy()
	p.Rate = 2
	p.Streams = []Stream{
		{Urgency: work.Urgent, Bursts: 1.5, Size: 1, TimeLeft: 15 * time.Second, Tokens: 48},
		{Urgency: work.Normal, Bursts: 2, Size: 2, Spread: 4 * time.Second, TimeLeft: 30 * time.Second, Tokens: 64},
		{Urgency: work.Bulk, Bursts: 0.2, Size: 10, Spread: 20 * time.Second, TimeLeft: 10 * time.Minute, Tokens: 128},
	}
	p.Shares = []Share{{Workspace: "isar", Weight: 4, AdapterShare: 0.4}, {Workspace: "lech", Weight: 2, AdapterShare: 0.4}, {Workspace: "inn", Weight: 1, AdapterShare: 0.2}}
	return p
}

// Mungitura is twelve replicas with overnight summaries as bulk work beside single quick questions.
func Mungitura() Profile {
	p := common()
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

// Generate returns the arrivals of a profile; the same seed gives the same trace. Half-way the popularity moves to
// other adapters at once.
func Generate(p Profile, seed uint64) []Arrival {
	g := generator{Profile: p, rand: rand.New(rand.NewPCG(seed, uint64(p.Engines)))}
	g.popularity()
	for _, s := range p.Streams {
		g.stream(s)
	}
	slices.SortStableFunc(g.list, func(x, y Arrival) int { return int(x.At - y.At) })
	return g.list
}

type generator struct {
	Profile
	rand       *rand.Rand
	cumulative []float64
	list       []Arrival
}

func (g *generator) popularity() {
	sum := 0.0
	for rank := range g.Adapters {
		sum += math.Pow(float64(rank+1), -g.Skew)
		g.cumulative = append(g.cumulative, sum)
	}
}

func (g *generator) stream(s Stream) {
	at := 0.0
	for {
		at += g.rand.ExpFloat64() / s.Bursts
		start := time.Duration(at * float64(time.Second))
		if start >= g.Length {
			return
		}
		g.burst(s, start)
	}
}

func (g *generator) burst(s Stream, start time.Duration) {
	w, m := g.pick(start)
	for range 1 + g.rand.IntN(2*s.Size-1) {
		at := start + time.Duration(g.rand.Float64()*float64(s.Spread))
		if at < g.Length {
			tokens := s.Tokens/2 + g.rand.IntN(s.Tokens)
			g.list = append(g.list, Arrival{At: at, Workspace: w, Model: m, Urgency: s.Urgency, TimeLeft: s.TimeLeft, Tokens: tokens})
		}
	}
}

// pick draws an adapter; each belongs to one workspace.
func (g *generator) pick(at time.Duration) (ident.Workspace, ident.Model) {
	total := g.cumulative[len(g.cumulative)-1]
	rank, _ := slices.BinarySearch(g.cumulative, g.rand.Float64()*total)
	if at >= g.Length/2 {
		rank = (rank + g.Adapters/2) % g.Adapters
	}
	return g.owner(rank), modelOf(rank)
}

func modelOf(n int) ident.Model {
	return ident.Model{Adapter: ident.Adapter(fmt.Sprintf("adapter-%05d", n)), Version: "v1"}
}

// owner spreads the adapters over the workspaces by their parts.
func (p Profile) owner(n int) ident.Workspace {
	const golden = 0.6180339887498949
	_, x := math.Modf(float64(n) * golden)
	for _, s := range p.Shares {
		if x -= s.AdapterShare; x < 0 {
			return s.Workspace
		}
	}
	return p.Shares[0].Workspace
}

// Save writes a trace.
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
