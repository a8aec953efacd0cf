//go:build review

package rig3

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

var requestCount atomic.Int64

// Request is a request of a client, one attempt on a connection of its own.
type Request struct {
	Method, Path string
	Body         string
	Model        bool // names the model of the engines
	Deadline     time.Duration
}

// Answer is what the client has seen.
type Answer struct {
	ID     string
	Status int // 0 for none
	Stamp  string
	Body   string
	// Whole is true if the answer looks complete: its length, or its last chunk, has arrived.
	Whole bool
	Err   error
	Took  time.Duration
}

// String describes the answer for the record.
func (a Answer) String() string {
	if a.Status == 0 {
		return fmt.Sprintf("request %s: no answer after %v: %v", a.ID, a.Took.Round(time.Millisecond), a.Err)
	}
	return fmt.Sprintf("request %s: status %d, stamp %q, %d bytes of body, looks complete: %t, after %v, error: %v", a.ID, a.Status, a.Stamp, len(a.Body), a.Whole, a.Took.Round(time.Millisecond), a.Err)
}

// Send sends a request to an entry host and reads the answer to its end.
func (r *Rig) Send(h *Host, q Request) Answer {
	a := Answer{ID: fmt.Sprintf("%08x%08x", time.Now().Unix()&0xffffffff, requestCount.Add(1))}
	start := time.Now()
	defer func() { a.Took = time.Since(start) }()
	c, err := net.DialTimeout("tcp", r.FrontAddress(h), time.Second)
	if err != nil {
		a.Err = err
		return a
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(start.Add(q.Deadline + 2*time.Second))
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nShallotgap-Request-Id: %s\r\nShallotgap-Deadline-Ms: %d\r\n", q.Method, q.Path, HostName, a.ID, q.Deadline.Milliseconds())
	if q.Model {
		fmt.Fprintf(&b, "Shallotgap-Model-Name: %s\r\nShallotgap-Token-Count: 460,80\r\nShallotgap-Prompt-Prefix: 5c1e07a2:200,%s:260\r\n", ModelName, a.ID)
	}
	if q.Body != "" || q.Method == http.MethodPost {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(q.Body))
	}
	b.WriteString("\r\n" + q.Body)
	r.Record.Add("client sends %s: %s %s", a.ID, q.Method, q.Path)
	if _, err := io.WriteString(c, b.String()); err != nil {
		a.Err = err
		return a
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: q.Method})
	if err != nil {
		a.Err = err
		return a
	}
	a.Status, a.Stamp = resp.StatusCode, resp.Header.Get("Shallotgap-Server-Stamp")
	data, err := io.ReadAll(resp.Body)
	a.Body, a.Err = string(data), err
	a.Whole = err == nil && (resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0)
	a.Took = time.Since(start)
	return a
}
