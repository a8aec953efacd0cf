package scene

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"shallotgap/core/claim"
	"shallotgap/core/work"
	"shallotgap/fakes/fleet"
	"shallotgap/fakes/stand"
	"shallotgap/io/admin"
	"shallotgap/io/entry"
)

// slowMS is the endpoint's response time, in milliseconds, in scenarios with a fault while the request runs.
const slowMS = 600

// requestScenario is a deployment with one at-most-once request to an engine or a plain service. other is a
// second entry host; runs returns how often the endpoint ran the request.
type requestScenario struct {
	*fleet.Fleet
	path, body                  string
	entry, owner, leader, other *fleet.Host
	faults                      func(stand.Faults) // sets the faults of the endpoint
	runs                        func() int
}

// key is the idempotency key of the request of each scenario.
const key = "release-1"

// send sends the request through host h with a deadline of 3 s. The caller disconnects after callerTimeout.
func (o *requestScenario) send(h *fleet.Host, callerTimeout time.Duration) answer {
	ctx, cancel := context.WithTimeout(context.Background(), callerTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, h.URL()+o.path, io.NopCloser(strings.NewReader(o.body)))
	if err != nil {
		return answer{Err: err}
	}
	req.Header.Set(entry.KeyHeader, key)
	req.Header.Set(entry.TimeoutHeader, "3s")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return answer{Err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	return answer{Status: resp.StatusCode, Header: resp.Header, Body: string(data), Err: err}
}

// newRequestScenario starts a deployment with one engine and one plain service; model selects the engine. The entry host
// is neither the leader, a voter nor the endpoint's owner.
func newRequestScenario(t *testing.T, model bool) *requestScenario {
	t.Helper()
	o := &requestScenario{Fleet: newFleet(t, 1)}
	p := o.Plains[0].Fake
	o.path, o.body, o.faults = "/services/payments/release", "{}", p.SetFaults
	o.runs = func() int { return p.Counts()[key] }
	endpoint := "p1"
	if model {
		g := o.Engines[0].Fake
		putRow(t, o.Fleet, o.Hosts[0], "feed-advice@v1")
		o.path, o.body, o.faults = "/v1/completions", `{"model":"feed-advice@v1","max_tokens":2}`, g.SetFaults
		o.runs = func() int { return g.Counts()[key] }
		endpoint = "g1"
		warm := func() bool { return post(o.Hosts[0].URL()+o.path, o.body).Status == http.StatusOK }
		assert.Assert(t, fleet.Await(settleTime, warm), "the adapter is not loaded")
	}
	var s admin.Status
	assert.NilError(t, get(o.Hosts[0].URL()+"/admin/status", &s))
	for _, e := range s.Endpoints {
		if string(e.ID) == endpoint {
			o.owner = o.host(string(e.Owner))
		}
	}
	o.leader = o.host(string(s.Leader))
	for _, h := range o.Hosts {
		if h == o.owner || h == o.leader || h.Disk {
			continue
		}
		if o.entry == nil {
			o.entry = h
		}
		o.other = h
	}
	return o
}

// host returns the host of the given name, or nil.
func (o *requestScenario) host(name string) *fleet.Host {
	for _, h := range o.Hosts {
		if string(h.Name) == name {
			return h
		}
	}
	return nil
}

// during sends the request to a slow endpoint and calls inject while the request runs.
func (o *requestScenario) during(inject func()) answer {
	o.faults(stand.Faults{LateMS: slowMS})
	defer o.faults(stand.Faults{})
	done := make(chan answer, 1)
	go func() { done <- o.send(o.entry, settleTime) }()
	fleet.Await(settleTime, func() bool { return o.state() == claim.Claimed })
	inject()
	return <-done
}

// state returns the state of the key from the first host that knows it, or "".
func (o *requestScenario) state() claim.State {
	for _, h := range o.Hosts {
		var st entry.KeyStatus
		if get(h.URL()+"/v1/requests/"+key, &st) == nil && st.State != "" {
			return st.State
		}
	}
	return ""
}

// outcomeOf returns the outcome of a rejected request, or "".
func outcomeOf(a answer) work.Outcome {
	var r work.Refusal
	_ = json.Unmarshal([]byte(a.Body), &r)
	return r.Outcome
}

// losses holds, by name, the scenarios in which a process, a link or an answer is lost at a step of the request. Each
// scenario sends the request and returns the answer that the caller got.
var losses = map[string]func(o *requestScenario) answer{
	"no loss": func(o *requestScenario) answer { return o.send(o.entry, settleTime) },
	"caller disconnects": func(o *requestScenario) answer {
		o.faults(stand.Faults{LateMS: slowMS})
		return o.send(o.entry, slowMS*time.Millisecond/3)
	},
	"entry is killed":  func(o *requestScenario) answer { return o.during(func() { o.Kill(o.entry) }) },
	"owner is killed":  func(o *requestScenario) answer { return o.during(func() { o.Kill(o.owner) }) },
	"leader is killed": func(o *requestScenario) answer { return o.during(func() { o.Kill(o.leader) }) },
	"owner restarts": func(o *requestScenario) answer {
		return o.during(func() { o.Kill(o.owner); _ = o.Restart(o.owner) })
	},
	"link to the owner breaks": func(o *requestScenario) answer {
		return o.during(func() { o.Cut(o.entry.Name, o.owner.Name); o.Cut(o.owner.Name, o.entry.Name) })
	},
	"link from the owner breaks": func(o *requestScenario) answer {
		return o.during(func() { o.Cut(o.owner.Name, o.entry.Name) })
	},
	"claim reaches no majority": func(o *requestScenario) answer {
		for _, h := range o.Hosts {
			if h.Disk {
				o.Cut(h.Name, o.owner.Name)
				o.Cut(o.owner.Name, h.Name)
			}
		}
		return o.send(o.entry, settleTime)
	},
	"claim result is lost": func(o *requestScenario) answer {
		for _, h := range o.Hosts {
			if h.Disk {
				o.Cut(h.Name, o.owner.Name)
			}
		}
		return o.send(o.entry, settleTime)
	},
	"outcome reaches no majority": func(o *requestScenario) answer {
		return o.during(func() { o.Isolate(o.owner.Name) })
	},
	"endpoint closes without answer": func(o *requestScenario) answer {
		o.faults(stand.Faults{ReadClose: 1})
		return o.send(o.entry, settleTime)
	},
	"endpoint answers too late": func(o *requestScenario) answer {
		o.faults(stand.Faults{LateMS: 3500})
		return o.send(o.entry, settleTime)
	},
	"endpoint freezes": func(o *requestScenario) answer {
		o.faults(stand.Faults{Frozen: true})
		return o.send(o.entry, settleTime)
	},
	"two entry hosts at once": func(o *requestScenario) answer {
		second := make(chan answer, 1)
		go func() { second <- o.send(o.other, settleTime) }()
		a := o.send(o.entry, settleTime)
		<-second
		return a
	},
}

// A request with an idempotency key runs at most once, whichever process, link or answer is lost. A request that is
// reported as not-run did not run, and the key reaches a final state. The number of runs is counted by the endpoint itself.
func TestAtMostOnceRequestUnderLossAtEachStep(t *testing.T) {
	for _, model := range []bool{false, true} {
		kind := "service"
		if model {
			kind = "engine"
		}
		for name, lose := range losses {
			t.Run(kind+"/"+name, func(t *testing.T) {
				t.Parallel()
				o := newRequestScenario(t, model)
				a := lose(o)
				t.Logf("the caller got status %d, body %s, error %v", a.Status, a.Body, a.Err)
				if a.Err == nil && a.Status != http.StatusOK {
					assert.Assert(t, outcomeOf(a) != "", "the answer has no outcome: %s", a.Body)
				}
				if outcomeOf(a) == work.NotRun {
					assert.Equal(t, o.runs(), 0)
				}
				if a.Err == nil && a.Status == http.StatusOK {
					assert.Equal(t, o.runs(), 1)
				}
				o.Heal()
				o.faults(stand.Faults{})
				o.awaitFinalState(t)
				assert.Assert(t, o.runs() <= 1, "the request ran %d times", o.runs())
			})
		}
	}
}

// awaitFinalState sends the request again through all hosts until its key has a final state.
func (o *requestScenario) awaitFinalState(t *testing.T) {
	t.Helper()
	var last claim.State
	final := func() bool {
		for _, h := range o.Hosts {
			o.send(h, settleTime)
		}
		last = o.state()
		return last == claim.Done || last == claim.InDoubt
	}
	assert.Assert(t, fleet.Await(2*settleTime, final), "the key has no final state; last state %q", last)
	if last == claim.Done {
		assert.Equal(t, o.runs(), 1)
	}
}
