//go:build review

package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"
)

// Memory of the engines in MB, as the configuration tells it: four adapters fit beside the model, though there are places for eight.
const (
	modelMB   = 16100.0
	adapterMB = 14.0
	roomMB    = modelMB + 4*adapterMB
	places    = 8
)

const weightConfig = `{"version":1,"routes":[
{"name":"r-chat","host":"chat.example","pathPrefix":"/chat/","routeType":"streaming","timeoutMs":5000,"targetLatencyMs":1000,"priority":1,"service":"sprach-pool","maxAttempts":1,"sticky":true,"resumable":false,"targetGapMs":400}],
"services":[{"name":"sprach-pool","healthPath":"/health","maxConns":490,"protocol":"h1","tls":false,"engine":{"slots":16,"kvCapacityTokens":200000,"kvTokenBytes":327680,"linkMbps":1100000.0,"moves":true,"backups":true,"stride":4,"maxCount":12,"hostMb":130000.0,"diskMb":390000.0,"pinMs":4000.0,"holdMs":2000.0,"handle_s":5.0,"models":[{"name":"base","weightsMb":%g,"loadS":0.6,"adapters":3000,"adapterMb":%g,"warmS":0.27,"diskS":0.35}],"weightsMb":%g,"adapterSlots":%d,"loadsPerS":2.1}}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}`

// Traffic of the case. The burst brings the sum to 2.4 times the usual one.
const (
	usualAdapters = 3
	rareAdapters  = 24
	usualEvery    = 100 * time.Millisecond
	burstEvery    = 70 * time.Millisecond
	burstFor      = 4 * time.Second
)

// overWeight asks for rare adapters at once and counts the orders to load more than an engine's memory holds.
func overWeight(d *deployment, trouble bool) (verdict, error) {
	if err := d.putConfig(fmt.Sprintf(weightConfig, modelMB, adapterMB, roomMB, places), 20*time.Second); err != nil {
		return held, err
	}
	var overloads, crashes atomic.Int32
	var engines []*engine
	for n, z := range zones {
		e, err := newEngine(d, fmt.Sprintf("i-%d", n+1), "sprach-pool", z.name, "base")
		if err != nil {
			return held, err
		}
		defer e.exit()
		e.mu.Lock()
		e.places, e.room = places, roomMB
		e.overloaded = func(mb float64) {
			overloads.Add(1)
			crashes.Add(1)
			d.say("engine %s was ordered to load %g MB, and holds %g MB at most: it crashes", e.id, mb, roomMB)
			go e.exit()
		}
		e.mu.Unlock()
		engines = append(engines, e)
	}
	if err := d.awaitReady(10 * time.Second); err != nil {
		return held, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	header := func(adapter int) http.Header {
		h := http.Header{}
		h.Set("Shallotgap-Model-Name", fmt.Sprintf("base/a%d", adapter))
		h.Set("Shallotgap-Token-Count", "120,20")
		h.Set("Shallotgap-Prompt-Prefix", fmt.Sprintf("aa01:100,%08x:20", rand.Uint32()))
		return h
	}
	usual := &callers{d: d, host: "chat.example", prefix: "u", header: func() http.Header { return header(1 + rand.IntN(usualAdapters)) }}
	go usual.run(ctx, http.MethodPost, "/chat/1", "prompt", usualEvery, 5*time.Second)
	time.Sleep(contact + 4*time.Second)
	if served, sent := usual.served("/chat/1", time.Now().Add(-3*time.Second)); served < sent*8/10 || sent < 10 {
		return held, fmt.Errorf("only %d of %d requests are served before the disruption", served, sent)
	}
	if trouble {
		d.say("rare adapters are asked for")
		rare := &callers{d: d, host: "chat.example", prefix: "x", header: func() http.Header { return header(100 + rand.IntN(rareAdapters)) }}
		burst, end := context.WithTimeout(ctx, burstFor)
		rare.run(burst, http.MethodPost, "/chat/1", "prompt", burstEvery, 5*time.Second)
		end()
	} else {
		time.Sleep(burstFor)
	}
	time.Sleep(3 * time.Second)
	cancel()
	time.Sleep(time.Second)
	served, sent := usual.served("/chat/1", d.record.start)
	d.say("orders to load more than an engine holds: %d; engines that crashed of it: %d of %d; usual requests served: %d of %d", overloads.Load(), crashes.Load(), len(engines), served, sent)
	if overloads.Load() > 0 {
		return broken, nil
	}
	return held, nil
}
