//go:build review

package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { cases["abandon"] = playAbandon }

// Streams of the case.
const (
	shortEvents = 5
	longEvents  = 20
	eventEvery  = 300 * time.Millisecond
	streamAim   = time.Second            // targetLatencyMs
	streamGap   = 400 * time.Millisecond // targetGapMs
	askedOfEach = 24
)

// patience is the gap after which a client abandons a stream, also before its first event.
const patience = max(2*time.Second, 4*streamAim, 8*streamGap)

var errAbandoned = errors.New("abandoned by the client")

// stream reads a stream as a client does, and returns the number of its events and whether it is whole.
func stream(address, id, target string, want int) (int, error) {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return 0, err
	}
	defer func() { _ = c.Close() }()
	_, err = fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: %s\r\nShallotgap-Request-Id: %s\r\nShallotgap-Deadline-Ms: %d\r\nContent-Length: 0\r\n\r\n", target, callersHost, id, streamLimit.Milliseconds())
	if err != nil {
		return 0, err
	}
	wait := func() { _ = c.SetReadDeadline(time.Now().Add(patience)) }
	late := func(err error) error {
		if timeout, ok := err.(net.Error); ok && timeout.Timeout() {
			return errAbandoned
		}
		return err
	}
	wait()
	resp, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: http.MethodPost})
	if err != nil {
		return 0, late(err)
	}
	if resp.StatusCode != http.StatusOK {
		return 0, fmt.Errorf("status %d", resp.StatusCode)
	}
	lines := bufio.NewReader(resp.Body)
	for n := 0; ; {
		line, err := lines.ReadString('\n')
		if strings.HasPrefix(line, "id: ") {
			n++
			wait()
		}
		switch {
		case errors.Is(err, io.EOF) && n == want:
			return n, nil
		case errors.Is(err, io.EOF):
			return n, errors.New("ended early")
		case err != nil:
			return n, late(err)
		}
	}
}

// playAbandon adds a route to a service whose streams take 6 s.
func playAbandon(s *site, trouble bool) error {
	l := &runs{}
	for service, events := range map[string]int{"notes": shortEvents, "reports": longEvents} {
		for k, zone := range s.zones {
			p, err := newReplica(s, l, service, fmt.Sprintf("i-%s-%d", service, k), zone, fmt.Sprintf("%s:0", s.ip(100+events+k)))
			if err != nil {
				return err
			}
			defer p.stop()
			p.slots = 64
			p.answer = func(w http.ResponseWriter, r *http.Request, _ []byte) {
				w.Header().Set("Content-Type", "text/event-stream")
				for n := 1; n <= events; n++ {
					time.Sleep(eventEvery)
					if _, err := io.WriteString(w, event(n)); err != nil {
						return
					}
					_ = http.NewResponseController(w).Flush()
					if r.Context().Err() != nil {
						s.record.note("%s: the caller has left after %d events were made", r.Header.Get("Shallotgap-Request-Id"), n)
						return
					}
				}
			}
		}
	}
	services := []string{"notes", "reports"}
	streaming := func(name, prefix, service string) map[string]any {
		r := route(name, prefix, "streaming", service)
		r["timeoutMs"], r["targetLatencyMs"], r["targetGapMs"], r["sticky"] = streamLimit.Milliseconds(), streamAim.Milliseconds(), streamGap.Milliseconds(), true
		return r
	}
	first, added := streaming("r-notes", "/note/", "notes"), streaming("r-reports", "/report/", "reports")
	if err := s.configure(config(1, services, first)); err != nil {
		return err
	}
	if err := s.awaitReady(20 * time.Second); err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	ask := map[string]int{"/note/": shortEvents}
	if trouble {
		if err := s.configure(config(3, services, first, added)); err != nil {
			return err
		}
		ask["/report/"] = longEvents
	}
	time.Sleep(4 * time.Second)
	var group sync.WaitGroup
	var mu sync.Mutex
	served := map[string]int{}
	fronts := s.find("front")
	for prefix, want := range ask {
		for k := range askedOfEach {
			group.Go(func() {
				time.Sleep(time.Duration(k) * 150 * time.Millisecond)
				id := newID()
				n, err := stream(fronts[k%len(fronts)].at(portFront), id, fmt.Sprintf("%s%d", prefix, k), want)
				s.record.note("client: stream %s of %s%d: %d of %d events, %v", id, prefix, k, n, want, err)
				mu.Lock()
				defer mu.Unlock()
				if err == nil {
					served[prefix]++
				}
			})
		}
	}
	group.Wait()
	s.record.note("served of %d each: %v", askedOfEach, served)
	if trouble && 4*served["/report/"] < served["/note/"] {
		s.record.breaks("CONFIG", "of %d requests on the route that was added, %d were served; of %d on the first route, %d", askedOfEach, served["/report/"], askedOfEach, served["/note/"])
	}
	if served["/note/"] < askedOfEach {
		return fmt.Errorf("%d of %d streams of the first route were served", served["/note/"], askedOfEach)
	}
	return nil
}
