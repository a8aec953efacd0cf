package voter

import (
	"context"
	"crypto/rand"
	"errors"
	"syscall"
	"time"

	"shallotgap/core/book"
	"shallotgap/core/grant"
	"shallotgap/core/poison"
	corereach "shallotgap/core/reach"
	"shallotgap/core/wire"
	"shallotgap/io/clock"
	"shallotgap/io/link"
)

// PoisonParts returns the suspected and blocked parts.
func (v *Voter) PoisonParts(ctx context.Context) ([]poison.Record, error) {
	var list []poison.Record
	err := v.runInLoop(ctx, func() { list = v.book.Poison.List() })
	return list, err
}

// crashCheckTimeout is how long it may take to find out whether an engine that gave no report still listens: a connection of this host, and
// the answers of some relays.
const crashCheckTimeout = 600 * time.Millisecond

// probe finds out whether the process of an engine whose streams broke has ended.
func (v *Voter) probe(ctx context.Context, t grant.Target) {
	lead := v.leadership
	v.Meter.Count("shallotgap_engine_probes_total")
	go func() {
		result := v.probeEngine(ctx, t)
		v.post(func() {
			v.Log.WithField("step", "poison").WithField("endpoint", t.Instance.ID).WithField("peer", t.Address).WithField("refused", result == grant.Refused).WithField("alive", result == grant.Alive).Info("probed")
			if v.leadership == lead {
				lead.authority.ApplyProbe(t.Instance, result, clock.Boot())
			}
		})
	}()
}

// probeEngine asks an engine for its report. If none comes in time, it checks whether the engine still listens, as another host may not have
// confirmed a refused connection yet.
func (v *Voter) probeEngine(ctx context.Context, t grant.Target) grant.ProbeResult {
	reportCtx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	_, err := v.Engines.Report(reportCtx, t)
	if err == nil {
		return grant.Alive
	}
	if !errors.Is(err, syscall.ECONNREFUSED) && v.Paths != nil {
		checkCtx, cancel := context.WithTimeout(ctx, crashCheckTimeout)
		defer cancel()
		err = v.Paths.Check(checkCtx, corereach.Target{Instance: t.Instance, Service: t.Service, Address: t.Address})
	}
	if errors.Is(err, syscall.ECONNREFUSED) {
		return grant.Refused
	}
	return grant.Unclear
}

// proposeCommand appends a command of the authority to the log. A command that is lost with the leadership is made again by later
// evidence.
func (v *Voter) proposeCommand(step string, c book.Command) {
	data, err := wire.Marshal(c)
	if err == nil {
		_, err = v.node.Propose(data)
	}
	if err != nil {
		v.Log.WithField("step", step).WithError(err).Warn("not-proposed")
	}
}

// poisonKeyBytes is the length of the key of the hashes that stand for requests.
const poisonKeyBytes = 16

// proposePoisonKey sets the key of the hashes that stand for requests, if there is none yet.
func (v *Voter) proposePoisonKey() {
	if len(v.book.Poison.Key) > 0 {
		return
	}
	key := make([]byte, poisonKeyBytes)
	_, _ = rand.Read(key) // never returns an error
	v.proposeCommand("poison", book.Command{Poison: &poison.Command{Key: key}})
}

// relayCrash passes a report of a crash on to all entry hosts, and to the authority if this host leads. While another host leads, that one
// passes it on.
func (v *Voter) relayCrash(from link.Hello, c link.CrashReport) {
	if leader, _ := v.node.Leader(); c.Relayed || (leader != "" && leader != v.Self) {
		return
	}
	relayed := link.CrashReport{Crash: c.Crash, Relayed: true}
	v.mesh.SendAll(link.Message{Crashed: &relayed}, func(h link.Hello) bool { return !h.Control && h.Host != from.Host })
	if v.leadership != nil {
		v.leadership.authority.ReportCrash(c.Crash, from.Host, clock.Boot())
	}
}

// logPoison logs what a command did to the parts that it names.
func (v *Voter) logPoison(c poison.Command) {
	parts := c.Clear
	if c.Crash != nil {
		v.Meter.Count("shallotgap_engine_crashes_total")
		for _, s := range c.Crash.Suspects {
			parts = append(parts, s.Parts...)
		}
	}
	if c.Repeated != nil {
		parts = append(parts, c.Repeated.Part)
	}
	for _, p := range []poison.Part{c.Trial, c.Lift} {
		if p != "" {
			parts = append(parts, p)
		}
	}
	for _, p := range parts {
		log := v.Log.WithField("step", "poison").WithField("part", p)
		r, known := v.book.Poison.Get(p)
		if !known {
			log.WithField("outcome", "sound").Info("part")
			continue
		}
		log.WithField("outcome", r.State.String()).WithField("crashes", r.Crashes).WithField("alone", r.Alone).WithField("blocks", r.Blocks).WithField("label", r.Label).Info("part")
	}
	blocked := int64(0)
	for _, r := range v.book.Poison.List() {
		if r.State == poison.Blocked {
			blocked++
		}
	}
	v.Meter.Gauge("shallotgap_parts_blocked", blocked)
	v.Meter.Gauge("shallotgap_parts_suspected", int64(v.book.Poison.Len())-blocked)
}
