// Package conf reads and validates the INI settings file of one host.
package conf

import (
	"fmt"
	"net/netip"
	"sort"
	"strings"
	"time"

	"github.com/apex/log"
	"gopkg.in/ini.v1"

	"shallotgap/core/burn"
	"shallotgap/core/ident"
	"shallotgap/core/world"
	"shallotgap/io/token"
)

// Settings are the validated settings of one host.
type Settings struct {
	File       string
	Name       ident.HostID
	Domain     ident.DomainID
	DataFolder string // folder of the replicated log; empty for a host without a disk
	LogLevel   string
	// Hosts are all entry hosts including this one, sorted by name.
	Hosts  []Host
	Params world.Params
	// Tokens authenticate callers, operators, endpoints and peers. If empty, all requests are accepted.
	Tokens token.Set
	// EntryLife is the time for which callers may cache an answer to GET /v1/entries.
	EntryLife time.Duration
	// DrainTimeout bounds the time to drain the host after a stop signal.
	DrainTimeout time.Duration
	// Trace is the file in which the inputs of all decisions are recorded for replay, up to TraceBytes; empty for none.
	Trace      string
	TraceBytes int64
	// AnswerBytes is the memory that all answers of endpoints that the host reads may take together.
	AnswerBytes int64
	// Objectives are the service-level targets of the burn report.
	Objectives burn.Targets
}

// Host holds the settings of one entry host. The settings files of all hosts describe the same hosts.
type Host struct {
	Name   ident.HostID
	Domain ident.DomainID
	Listen string // address for callers, endpoints and operators
	Peer   string // address for other hosts
	Disk   bool   // whether the host stores the replicated log
}

// Self returns this host's element of Hosts, or the zero Host if there is none.
func (s Settings) Self() Host {
	for _, h := range s.Hosts {
		if h.Name == s.Name {
			return h
		}
	}
	return Host{}
}

// Peers returns the hosts as input for package world.
func (s Settings) Peers() []world.Peer {
	list := make([]world.Peer, 0, len(s.Hosts))
	for _, h := range s.Hosts {
		list = append(list, world.Peer{Host: h.Name, Domain: h.Domain, Disk: h.Disk})
	}
	return list
}

// Error is an invalid setting with its position in the file.
type Error struct {
	File    string
	Section string
	Key     string
	Reason  string
}

// Error returns "file: [section] key: reason".
func (e *Error) Error() string {
	return fmt.Sprintf("%s: [%s] %s: %s", e.File, e.Section, e.Key, e.Reason)
}

// Defaults returns the values of settings that a file leaves out.
func Defaults() Settings {
	return Settings{
		LogLevel: "info", Params: world.Defaults(), EntryLife: 5 * time.Second, DrainTimeout: 30 * time.Second,
		TraceBytes: 256 << 20, AnswerBytes: 256 << 20, Objectives: burn.Defaults(),
	}
}

// sectionKeys holds the valid keys of each section; "host.*" stands for the sections of entry hosts.
var sectionKeys = map[string][]string{
	"self":    {"name", "data-folder", "log-level", "drain-timeout", "trace", "trace-bytes", "answer-bytes"},
	"host.*":  {"domain", "listen", "peer", "disk"},
	"callers": {"entry-life"},
	"tokens":  {"callers", "operators", "endpoints", "peers"},
	"store":   {"loads-per-second", "loads-in-flight"},
	"quorum":  {"voters", "repair-after"},
	// Section [objectives] has keys for each objective of package burn.
	"objectives": objectiveKeys(),
}

// Load reads and validates a settings file.
func Load(file string) (Settings, error) {
	f, err := ini.LoadSources(ini.LoadOptions{KeyValueDelimiters: "="}, file)
	if err != nil {
		return Settings{}, fmt.Errorf("read settings %s: %w", file, err)
	}
	r := &reader{file: f, name: file}
	s := r.settings()
	return s, r.err
}

// reader reads settings from an INI file and keeps the first error.
type reader struct {
	file *ini.File
	name string
	err  error
}

func (r *reader) fail(section, key, reason string) {
	if r.err == nil {
		r.err = &Error{File: r.name, Section: section, Key: key, Reason: reason}
	}
}

func (r *reader) settings() Settings {
	r.checkKeys()
	s := Defaults()
	s.File = r.name
	self := r.file.Section("self")
	s.Name = ident.HostID(self.Key("name").String())
	s.DataFolder = self.Key("data-folder").String()
	s.LogLevel = self.Key("log-level").MustString(s.LogLevel)
	s.DrainTimeout = r.duration("self", "drain-timeout", s.DrainTimeout)
	s.Trace = self.Key("trace").String()
	s.TraceBytes = int64(r.int("self", "trace-bytes", int(s.TraceBytes)))
	s.AnswerBytes = int64(r.int("self", "answer-bytes", int(s.AnswerBytes)))
	if _, err := log.ParseLevel(s.LogLevel); err != nil {
		r.fail("self", "log-level", "want debug, info, warn, error or fatal")
	}
	s.EntryLife = r.duration("callers", "entry-life", s.EntryLife)
	s.Params.EntryLife = s.EntryLife
	s.Params.StoreRate = r.float("store", "loads-per-second", s.Params.StoreRate)
	s.Params.Voters = r.int("quorum", "voters", s.Params.Voters)
	s.Params.RepairAfter = r.duration("quorum", "repair-after", s.Params.RepairAfter)
	s.Params.StoreInFlight = r.int("store", "loads-in-flight", s.Params.StoreInFlight)
	s.Objectives = r.objectives(s.Objectives)
	s.Hosts = r.hosts()
	s.Domain = s.Self().Domain
	r.checkHosts(s)
	s.Tokens = r.tokens()
	r.checkTokens(s)
	return s
}

// checkKeys rejects unknown sections and keys.
func (r *reader) checkKeys() {
	for _, section := range r.file.Sections() {
		name := section.Name()
		if name == ini.DefaultSection && len(section.Keys()) == 0 {
			continue
		}
		kind := name
		if strings.HasPrefix(name, "host.") {
			kind = "host.*"
		}
		keys, ok := sectionKeys[kind]
		if !ok {
			r.fail(name, "", "unknown section")
			continue
		}
		for _, k := range section.Keys() {
			if !containsKey(keys, k.Name()) {
				r.fail(name, k.Name(), "unknown key")
			}
		}
	}
}

func containsKey(list []string, s string) bool {
	for _, key := range list {
		if key == s {
			return true
		}
	}
	return false
}

func (r *reader) hosts() []Host {
	var list []Host
	for _, section := range r.file.Sections() {
		name, ok := strings.CutPrefix(section.Name(), "host.")
		if !ok {
			continue
		}
		h := Host{
			Name:   ident.HostID(name),
			Domain: ident.DomainID(section.Key("domain").String()),
			Listen: r.address(section, "listen"),
			Peer:   r.address(section, "peer"),
		}
		if section.HasKey("disk") {
			disk, err := section.Key("disk").Bool()
			if err != nil {
				r.fail(section.Name(), "disk", "want true or false")
			}
			h.Disk = disk
		}
		if h.Domain == "" {
			r.fail(section.Name(), "domain", "must be set")
		}
		list = append(list, h)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Name < list[j].Name })
	return list
}

// address reads an IP:PORT.
func (r *reader) address(s *ini.Section, key string) string {
	v := s.Key(key).String()
	if _, err := netip.ParseAddrPort(v); err != nil {
		r.fail(s.Name(), key, fmt.Sprintf("%q is not IP:PORT", v))
	}
	return v
}

// checkHosts validates the settings that concern several hosts: disks, addresses and voters.
func (r *reader) checkHosts(s Settings) {
	self := s.Self()
	if self.Name == "" {
		r.fail("self", "name", fmt.Sprintf("no section [host.%s]", s.Name))
	}
	if self.Disk != (s.DataFolder != "") {
		r.fail("self", "data-folder", "must be set on the hosts with disk = true, and only there")
	}
	used := map[string]ident.HostID{}
	disks := 0
	for _, h := range s.Hosts {
		for _, a := range []struct{ key, address string }{{"listen", h.Listen}, {"peer", h.Peer}} {
			if other, clash := used[a.address]; clash {
				r.fail("host."+string(h.Name), a.key, fmt.Sprintf("%s is also used by host %s", a.address, other))
			}
			used[a.address] = h.Name
		}
		if h.Disk {
			disks++
		}
	}
	if v := s.Params.Voters; v != 0 && ((v != 1 && v != 3 && v != 5) || v > disks) {
		r.fail("quorum", "voters", fmt.Sprintf("%d: want 1, 3 or 5, and at least as many hosts with disk = true (%d)", v, disks))
	}
	if disks < 3 && disks != 1 {
		r.fail("host.*", "disk", fmt.Sprintf("%d hosts have disk = true; want 1, or 3 and more", disks))
	}
}
