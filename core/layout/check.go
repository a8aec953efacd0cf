package layout

import (
	"fmt"
	"strings"
)

// Check returns what makes a layout unusable, and nil if nothing does.
func (l *Layout) Check() error {
	if l.Version == 0 {
		return fmt.Errorf("layout: version is missing or 0")
	}
	known := map[string]bool{}
	for _, s := range l.Services {
		if s.Name == "" || known[string(s.Name)] {
			return fmt.Errorf("service %q: name is empty or used twice", s.Name)
		}
		known[string(s.Name)] = true
	}
	places := map[[2]string]string{}
	for _, r := range l.Routes {
		if err := r.check(known); err != nil {
			return err
		}
		place := [2]string{strings.ToLower(r.Host), r.Prefix}
		if other, taken := places[place]; taken {
			return fmt.Errorf("routes %q and %q: same host %q and prefix %q", other, r.Name, r.Host, r.Prefix)
		}
		places[place] = r.Name
	}
	return nil
}

func (r Route) check(known map[string]bool) error {
	total := 0.0
	for _, s := range r.Shares {
		if !known[string(s.Service)] {
			return fmt.Errorf("route %q: unknown service %q", r.Name, s.Service)
		}
		if s.Weight < 0 {
			return fmt.Errorf("route %q: weight of %q is negative", r.Name, s.Service)
		}
		total += s.Weight
	}
	switch {
	case r.Host == "" || !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/"):
		return fmt.Errorf("route %q: needs a host and a prefix that begins and ends with a slash", r.Name)
	case total <= 0:
		return fmt.Errorf("route %q: weights add up to 0", r.Name)
	case r.Timeout <= 0:
		return fmt.Errorf("route %q: timeout is 0", r.Name)
	case r.Kind < Safe || r.Kind > Stream:
		return fmt.Errorf("route %q: unknown kind", r.Name)
	}
	return nil
}
