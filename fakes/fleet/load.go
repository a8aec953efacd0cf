package fleet

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

// LoadConfig is what a load is made from.
type LoadConfig struct {
	// Entries are addresses to ask first.
	Entries []string
	Callers int
	// Model and Service are used in turn; an empty one is left out.
	Model, Service string
	// Pause is between two requests of a caller.
	Pause time.Duration
}

// Outcome is how one request of a load ended.
type Outcome struct {
	Kind   string // stream, whole, status or release
	Entry  string // address of the entry host
	At     time.Time
	Key    string // of a release
	Status int
	// Reply is what a refused request was told: not-run or in-doubt.
	Reply string
	Err   string
}

// OK reports whether the whole answer came.
func (o Outcome) OK() bool { return o.Err == "" && o.Status == http.StatusOK }

// Load is a number of callers that ask for addresses, keep the answer for its lifetime and use it.
type Load struct {
	LoadConfig
	mu       sync.Mutex
	outcomes []Outcome
	cancel   context.CancelFunc
	wait     sync.WaitGroup
}

// StartLoad starts the callers.
func StartLoad(c LoadConfig) *Load {
	ctx, cancel := context.WithCancel(context.Background())
	l := &Load{LoadConfig: c, cancel: cancel}
	for n := range c.Callers {
		l.wait.Go(func() { (&caller{load: l, name: fmt.Sprintf("c%d", n), turn: n}).run(ctx) })
	}
	return l
}

// Stop lets the running requests end and returns all outcomes.
func (l *Load) Stop() []Outcome {
	l.cancel()
	l.wait.Wait()
	return l.outcomes
}

// Count returns the number of requests that have ended.
func (l *Load) Count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.outcomes)
}

// caller sends one request after another.
type caller struct {
	load    *Load
	name    string
	turn    int
	client  http.Client
	entries []string
	until   time.Time
}

// kinds are the requests of a caller in turn.
var kinds = []string{"stream", "release", "whole", "status"}

func (c *caller) run(ctx context.Context) {
	c.client.Timeout = time.Minute
	for ctx.Err() == nil {
		c.turn++
		o := c.one(kinds[c.turn%len(kinds)])
		c.load.mu.Lock()
		c.load.outcomes = append(c.load.outcomes, o)
		c.load.mu.Unlock()
		select {
		case <-ctx.Done():
		case <-time.After(c.load.Pause):
		}
	}
}

// address returns the entry host to use, and asks again when the kept answer has outlived its lifetime.
func (c *caller) address() string {
	if time.Now().After(c.until) {
		for _, known := range append(c.entries, c.load.Entries...) {
			if c.ask(known) {
				break
			}
		}
	}
	if len(c.entries) == 0 {
		return c.load.Entries[0]
	}
	return c.entries[0]
}

func (c *caller) ask(at string) bool {
	asked := time.Now()
	resp, err := c.client.Get(at + "/v1/entries")
	if err != nil {
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	var answer struct {
		Entries []struct {
			URL string `json:"url"`
		} `json:"entries"`
		LifetimeMS int64 `json:"lifetime-ms"`
	}
	if json.NewDecoder(resp.Body).Decode(&answer) != nil || len(answer.Entries) == 0 {
		return false
	}
	c.entries = nil
	for _, e := range answer.Entries {
		c.entries = append(c.entries, e.URL)
	}
	c.until = asked.Add(time.Duration(answer.LifetimeMS) * time.Millisecond)
	return true
}

func (c *caller) one(kind string) Outcome {
	o := Outcome{Kind: kind, Entry: c.address(), At: time.Now()}
	path, body := "/v1/completions", fmt.Sprintf(`{"model":%q,"max_tokens":20,"stream":%v}`, c.load.Model, kind == "stream")
	switch kind {
	case "release":
		o.Key = fmt.Sprintf("%s-%d", c.name, c.turn)
		path, body = "/services/"+c.load.Service+"/release", "{}"
	case "status":
		path, body = "/services/"+c.load.Service+"/status", ""
	}
	req, err := http.NewRequest(http.MethodPost, o.Entry+path, io.NopCloser(strings.NewReader(body)))
	if err != nil {
		o.Err = err.Error()
		return o
	}
	if o.Key != "" {
		req.Header.Set("Idempotency-Key", o.Key)
	}
	c.send(req, &o)
	return o
}

func (c *caller) send(req *http.Request, o *Outcome) {
	resp, err := c.client.Do(req)
	if err != nil {
		o.Err = err.Error()
		c.until = time.Time{}
		return
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	o.Status = resp.StatusCode
	switch {
	case err != nil:
		o.Err = err.Error()
	case resp.StatusCode != http.StatusOK:
		var p struct{ Outcome, Reason, Step, Peer string }
		_ = json.Unmarshal(data, &p)
		o.Reply = p.Outcome
		o.Err = strings.Join([]string{p.Outcome, p.Reason, p.Step, p.Peer}, " ")
	case o.Kind == "stream" && !strings.HasSuffix(string(data), "data: [DONE]\n\n"):
		o.Err = "the stream has no end mark"
	}
}

// CountFailures counts the requests without a whole answer by their kind and error.
func CountFailures(list []Outcome) map[string]int {
	failed := map[string]int{}
	for _, o := range list {
		if !o.OK() {
			failed[o.Kind+": "+o.Err]++
		}
	}
	return failed
}

// AtMostOnceViolations returns the keys that ran more than once, and those that ran though their caller was told "not-run".
func AtMostOnceViolations(list []Outcome, runs map[string]int) (twice, untrue []string) {
	for _, o := range list {
		if o.Key == "" {
			continue
		}
		if runs[o.Key] > 1 {
			twice = append(twice, o.Key)
		}
		if o.Reply == "not-run" && runs[o.Key] > 0 {
			untrue = append(untrue, o.Key)
		}
	}
	return twice, untrue
}
