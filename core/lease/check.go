package lease

import (
	"errors"
	"fmt"
	"net/url"
	"strconv"
)

// Limits of what an endpoint can announce. Announcements are replicated: one that no host can handle would come back after each restart.
const (
	maxCount = 1 << 20 // adapters or requests of one endpoint
	maxName  = 256     // bytes of an id or a name
	maxURL   = 2048    // bytes
)

// ErrOdd is wrapped by the errors of Check.
var ErrOdd = errors.New("not an announcement of an endpoint")

// Check returns an error that names the field if the announcement says something that no endpoint can say of itself.
func (e Endpoint) Check() error {
	switch {
	case e.ID == "" || e.Instance == 0:
		return fmt.Errorf("%w: id or instance is missing", ErrOdd)
	case len(e.ID) > maxName || len(e.Domain) > maxName || len(e.Service) > maxName:
		return fmt.Errorf("%w: id, domain or service has more than %d bytes", ErrOdd, maxName)
	case e.Kind != Engine && e.Kind != Plain:
		return fmt.Errorf("%w: kind %q is unknown", ErrOdd, e.Kind)
	case e.Slots < 0 || e.Slots > maxCount:
		return fmt.Errorf("%w: slots %d, want 0 to %d", ErrOdd, e.Slots, maxCount)
	case e.MaxRunning < 0 || e.MaxRunning > maxCount:
		return fmt.Errorf("%w: max-running %d, want 0 to %d", ErrOdd, e.MaxRunning, maxCount)
	case !(e.Limit >= 0): // also if it is not a number
		return fmt.Errorf("%w: limit %v is negative or no number", ErrOdd, float64(e.Limit))
	}
	return checkURL(e.URL)
}

// checkURL returns an error if a request can't be sent to a URL.
func checkURL(text string) error {
	if len(text) > maxURL {
		return fmt.Errorf("%w: url has %d bytes, more than %d", ErrOdd, len(text), maxURL)
	}
	u, err := url.Parse(text)
	switch {
	case err != nil:
		return fmt.Errorf("%w: url: %w", ErrOdd, err)
	case (u.Scheme != "http" && u.Scheme != "https") || u.Hostname() == "":
		return fmt.Errorf("%w: url %q is not one of a host", ErrOdd, text)
	case u.Port() == "":
		return nil
	}
	if port, err := strconv.ParseUint(u.Port(), 10, 16); err != nil || port == 0 {
		return fmt.Errorf("%w: url %q has no port from 1 to 65535", ErrOdd, text)
	}
	return nil
}
