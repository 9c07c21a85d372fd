package catalogue

import (
	"maps"
	"time"

	"balsamknot.org/fleet/endpoint"
)

// departureMemory is how long an endpoint that is no longer registered is remembered: longer than the time by which a copy of the store is older
// than what it replaces.
const departureMemory = time.Minute

// departures holds the instances of endpoints that have announced that they leave, or whose registration was removed, so that an older copy of
// the store does not make them ready again.
type departures struct {
	leaving   map[endpoint.Instance]bool
	removedAt map[endpoint.Instance]time.Time
}

func newDepartures() departures {
	return departures{leaving: make(map[endpoint.Instance]bool), removedAt: make(map[endpoint.Instance]time.Time)}
}

// registered notes a registration and returns it as it is to be used. One that was written after the copy's position is the endpoint's newest
// word; another one does not make an instance ready that has announced that it leaves.
func (d departures) registered(r endpoint.Record, written bool) endpoint.Record {
	delete(d.removedAt, r.Instance)
	switch {
	case r.Leaving:
		d.leaving[r.Instance] = true
	case written:
		delete(d.leaving, r.Instance)
	}
	r.Leaving = d.leaving[r.Instance]
	return r
}

func (d departures) removed(now time.Time, instance endpoint.Instance) { d.removedAt[instance] = now }

// wasRemoved reports whether the registration of an instance was removed, and has not been written again since.
func (d departures) wasRemoved(instance endpoint.Instance) bool {
	_, removed := d.removedAt[instance]
	return removed
}

// expire forgets the instances whose removal is long past.
func (d departures) expire(now time.Time) {
	maps.DeleteFunc(d.removedAt, func(instance endpoint.Instance, at time.Time) bool {
		if now.Sub(at) <= departureMemory {
			return false
		}
		delete(d.leaving, instance)
		return true
	})
}
