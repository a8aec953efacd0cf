//go:build review

package main

import (
	"fmt"
	"net/http"
	"time"
)

func init() { cases["leave"] = playLeave }

// Times and counts of the case.
const (
	cutTime    = 5 * time.Second        // the cut
	serveOn    = 2 * time.Second        // drainMs, for which a replica serves on after its DELETE was acknowledged
	exitAnyway = 3 * time.Second        // after which a replica without an acknowledgement ends
	restart    = 300 * time.Millisecond // from the end of a replica's process to its next start
	settle     = 9 * time.Second        // from the end of the cut to the requests that count: contactMs and more
	asked      = 40                     // requests on each route that count
)

// playLeave restarts the only replica of a service under its id, while a cut keeps it from all machines that take its calls. The DELETE that it
// sent when the cut began arrives after its next start has announced itself.
func playLeave(s *site, trouble bool) error {
	l := &runs{}
	var cuts []*proxy
	var nodes []string
	for n, m := range s.find("control") {
		p, err := newProxy(fmt.Sprintf("%s:0", s.ip(91+n)), m.at(portControl))
		if err != nil {
			return err
		}
		cuts, nodes = append(cuts, p), append(nodes, p.address)
	}
	for k := range 5 {
		p, err := newReplica(s, l, "readings", fmt.Sprintf("i-readings-%d", k), s.zones[k%3], fmt.Sprintf("%s:0", s.ip(101+k)))
		if err != nil {
			return err
		}
		defer p.stop()
	}
	old, err := newReplica(s, l, "orders", "i-orders-0", s.zones[1], s.ip(111)+":0", nodes...)
	if err != nil {
		return err
	}
	services := []string{"readings", "orders"}
	first, added := route("r-readings", "/reading/", "unsafe", "readings"), route("r-orders", "/order/", "unsafe", "orders")
	if err := s.configure(config(1, services, first)); err != nil {
		return err
	}
	if err := s.awaitReady(20 * time.Second); err != nil {
		return err
	}
	if err := s.configure(config(3, services, first, added)); err != nil {
		return err
	}
	time.Sleep(4 * time.Second)
	if n := s.served("/order/", 20); n < 20 {
		return fmt.Errorf("%d of 20 requests were served before the restart", n)
	}
	begin := time.Now()
	if trouble {
		s.record.note("the replica of orders is cut off from all machines that serve control")
		for _, p := range cuts {
			p.set(true)
		}
		go func() {
			time.Sleep(cutTime)
			s.record.note("the cut is over")
			for _, p := range cuts {
				p.set(false)
			}
		}()
	}
	if old.leave() {
		time.Sleep(serveOn)
	} else {
		time.Sleep(time.Until(begin.Add(exitAnyway)))
	}
	old.stop()
	time.Sleep(restart)
	next, err := newReplica(s, l, old.service, old.id, old.zone, old.address, nodes...)
	if err != nil {
		return err
	}
	defer next.stop()
	s.record.note("replica %s has started again under its id, born %d", next.id, next.born)
	time.Sleep(time.Until(begin.Add(cutTime + settle)))
	s.record.note("the heartbeats of %s are acknowledged: %t; what it answers itself: status %d", next.id, next.beatOnce(0), exchange(next.address, newID(), http.MethodGet, callersHost, "/order/direct", "", time.Second).status)
	ofFirst, ofAdded := s.served("/reading/", asked), s.served("/order/", asked)
	s.record.note("of %d requests each, %d on the first route and %d on the added route were served", asked, ofFirst, ofAdded)
	if 4*ofAdded < ofFirst {
		s.record.breaks("CONFIG", "of %d requests on the route that was added, %d were served; of %d on the first route, %d", asked, ofAdded, asked, ofFirst)
	}
	return nil
}

// served sends requests below a prefix to the fronts in turn and returns how many were served.
func (s *site) served(prefix string, count int) int {
	fronts := s.find("front")
	n := 0
	for k := range count {
		if s.send(fronts[k%len(fronts)], newID(), http.MethodPost, callersHost, fmt.Sprintf("%s%d", prefix, k), "", time.Second).status == http.StatusOK {
			n++
		}
		time.Sleep(50 * time.Millisecond)
	}
	return n
}

// leave stops the heartbeats of a replica and deregisters it, at one machine after the other for a second each. It serves on.
func (p *replica) leave() bool {
	p.once.Do(func() { close(p.stopped) })
	return p.callNodes(0, http.MethodDelete, nil)
}
