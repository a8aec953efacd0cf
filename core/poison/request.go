package poison

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"maps"
	"slices"
	"strings"

	"shallotgap/core/ident"
)

// requestPrefix begins the parts that stand for a whole request.
const requestPrefix = "request-"

// blockRequestCrashes is the number of crashes under one request after which it is blocked. Equal requests are rare enough that other
// evidence is not needed.
const blockRequestCrashes = 3

// ReplicateCrashes is the number of crashes from which on a request is kept in the replicated table. Every request that runs on an
// endpoint that crashes has one.
const ReplicateCrashes = 2

// maxLabel bounds the text that names a request to operators.
const maxLabel = 160 // bytes

// Identity is what makes two requests the same.
type Identity struct {
	Method string
	// Target is the host name with the path and query.
	Target string
	Caller string
	// Prompt names the model and the shared parts of a prompt; empty for a plain service.
	Prompt string
	Body   []byte
}

// Parts returns the parts that stand for a request: with its caller, and whoever sends it. They are keyed hashes, so that neither
// contents nor callers can be guessed from a list of them.
func (i Identity) Parts(key []byte) []Part {
	content := keyedHash(key, []byte(i.Method), []byte(i.Target), []byte(i.Prompt), i.Body)
	return []Part{requestPart(key, content, i.Caller), requestPart(key, content, "")}
}

// requestPart returns the part that stands for a content that a caller sends; an empty caller is any caller.
func requestPart(key, content []byte, caller string) Part {
	return Part(requestPrefix + hex.EncodeToString(keyedHash(key, content, []byte(caller))[:8]))
}

// keyedHash returns a hash of fields that depends on where each field ends.
func keyedHash(key []byte, fields ...[]byte) []byte {
	h := hmac.New(sha256.New, key)
	for _, field := range fields {
		_, _ = h.Write(binary.BigEndian.AppendUint64(nil, uint64(len(field)))) // a hash never returns an error
		_, _ = h.Write(field)
	}
	return h.Sum(nil)
}

// Label names the request to operators, by path and caller.
func (i Identity) Label() string {
	path, _, _ := strings.Cut(i.Target, "?")
	return (i.Method + " " + path)[:min(len(i.Method)+1+len(path), maxLabel)] + " from " + i.Caller
}

// IsRequest reports whether a part stands for a whole request.
func (p Part) IsRequest() bool { return strings.HasPrefix(string(p), requestPrefix) }

// Repeated reports that endpoints have crashed under one request more than once.
type Repeated struct {
	Part  Part   `json:"part"`
	Label string `json:"label"`
	// Instances are the endpoints that crashed, the latest ones if there were many.
	Instances []ident.Instance `json:"instances"`
	// With are the shared parts of the request's prompt.
	With []Part `json:"with,omitempty"`
}

// applyRepeated records the crashes under a request.
func (t *Table) applyRepeated(c Repeated) bool {
	r, known := t.records[c.Part]
	if !known {
		r = Record{Part: c.Part, State: Suspect, Label: c.Label, With: c.With, Since: t.Changes + 1}
	}
	counted := r.Crashes
	for _, i := range c.Instances {
		if !slices.Contains(r.Instances, i) {
			r.Instances = keepLatest(append(slices.Clip(r.Instances), i))
			r.Crashes++
		}
	}
	if r.Crashes == counted {
		return false
	}
	if r.State == OnTrial || r.Crashes >= blockRequestCrashes && r.State != Blocked {
		r.State = Blocked
		r.Blocks++
	}
	t.records[c.Part] = r
	t.trim()
	return true
}

// maxInstancesOfRequest is the number of crashes that are told apart under one request, more than are needed to block it.
const maxInstancesOfRequest = 8

// keepLatest returns the latest instances of a list.
func keepLatest(list []ident.Instance) []ident.Instance {
	return list[max(0, len(list)-maxInstancesOfRequest):]
}

// lift lets requests with a part run again. A whole request is on trial then, under all its parts: it is blocked again by its first
// crash.
func (t *Table) lift(p Part) bool {
	r, known := t.records[p]
	if !known {
		return false
	}
	if !p.IsRequest() || r.State == Suspect {
		delete(t.records, p)
		// Requests that crashed endpoints because of the part run again as well.
		maps.DeleteFunc(t.records, func(_ Part, o Record) bool { return slices.Contains(o.With, p) })
		return true
	}
	if r.State == OnTrial {
		return false // lifted with another part of the request
	}
	for other, o := range t.records {
		if other.IsRequest() && o.Label == r.Label && o.State == Blocked {
			o.State = OnTrial
			t.records[other] = o
		}
	}
	return true
}
