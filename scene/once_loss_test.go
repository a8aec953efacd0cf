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

// slowMS is how long the endpoint takes where a fault strikes while the request runs.
const slowMS = 600

// once is one unrepeatable request to an endpoint of one kind, with the hosts on its way.
type once struct {
	*fleet.Fleet
	path, body                   string
	entry, owner, leader, others *fleet.Host
	faults                       func(stand.Faults)
	runs                         func() int
}

// key is that of the one request of each scenario.
const key = "release-1"

// send sends the request, with a deadline, through a host; within bounds the caller's patience.
func (o *once) send(h *fleet.Host, within time.Duration) answer {
	ctx, cancel := context.WithTimeout(context.Background(), within)
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

// newOnce starts a deployment and picks an entry host and an owner that are neither the leader nor each other.
func newOnce(t *testing.T, model bool) *once {
	t.Helper()
	o := &once{Fleet: newFleet(t, 1)}
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
		o.others = h
	}
	return o
}

func (o *once) host(name string) *fleet.Host {
	for _, h := range o.Hosts {
		if string(h.Name) == name {
			return h
		}
	}
	return nil
}

// during sends the request to a slow endpoint and lets something happen while it runs there.
func (o *once) during(happens func()) answer {
	o.faults(stand.Faults{LateMS: slowMS})
	defer o.faults(stand.Faults{})
	done := make(chan answer, 1)
	go func() { done <- o.send(o.entry, settleTime) }()
	fleet.Await(settleTime, func() bool { return o.state() == claim.Claimed })
	happens()
	return <-done
}

// state returns the state of the key as any serving host tells it, or "".
func (o *once) state() claim.State {
	for _, h := range o.Hosts {
		var st entry.KeyStatus
		if get(h.URL()+"/v1/requests/"+key, &st) == nil && st.State != "" {
			return st.State
		}
	}
	return ""
}

func outcomeOf(a answer) work.Outcome {
	var r work.Refusal
	_ = json.Unmarshal([]byte(a.Body), &r)
	return r.Outcome
}

// losses are the ways to lose something at each step; each returns what the caller saw.
var losses = map[string]func(o *once) answer{
	"nothing is lost": func(o *once) answer { return o.send(o.entry, settleTime) },
	"the caller goes": func(o *once) answer {
		o.faults(stand.Faults{LateMS: slowMS})
		return o.send(o.entry, slowMS*time.Millisecond/3)
	},
	"entry is killed":  func(o *once) answer { return o.during(func() { o.Kill(o.entry) }) },
	"owner is killed":  func(o *once) answer { return o.during(func() { o.Kill(o.owner) }) },
	"leader is killed": func(o *once) answer { return o.during(func() { o.Kill(o.leader) }) },
	"owner restarts": func(o *once) answer {
		return o.during(func() { o.Kill(o.owner); _ = o.Restart(o.owner) })
	},
	"link to the owner breaks": func(o *once) answer {
		return o.during(func() { o.Cut(o.entry.Name, o.owner.Name); o.Cut(o.owner.Name, o.entry.Name) })
	},
	"link from the owner breaks": func(o *once) answer {
		return o.during(func() { o.Cut(o.owner.Name, o.entry.Name) })
	},
	"the claim finds no majority": func(o *once) answer {
		for _, h := range o.Hosts {
			if h.Disk {
				o.Cut(h.Name, o.owner.Name)
				o.Cut(o.owner.Name, h.Name)
			}
		}
		return o.send(o.entry, settleTime)
	},
	"the claim's answer is lost": func(o *once) answer {
		for _, h := range o.Hosts {
			if h.Disk {
				o.Cut(h.Name, o.owner.Name)
			}
		}
		return o.send(o.entry, settleTime)
	},
	"the outcome finds no majority": func(o *once) answer {
		return o.during(func() { o.Isolate(o.owner.Name) })
	},
	"endpoint reads and closes":       func(o *once) answer { o.faults(stand.Faults{ReadClose: 1}); return o.send(o.entry, settleTime) },
	"endpoint answers too late":       func(o *once) answer { o.faults(stand.Faults{LateMS: 3500}); return o.send(o.entry, settleTime) },
	"endpoint is frozen, then killed": func(o *once) answer { o.faults(stand.Faults{Frozen: true}); return o.send(o.entry, settleTime) },
	"two entry hosts at once": func(o *once) answer {
		second := make(chan answer, 1)
		go func() { second <- o.send(o.others, settleTime) }()
		a := o.send(o.entry, settleTime)
		<-second
		return a
	},
}

// An unrepeatable request under loss at every step runs at most once; every "not-run" is true; the caller that
// asks again gets a state. The endpoint's own count is the judge.
func TestUnrepeatableRequestUnderLossAtEveryStep(t *testing.T) {
	for _, model := range []bool{false, true} {
		kind := "service"
		if model {
			kind = "engine"
		}
		for name, lose := range losses {
			t.Run(kind+"/"+name, func(t *testing.T) {
				t.Parallel()
				o := newOnce(t, model)
				a := lose(o)
				t.Logf("the caller saw %d %s %v", a.Status, a.Body, a.Err)
				if a.Err == nil && a.Status != http.StatusOK {
					assert.Assert(t, outcomeOf(a) != "", "no state: %s", a.Body)
				}
				if outcomeOf(a) == work.NotRun {
					assert.Equal(t, o.runs(), 0)
				}
				if a.Err == nil && a.Status == http.StatusOK {
					assert.Equal(t, o.runs(), 1)
				}
				o.Heal()
				o.faults(stand.Faults{})
				o.settles(t)
				assert.Assert(t, o.runs() <= 1, "it ran %d times", o.runs())
			})
		}
	}
}

// settles sends the request again through the hosts that serve, until its key has a final state.
func (o *once) settles(t *testing.T) {
	t.Helper()
	var last claim.State
	final := func() bool {
		for _, h := range o.Hosts {
			o.send(h, settleTime)
		}
		last = o.state()
		return last == claim.Done || last == claim.InDoubt
	}
	assert.Assert(t, fleet.Await(2*settleTime, final), "the key stays %q", last)
	if last == claim.Done {
		assert.Equal(t, o.runs(), 1)
	}
}
