//go:build review

package main

import (
	"fmt"
	"net/http"
	"time"
)

// namesConfig has a route of the same name on each of two hosts. The timeout of the second one is a parameter.
const namesConfig = `{"version":%d,"routes":[
{"name":"status","host":"bank.example","pathPrefix":"/status/","routeType":"safe","timeoutMs":1000,"targetLatencyMs":150,"priority":2,"service":"laufdienst","maxAttempts":2,"sticky":false,"resumable":false,"targetGapMs":0},
{"name":"status","host":"staff.example","pathPrefix":"/status/","routeType":"safe","timeoutMs":%d,"targetLatencyMs":150,"priority":2,"service":"laufdienst","maxAttempts":2,"sticky":false,"resumable":false,"targetGapMs":0}],
"services":[{"name":"laufdienst","healthPath":"/health","maxConns":100,"protocol":"h1","tls":false}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}`

// sameName changes the timeout of one route and counts the requests on the other one, which stays as it is, that are refused with 404.
func sameName(d *deployment, trouble bool) (verdict, error) {
	if err := d.putConfig(fmt.Sprintf(namesConfig, 1, 1000), 20*time.Second); err != nil {
		return held, err
	}
	for n, z := range zones {
		r, err := newReplica(d, fmt.Sprintf("i-%d", n+1), "laufdienst", z.name, workOf)
		if err != nil {
			return held, err
		}
		defer r.exit()
	}
	if err := d.awaitReady(10 * time.Second); err != nil {
		return held, err
	}
	time.Sleep(contact + 2*time.Second) // all machines are in touch
	count := func(host string) (served, missing int) {
		c := &callers{d: d, host: host}
		for _, p := range d.entries {
			for range 5 {
				a := c.send(http.MethodGet, "/status/1", "", fmt.Sprintf("%s:%d", p.ip, d.ports.front), time.Second)
				switch a.status {
				case http.StatusOK:
					served++
				case http.StatusNotFound:
					missing++
				}
			}
		}
		d.say("%s: %d requests served, %d refused with 404", host, served, missing)
		return served, missing
	}
	for _, host := range []string{"bank.example", "staff.example"} {
		if _, missing := count(host); missing > 0 {
			return held, fmt.Errorf("%s is not served before the change", host)
		}
	}
	if trouble {
		if err := d.putConfig(fmt.Sprintf(namesConfig, 2, 900), 10*time.Second); err != nil {
			return held, err
		}
	}
	time.Sleep(configApply + time.Second)
	_, bank := count("bank.example")
	_, staff := count("staff.example")
	if bank+staff > 0 {
		return broken, nil
	}
	return held, nil
}
