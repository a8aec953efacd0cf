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

// LoadConfig configures the traffic of a Load.
type LoadConfig struct {
	// Entries are the base URLs of the entry hosts that each caller knows at the start.
	Entries []string
	// Callers is the number of concurrent callers.
	Callers int
	// Model is the model of the completion requests, Service the name of the plain service of all other
	// requests.
	Model, Service string
	// Pause is the time between the end of a request and the next one of the same caller.
	Pause time.Duration
}

// Outcome is the result of one request.
type Outcome struct {
	Kind   string    // one of requestKinds
	Entry  string    // base URL of the entry host
	At     time.Time // when the request was sent
	Key    string    // idempotency key, only set for a release request
	Status int       // HTTP status
	// Reply is the outcome in the body of a rejection, for example not-run or in-doubt.
	Reply string
	// Err describes the failure; empty if the answer was complete.
	Err string
}

// OK reports whether the request got a complete answer.
func (o Outcome) OK() bool { return o.Err == "" && o.Status == http.StatusOK }

// Load is synthetic traffic from concurrent callers. A caller asks an entry host for the list of entry hosts and sends its
// requests to the first host of the list until the lifetime of the list has passed or a request gets no response.
type Load struct {
	LoadConfig
	mu       sync.Mutex
	outcomes []Outcome
	cancel   context.CancelFunc
	wait     sync.WaitGroup
}

// StartLoad starts the callers, which send requests until Stop.
func StartLoad(c LoadConfig) *Load {
	ctx, cancel := context.WithCancel(context.Background())
	l := &Load{LoadConfig: c, cancel: cancel}
	for n := range c.Callers {
		l.wait.Go(func() { (&caller{load: l, name: fmt.Sprintf("c%d", n), requestNumber: n}).run(ctx) })
	}
	return l
}

// Stop waits for the running requests and returns the outcomes of all requests.
func (l *Load) Stop() []Outcome {
	l.cancel()
	l.wait.Wait()
	return l.outcomes
}

// Count returns the number of finished requests.
func (l *Load) Count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.outcomes)
}

// caller sends one request after another, of each kind in turn.
type caller struct {
	load          *Load
	name          string // first part of its idempotency keys
	requestNumber int    // selects the kind of the request
	client        http.Client
	entries       []string  // the fetched list of entry hosts
	entriesExpire time.Time // when the list must be fetched again
}

// requestKinds are the kinds of requests that each caller sends in turn: a streamed completion, a plain-service
// request with an idempotency key, an unstreamed completion, and a plain-service request without a key.
var requestKinds = []string{"stream", "release", "whole", "status"}

// run sends requests until the context ends.
func (c *caller) run(ctx context.Context) {
	c.client.Timeout = time.Minute
	for ctx.Err() == nil {
		c.requestNumber++
		o := c.sendOne(requestKinds[c.requestNumber%len(requestKinds)])
		c.load.mu.Lock()
		c.load.outcomes = append(c.load.outcomes, o)
		c.load.mu.Unlock()
		select {
		case <-ctx.Done():
		case <-time.After(c.load.Pause):
		}
	}
}

// entryAddress returns the base URL of the entry host for the next request. It fetches the list of entry hosts when the
// cached list has expired, first from the hosts on the expired list.
func (c *caller) entryAddress() string {
	if time.Now().After(c.entriesExpire) {
		for _, entry := range append(c.entries, c.load.Entries...) {
			if c.fetchEntries(entry) {
				break
			}
		}
	}
	if len(c.entries) == 0 {
		return c.load.Entries[0]
	}
	return c.entries[0]
}

// fetchEntries replaces the cached list of entry hosts with the one that a host returns, and reports success.
func (c *caller) fetchEntries(url string) bool {
	requested := time.Now()
	resp, err := c.client.Get(url + "/v1/entries")
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
	c.entriesExpire = requested.Add(time.Duration(answer.LifetimeMS) * time.Millisecond)
	return true
}

// sendOne sends one request of the given kind and waits for its outcome.
func (c *caller) sendOne(kind string) Outcome {
	o := Outcome{Kind: kind, Entry: c.entryAddress(), At: time.Now()}
	path, body := "/v1/completions", fmt.Sprintf(`{"model":%q,"max_tokens":20,"stream":%v}`, c.load.Model, kind == "stream")
	switch kind {
	case "release":
		o.Key = fmt.Sprintf("%s-%d", c.name, c.requestNumber)
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

// send performs the request and records the result. After a failed connection the caller fetches the list of entry hosts
// again before its next request.
func (c *caller) send(req *http.Request, o *Outcome) {
	resp, err := c.client.Do(req)
	if err != nil {
		o.Err = err.Error()
		c.entriesExpire = time.Time{}
		return
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	o.Status = resp.StatusCode
	switch {
	case err != nil:
		o.Err = err.Error()
	case resp.StatusCode != http.StatusOK:
		var problem struct{ Outcome, Reason, Step, Peer string }
		_ = json.Unmarshal(data, &problem)
		o.Reply = problem.Outcome
		o.Err = strings.Join([]string{problem.Outcome, problem.Reason, problem.Step, problem.Peer}, " ")
	case o.Kind == "stream" && !strings.HasSuffix(string(data), "data: [DONE]\n\n"):
		o.Err = "the stream ended without the [DONE] event"
	}
}

// CountFailures counts the requests without a complete answer, by kind and error.
func CountFailures(outcomes []Outcome) map[string]int {
	counts := map[string]int{}
	for _, o := range outcomes {
		if !o.OK() {
			counts[o.Kind+": "+o.Err]++
		}
	}
	return counts
}

// AtMostOnceViolations checks that no request with an idempotency key ran more often than its caller may expect: twice lists
// the keys that ran more than once, wrongNotRun the keys that ran although the caller got the outcome "not-run". runs is
// the number of runs of each key.
func AtMostOnceViolations(outcomes []Outcome, runs map[string]int) (twice, wrongNotRun []string) {
	for _, o := range outcomes {
		if o.Key == "" {
			continue
		}
		if runs[o.Key] > 1 {
			twice = append(twice, o.Key)
		}
		if o.Reply == "not-run" && runs[o.Key] > 0 {
			wrongNotRun = append(wrongNotRun, o.Key)
		}
	}
	return twice, wrongNotRun
}
