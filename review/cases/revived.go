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

// Times of the case.
const (
	allDownFor     = 700 * time.Millisecond
	revivedLingers = 16 * time.Second
)

// revivedAdapters is the number of adapters in use, so that each engine holds some that no other one does.
const revivedAdapters = 12

// revived has an engine deregister, kills all processes right after the acknowledgement, as the final fault does, and counts the requests that
// reach the engine once all machines are in touch again.
func revived(d *deployment, trouble bool) (verdict, error) {
	if err := d.putConfig(fmt.Sprintf(weightConfig, modelMB, adapterMB, 2*modelMB, places), 20*time.Second); err != nil {
		return held, err
	}
	var engines []*engine
	for n, z := range zones {
		e, err := newEngine(d, fmt.Sprintf("i-%d", n+1), "sprach-pool", z.name, "base")
		if err != nil {
			return held, err
		}
		defer e.exit()
		engines = append(engines, e)
	}
	if err := d.awaitReady(10 * time.Second); err != nil {
		return held, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	c := &callers{d: d, host: "chat.example", header: func() http.Header {
		h := http.Header{}
		h.Set("Shallotgap-Model-Name", fmt.Sprintf("base/a%d", rand.IntN(revivedAdapters)+1))
		h.Set("Shallotgap-Token-Count", "120,20")
		h.Set("Shallotgap-Prompt-Prefix", fmt.Sprintf("aa01:100,%08x:20", rand.Uint32()))
		return h
	}}
	go c.run(ctx, http.MethodPost, "/chat/1", "prompt", 40*time.Millisecond, 5*time.Second)
	time.Sleep(contact + 4*time.Second)
	if served, sent := c.served("/chat/1", time.Now().Add(-2*time.Second)); served < sent*8/10 || sent < 20 {
		return held, fmt.Errorf("only %d of %d requests are served before the disruption", served, sent)
	}
	leaving := engines[rand.IntN(len(engines))]
	core := d.control[rand.IntN(len(d.control))]
	if err := leaving.leave(core); err != nil {
		return held, err
	}
	acked := time.Now()
	if trouble {
		for _, p := range d.all() {
			_ = p.command.Process.Signal(syscall.SIGKILL)
		}
	}
	d.say("%s acknowledged that %s is gone", core.name, leaving.id)
	if trouble {
		d.say("all processes are killed")
		time.Sleep(allDownFor)
		for _, p := range d.all() {
			<-p.exited
			if err := d.start(p, false); err != nil {
				return held, err
			}
		}
		d.say("all processes run again")
	}
	calm := time.Now().Add(2 * contact) // the final fault took most of the core
	if !trouble {
		calm = acked
	}
	time.Sleep(revivedLingers - time.Since(acked))
	late := 0
	for _, a := range leaving.since(acked.Add(drainTime)) {
		if a.at.After(calm) {
			late++
			d.note("%s reached %s %.3f s after the acknowledgement", a.id, leaving.id, a.at.Sub(acked).Seconds())
		}
	}
	served, sent := c.served("/chat/1", calm)
	d.say("requests at %s later than drainMs after the acknowledgement: %d, %d of them with all machines in touch; served since: %d of %d", leaving.id, len(leaving.since(acked.Add(drainTime))), late, served, sent)
	if late > 0 {
		return broken, nil
	}
	return held, nil
}
