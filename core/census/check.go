package census

import (
	"errors"
	"fmt"
	"time"
)

// Limits of what an endpoint can say of itself. Entries that exceed them come from another writer, and are rejected before they are
// stored or sent on.
const (
	// MaxSlots is more requests than any endpoint runs at once; sums over all endpoints still fit an int.
	MaxSlots = 1 << 20
	maxName  = 256     // bytes of an id, a name or an address
	maxHeld  = 1 << 16 // models, or adapters, of one engine
	maxSeq   = 1 << 53 // the largest whole number that every sender can count to
	// bornSlack is how far the start of an endpoint may lie in the future of this host's clock: clocks of hosts jump by seconds.
	bornSlack = 10 * time.Minute
)

// ErrOdd is wrapped by the errors of Check.
var ErrOdd = errors.New("not an entry of an endpoint")

// Check returns an error that names the field if the entry says something that no endpoint can say of itself. now is the time of day.
func (e Entry) Check(now time.Time) error {
	names := map[string]string{"id": string(e.Instance.ID), "service": string(e.Service), "address": e.Address, "domain": string(e.Domain), "build": string(e.Build)}
	for _, field := range []string{"id", "service", "address", "domain", "build"} {
		if len(names[field]) > maxName {
			return fmt.Errorf("%w: %s has %d bytes, more than %d", ErrOdd, field, len(names[field]), maxName)
		}
	}
	switch {
	case e.Instance.ID == "" || e.Service == "" || e.Address == "":
		return fmt.Errorf("%w: id, service or address is missing", ErrOdd)
	case e.State < Ready || e.State > Gone:
		return fmt.Errorf("%w: state %d is unknown", ErrOdd, e.State)
	case e.Slots < 0 || e.Slots > MaxSlots:
		return fmt.Errorf("%w: slots %d, want 0 to %d", ErrOdd, e.Slots, MaxSlots)
	case e.Seq > maxSeq:
		return fmt.Errorf("%w: seq %d, want at most %d", ErrOdd, e.Seq, uint64(maxSeq))
	case uint64(e.Instance.Born) > uint64(max(0, now.Add(bornSlack).UnixMilli())):
		return fmt.Errorf("%w: born %d is in the future", ErrOdd, e.Instance.Born)
	case len(e.Models) > maxHeld || len(e.Held) > maxHeld:
		return fmt.Errorf("%w: %d models and %d adapters, want at most %d", ErrOdd, len(e.Models), len(e.Held), maxHeld)
	}
	for _, m := range e.Models {
		if len(m) > maxName {
			return fmt.Errorf("%w: the name of a model has %d bytes, more than %d", ErrOdd, len(m), maxName)
		}
	}
	for _, h := range e.Held {
		if len(h.Model) > maxName || len(h.Adapter) > maxName {
			return fmt.Errorf("%w: the name of an adapter has more than %d bytes", ErrOdd, maxName)
		}
	}
	return nil
}
