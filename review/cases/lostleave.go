//go:build review

package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"syscall"
	"time"
)

// payConfig routes two kinds of requests to a plain service.
const payConfig = `{"version":%d,"routes":[
{"name":"r-safe","host":"pay.example","pathPrefix":"/status/","routeType":"safe","timeoutMs":1000,"targetLatencyMs":150,"priority":2,"service":"laufdienst","maxAttempts":2,"sticky":false,"resumable":false,"targetGapMs":0},
{"name":"r-unsafe","host":"pay.example","pathPrefix":"/release/","routeType":"unsafe","timeoutMs":1000,"targetLatencyMs":150,"priority":2,"service":"laufdienst","maxAttempts":1,"sticky":false,"resumable":false,"targetGapMs":0}],
"services":[{"name":"laufdienst","healthPath":"/health","maxConns":100,"protocol":"h1","tls":false}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}`

// Times of the case.
const (
	darkFor     = 5 * time.Second  // how long the machine is without power
	lingers     = 12 * time.Second // how long the replica serves on after its deregistration was acknowledged
	safeWork    = 30 * time.Millisecond
	releaseWork = 150 * time.Millisecond
)

// workOf returns how long a replica works on a request.
func workOf(path string) time.Duration {
	if path == "/release/1" {
		return releaseWork
	}
	return safeWork
}

// lostLeave has a replica deregister at a control machine that loses power right after it has acknowledged that, and counts the requests that
// machines in touch send to the replica later than drainMs after it.
func lostLeave(d *deployment, trouble bool) (verdict, error) {
	if err := d.putConfig(fmt.Sprintf(payConfig, 1), 20*time.Second); err != nil {
		return held, err
	}
	var replicas []*replica
	for n, z := range zones {
		r, err := newReplica(d, fmt.Sprintf("i-%d", n+1), "laufdienst", z.name, workOf)
		if err != nil {
			return held, err
		}
		defer r.exit()
		replicas = append(replicas, r)
	}
	if err := d.awaitReady(10 * time.Second); err != nil {
		return held, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	c := &callers{d: d, host: "pay.example"}
	go c.run(ctx, http.MethodGet, "/status/1", "", 25*time.Millisecond, time.Second)
	go c.run(ctx, http.MethodPost, "/release/1", `{"amount":1}`, 50*time.Millisecond, time.Second)
	time.Sleep(contact + 2*time.Second) // all machines are in touch
	if served, all := c.served("/status/1", time.Now().Add(-time.Second)); served < all*9/10 || all < 10 {
		return held, fmt.Errorf("only %d of %d requests are served before the disruption", served, all)
	}

	leaving, core := replicas[rand.IntN(len(replicas))], d.control[rand.IntN(len(d.control))]
	if err := leaving.leave(core); err != nil {
		return held, err
	}
	acked := time.Now()
	if trouble {
		d.signal(core, syscall.SIGKILL)
	}
	d.say("%s acknowledged that %s is gone", core.name, leaving.id)
	killed := time.Now()
	time.Sleep(darkFor)
	restarted := time.Now()
	if trouble {
		<-core.exited
		if err := d.start(core, false); err != nil {
			return held, err
		}
		d.say("%s has power again", core.name)
	}
	time.Sleep(lingers - time.Since(acked))
	late := 0
	for _, a := range leaving.since(acked.Add(drainTime)) {
		inTouch := !trouble || (a.at.After(killed.Add(contact)) && a.at.Before(restarted)) || a.at.After(restarted.Add(contact))
		if inTouch {
			late++
			d.note("%s reached %s from %s, %.3f s after the acknowledgement", a.id, leaving.id, a.from, a.at.Sub(acked).Seconds())
		}
	}
	all := len(leaving.since(acked.Add(drainTime)))
	leaving.exit()
	exited := time.Now()
	d.say("%s exits", leaving.id)
	time.Sleep(2 * time.Second)
	cut := 0
	for _, a := range c.all() {
		if a.path == "/release/1" && a.sentAt.Before(exited) && a.endedAt.After(exited.Add(-safeWork)) && a.status != http.StatusOK {
			cut++
			d.note("%s was under way as %s exited: status %d", a.id, leaving.id, a.status)
		}
	}
	d.say("requests at %s later than drainMs after the acknowledgement: %d, %d of them while all machines that sent them were in touch", leaving.id, all, late)
	d.say("unsafe requests that its exit left without a result: %d", cut)
	if late > 0 {
		return broken, nil
	}
	return held, nil
}
