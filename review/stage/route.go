//go:build review

package main

import (
	"fmt"
	"net/http"
	"time"
)

func init() { cases["route"] = playRoute }

const callersHost = "ficu95.example"

// route returns a route of a configuration.
func route(name, prefix, kind, service string) map[string]any {
	return map[string]any{
		"name": name, "host": callersHost, "pathPrefix": prefix, "routeType": kind, "timeoutMs": 1000, "targetLatencyMs": 150, "priority": 1,
		"service": service, "maxAttempts": 1, "sticky": false, "resumable": false,
	}
}

// config returns a configuration of plain services.
func config(version int, services []string, routes ...map[string]any) map[string]any {
	var list []map[string]any
	for _, s := range services {
		list = append(list, map[string]any{"name": s, "healthPath": "/health", "maxConns": 100, "protocol": "h1", "tls": false})
	}
	return map[string]any{
		"version": version, "routes": routes, "services": list,
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	}
}

// playRoute adds a route below another one while clients ask for a path whose name holds an encoded slash.
func playRoute(s *site, trouble bool) error {
	services := []string{"herds", "orders"}
	plain := &runs{}
	for n, service := range services {
		for k, zone := range s.zones {
			p, err := newReplica(s, plain, service, fmt.Sprintf("i-%s-%d", service, k), zone, fmt.Sprintf("%s:0", s.ip(101+10*n+k)))
			if err != nil {
				return err
			}
			defer p.stop()
		}
	}
	if err := s.configure(config(1, services, route("r-herds", "/herd/", "unsafe", "herds"))); err != nil {
		return err
	}
	if err := s.awaitReady(20 * time.Second); err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	fronts := s.find("front")
	ask := func(target string) (string, reply) {
		id := newID()
		m := fronts[int(requestCount.Load())%len(fronts)]
		return id, s.send(m, id, http.MethodPost, callersHost, target, "cow 7", time.Second)
	}
	if _, got := ask("/herd/orders%2F7"); got.status != http.StatusOK {
		return fmt.Errorf("no answer before the change: %v", got)
	}
	if trouble {
		if err := s.configure(config(4, services, route("r-herds", "/herd/", "unsafe", "herds"), route("r-orders", "/herd/orders/", "unsafe", "orders"))); err != nil {
			return err
		}
	}
	time.Sleep(3 * time.Second)
	for n := range 10 {
		id, _ := ask(fmt.Sprintf("/herd/orders%%2F%d", n))
		for _, r := range plain.of(id) {
			if r.service != "herds" {
				s.record.breaks("ROUTE", "request %s for %s was run by %s; every configuration allows %s only", id, r.path, r.service, "herds")
			}
		}
	}
	return nil
}
