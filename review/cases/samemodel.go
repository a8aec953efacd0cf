//go:build review

package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"syscall"
	"time"
)

// poolsConfig leads the requests of two hosts to a service each, whose engines hold the same model.
const poolsConfig = `{"version":1,"routes":[%s],"services":[%s],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}`

const poolRoute = `{"name":"r-%[1]s","host":"%[1]s.example","pathPrefix":"/chat/","routeType":"streaming","timeoutMs":5000,"targetLatencyMs":1000,"priority":1,"service":"pool-%[1]s","maxAttempts":1,"sticky":true,"resumable":false,"targetGapMs":400}`

const poolService = `{"name":"pool-%s","healthPath":"/health","maxConns":490,"protocol":"h1","tls":false,"engine":{"slots":16,"kvCapacityTokens":200000,"kvTokenBytes":327680,"linkMbps":1100000.0,"moves":true,"backups":true,"stride":4,"maxCount":12,"hostMb":130000.0,"diskMb":390000.0,"pinMs":4000.0,"holdMs":2000.0,"handle_s":5.0,"models":[{"name":"base","weightsMb":16100.0,"loadS":0.6,"adapters":3000,"adapterMb":14.0,"warmS":0.27,"diskS":0.35}],"weightsMb":16300.0,"adapterSlots":4,"loadsPerS":2.1}}`

const (
	enginesPerPool = 3
	adapterCount   = 3
	coreDownFor    = 800 * time.Millisecond // less than the second of the page
)

// sameModel kills all processes of the core at once and counts the requests that run at a service to which their route does not lead.
func sameModel(d *deployment, trouble bool) (verdict, error) {
	tenants := []string{"bank", "staff"}
	var routes, services []string
	for _, t := range tenants {
		routes, services = append(routes, fmt.Sprintf(poolRoute, t)), append(services, fmt.Sprintf(poolService, t))
	}
	if err := d.putConfig(fmt.Sprintf(poolsConfig, strings.Join(routes, ","), strings.Join(services, ",")), 20*time.Second); err != nil {
		return held, err
	}
	var engines []*engine
	for _, t := range tenants {
		for n := range enginesPerPool {
			e, err := newEngine(d, fmt.Sprintf("i-%s-%d", t, n+1), "pool-"+t, zones[n].name, "base")
			if err != nil {
				return held, err
			}
			defer e.exit()
			engines = append(engines, e)
		}
	}
	if err := d.awaitReady(10 * time.Second); err != nil {
		return held, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	all := map[string]*callers{}
	for _, t := range tenants {
		c := &callers{d: d, host: t + ".example", prefix: t, header: func() http.Header {
			h := http.Header{}
			h.Set("Shallotgap-Model-Name", fmt.Sprintf("base/a%d", rand.IntN(adapterCount)+1))
			h.Set("Shallotgap-Token-Count", "120,20")
			h.Set("Shallotgap-Prompt-Prefix", fmt.Sprintf("aa01:100,%08x:20", rand.Uint32()))
			return h
		}}
		all[t] = c
		go c.run(ctx, http.MethodPost, "/chat/1", "prompt", 25*time.Millisecond, 5*time.Second)
	}
	time.Sleep(contact + 6*time.Second) // all machines are in touch, and each entry machine has sent requests for all adapters
	for _, t := range tenants {
		if served, sent := all[t].served("/chat/1", time.Now().Add(-3*time.Second)); served < 50 {
			return held, fmt.Errorf("only %d of %d requests of %s are served before the disruption", served, sent, t)
		}
	}
	if trouble {
		for _, p := range d.control {
			d.signal(p, syscall.SIGKILL)
		}
		time.Sleep(coreDownFor)
		for _, p := range d.control {
			<-p.exited
			if err := d.start(p, false); err != nil {
				return held, err
			}
		}
		d.say("the core runs again")
	}
	time.Sleep(6 * time.Second)
	cancel()
	time.Sleep(time.Second)
	foreign, answered := map[string]string{}, 0
	for _, e := range engines {
		for _, a := range e.since(d.record.start) {
			if owner := strings.TrimPrefix(e.service, "pool-") + ".example"; a.host != owner {
				foreign[a.id] = e.service
				d.note("%s for %s ran at %s of %s", a.id, a.host, e.id, e.service)
			}
		}
	}
	for _, c := range all {
		for _, a := range c.all() {
			if service, ran := foreign[a.id]; ran && a.status == http.StatusOK && strings.Contains(a.body, service) {
				answered++
			}
		}
	}
	d.say("requests that ran at a service to which no configuration lets them go: %d; answers of it that callers got: %d", len(foreign), answered)
	if len(foreign) > 0 {
		return broken, nil
	}
	return held, nil
}
