//go:build review

package main

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

// answer is what a caller got for one attempt.
type answer struct {
	id, path, entry string
	sentAt, endedAt time.Time
	status          int // 0 if the connection ended without an answer
	body            string
}

// callers send requests to the entry machines at a constant rate.
type callers struct {
	d      *deployment
	host   string
	prefix string // of the ids of requests
	header func() http.Header

	mu      sync.Mutex
	count   int
	answers []answer
}

// send makes one attempt and records the answer.
func (c *callers) send(method, path, body, entry string, deadline time.Duration) answer {
	c.mu.Lock()
	c.count++
	a := answer{id: fmt.Sprintf("%s%06d", cmp.Or(c.prefix, "r"), c.count), path: path, entry: entry, sentAt: time.Now()}
	c.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+entry+path, strings.NewReader(body))
	if err != nil {
		panic(err)
	}
	req.Host = c.host
	if c.header != nil {
		req.Header = c.header()
	}
	req.Header.Set("Shallotgap-Request-Id", a.id)
	req.Header.Set("Shallotgap-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	resp, err := callerClient.Do(req)
	if err == nil {
		data, readErr := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		if readErr == nil {
			a.status, a.body = resp.StatusCode, string(data)
		}
	}
	a.endedAt = time.Now()
	c.d.note("%s %s %s through %s: status %d, %.60q", a.id, method, path, entry, a.status, a.body)
	c.mu.Lock()
	c.answers = append(c.answers, a)
	c.mu.Unlock()
	return a
}

// callerClient keeps connections open for many requests.
var callerClient = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 8, DisableCompression: true}}

// run sends requests to random entry machines until the context ends.
func (c *callers) run(ctx context.Context, method, path, body string, every, deadline time.Duration) {
	tick := time.NewTicker(every)
	defer tick.Stop()
	var group sync.WaitGroup
	defer group.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		p := c.d.entries[rand.IntN(len(c.d.entries))]
		group.Go(func() { c.send(method, path, body, fmt.Sprintf("%s:%d", p.ip, c.d.ports.front), deadline) })
	}
}

// served counts the answers of a path with status 200 since a time.
func (c *callers) served(path string, since time.Time) (served, all int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, a := range c.answers {
		if a.path == path && a.sentAt.After(since) {
			all++
			if a.status == http.StatusOK {
				served++
			}
		}
	}
	return served, all
}

// all returns the answers so far.
func (c *callers) all() []answer {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]answer{}, c.answers...)
}
