package voter

import (
	"hash/fnv"
	"slices"

	"shallotgap/core/census"
	"shallotgap/core/grant"
	"shallotgap/core/ident"
	corereach "shallotgap/core/reach"
	"shallotgap/io/link"
)

// isCutOff reports whether an entry host has lost its paths to all endpoints of a service.
func (e entryHost) isCutOff() bool {
	return e.presence.Lost != nil && len(e.presence.Lost.Services) > 0
}

// relaysFor returns entry hosts that can send to endpoints for a host that has lost paths. Equal ones are in an order that depends on the key.
func (v *Voter) relaysFor(host ident.HostID, domain ident.DomainID, lost corereach.Faults, key string, now ident.Time) []corereach.Relay {
	var list []corereach.Relay
	for _, e := range v.entryHosts {
		if e.hello.Host == host || e.hello.Address == "" || !e.presence.Ready || now.Sub(e.receivedAt) > presenceTTL {
			continue
		}
		r := corereach.Relay{Host: e.hello.Address, Domain: e.hello.Domain}
		if e.presence.Lost != nil {
			r.Without = *e.presence.Lost
		}
		list = append(list, r)
	}
	return corereach.ChooseRelays(list, lost, domain, func(r corereach.Relay) uint64 {
		h := fnv.New64a()
		_, _ = h.Write([]byte(key + "/" + string(r.Host)))
		return h.Sum64()
	})
}

// sendRelays tells an entry host that has lost paths which hosts can send for it.
func (v *Voter) sendRelays(to link.Hello, p link.Presence, now ident.Time) {
	if p.Lost == nil {
		return
	}
	v.mesh.Send(to.Host, link.Message{Relays: &link.Relays{List: v.relaysFor(to.Host, to.Domain, *p.Lost, string(to.Host), now)}})
}

// setOwnRelays tells this host's client which hosts can send for it, while it has lost paths.
func (v *Voter) setOwnRelays(now ident.Time) {
	if v.Paths == nil {
		return
	}
	if lost := v.Paths.Faults(); !lost.Empty() {
		v.Paths.SetRelays(v.relaysFor(v.Self, v.Domain, lost, string(v.Self), now))
	}
}

// chooseHolder returns which machine sends an order: this host, or a relay if it has lost its path to the engine.
func (v *Voter) chooseHolder(o grant.Order, now ident.Time) (corereach.Holder, bool) {
	holders := v.leadership.holders
	direct := v.Paths == nil || v.Paths.Direct(corereach.Target{Instance: o.Instance, Service: o.Service, Address: o.Address})
	var relays []corereach.Relay
	if !direct || holders.HasDeputy(o.Instance) {
		// Each engine has an order of its own, so that the work is spread over the relays.
		relays = slices.DeleteFunc(v.relaysFor(v.Self, v.Domain, v.Paths.Faults(), string(o.Instance.ID), now), func(r corereach.Relay) bool { return r.Without.Lacks(o.Instance, o.Service) })
	}
	return holders.Choose(o.Instance, direct, relays, now)
}

// gaugeHealth publishes the counts of Health as gauges; they are 0 on hosts that do not lead.
func (v *Voter) gaugeHealth() {
	var h grant.Health
	if v.leadership != nil {
		h = v.leadership.authority.Health()
	}
	for name, n := range map[string]int{"engines_in_doubt": h.InDoubt, "engines_silent": h.Silent, "engines_refusing_fence": h.FenceRefused, "adapters_unserved": h.Unserved} {
		v.Meter.Gauge("shallotgap_"+name, int64(n))
	}
}

// learnPath adds an engine to those by which this host finds out whether it has any path.
func (v *Voter) learnPath(e census.Entry) {
	if v.Paths != nil && e.State == census.Ready && !v.isPlain(e.Service) {
		v.Paths.Learn([]corereach.Target{{Instance: e.Instance, Service: e.Service, Address: e.Address}})
	}
}
