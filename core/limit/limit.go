// Package limit keeps the request rates that endpoints in need ask for, and paces the sends of all hosts by them.
//
// An endpoint names its limit in its answers, for all hosts together. One host sees a part of the sends only, so what it learns is
// reported to the authority, which counts each send to a limited endpoint.
package limit

import (
	"math"
	"strconv"
	"strings"

	"shallotgap/core/ident"
)

// Rate is a number of requests a second, from all hosts together.
type Rate float64

// Bounds of a rate in force.
const (
	// MinRate is the rate at which an endpoint that takes less is probed, so that the end of its limit is noticed.
	MinRate Rate = 0.1
	// MaxRate is a rate that no endpoint reaches; a higher one means no limit.
	MaxRate Rate = 1e5
)

// Bounded returns the rate within MinRate and MaxRate.
func (r Rate) Bounded() Rate { return min(max(r, MinRate), MaxRate) }

// Signal is what an answer says about the limit of its endpoint.
type Signal struct {
	// Named is true when the answer names a limit.
	Named bool
	Rate  Rate
	// Bad quotes values that were not understood or differ. An answer without any other value neither names nor ends a limit.
	Bad string
}

// maxQuoted bounds the text of a bad value in logs.
const maxQuoted = 64 // bytes

// Read parses the values of an answer that name a limit, as decimal numbers. The lowest of several values counts.
func Read(values []string) Signal {
	var s Signal
	differ := false
	for _, text := range values {
		n, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
		if (err != nil && !math.IsInf(n, 1)) || math.IsNaN(n) || n < 0 {
			s.Bad = quote(values)
			continue
		}
		r := min(Rate(n), MaxRate)
		differ = differ || (s.Named && r != s.Rate)
		if !s.Named || r < s.Rate {
			s.Rate = r
		}
		s.Named = true
	}
	if differ {
		s.Bad = quote(values)
	}
	return s
}

func quote(values []string) string {
	text := strings.Join(values, ", ")
	return strconv.Quote(text[:min(len(text), maxQuoted)])
}

// Silent reports whether the answer says nothing about a limit, which ends one.
func (s Signal) Silent() bool { return !s.Named && s.Bad == "" }

// Binds reports whether the answer names a limit that can be exceeded.
func (s Signal) Binds() bool { return s.Named && s.Rate < MaxRate }

// Record is the limit of an endpoint.
type Record struct {
	Instance ident.Instance `json:"instance"`
	Service  ident.Service  `json:"service"`
	Rate     Rate           `json:"rate"`
}

// Listed is a record in the form in which operators see it.
type Listed struct {
	Endpoint ident.EndpointID `json:"endpoint"`
	Service  ident.Service    `json:"service"`
	Rate     Rate             `json:"rate"`
}

// ListRecords returns records in the form in which operators see them.
func ListRecords(records []Record) []Listed {
	list := []Listed{}
	for _, r := range records {
		list = append(list, Listed{Endpoint: r.Instance.ID, Service: r.Service, Rate: r.Rate})
	}
	return list
}
