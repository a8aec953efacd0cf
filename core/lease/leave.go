package lease

import (
	"errors"

	"shallotgap/core/ident"
)

// LateCallSeconds is the longest time by which a call of an endpoint may be late, as after a cut.
const LateCallSeconds = 60

// ErrUnclearInstance is the error for a deregistration that names no instance, while an earlier instance may have sent it.
var ErrUnclearInstance = errors.New("the endpoint has restarted lately: name the instance that leaves")

// Leaver reports whether a deregistration at the wall-clock second now (Unix) is that of the current instance. named is the instance that it
// names, 0 for none.
func (o Owned) Leaver(named ident.Incarnation, now int64) (bool, error) {
	switch {
	case named != 0:
		return named == o.Instance, nil
	case o.RestartedAt != 0 && now-o.RestartedAt < LateCallSeconds:
		return false, ErrUnclearInstance
	}
	return true, nil
}
