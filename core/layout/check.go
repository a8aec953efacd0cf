package layout

import (
	"fmt"
	"strings"
)

// Check returns an error if the layout is not valid.
func (l *Layout) Check() error {
	if l.Version == 0 {
		return fmt.Errorf("layout: version is missing or 0")
	}
	services := map[string]bool{}
	for _, s := range l.Services {
		if s.Name == "" || services[string(s.Name)] {
			return fmt.Errorf("service %q: name is empty or used twice", s.Name)
		}
		services[string(s.Name)] = true
	}
	names := map[[2]string]string{}
	for _, r := range l.Routes {
		if err := r.check(services); err != nil {
			return err
		}
		key := [2]string{strings.ToLower(r.Host), r.Prefix}
		if other, taken := names[key]; taken {
			return fmt.Errorf("routes %q and %q: same host %q and prefix %q", other, r.Name, r.Host, r.Prefix)
		}
		names[key] = r.Name
	}
	return nil
}

// check returns an error if a route is not valid; services holds the names of the layout's services.
func (r Route) check(services map[string]bool) error {
	totalWeight := 0.0
	for _, s := range r.Shares {
		if !services[string(s.Service)] {
			return fmt.Errorf("route %q: unknown service %q", r.Name, s.Service)
		}
		if s.Weight < 0 {
			return fmt.Errorf("route %q: weight of %q is negative", r.Name, s.Service)
		}
		totalWeight += s.Weight
	}
	switch {
	case r.Host == "" || !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/"):
		return fmt.Errorf("route %q: needs a host and a prefix that begins and ends with a slash", r.Name)
	case totalWeight <= 0:
		return fmt.Errorf("route %q: weights add up to 0", r.Name)
	case r.Timeout <= 0:
		return fmt.Errorf("route %q: timeout is 0", r.Name)
	case r.Kind < Safe || r.Kind > Stream:
		return fmt.Errorf("route %q: unknown kind", r.Name)
	}
	return nil
}
