package catalogue

import (
	"maps"
	"slices"
	"time"

	"balsamknot.org/fleet/endpoint"
)

// departureMemory is how long an endpoint that is no longer registered is remembered: longer than the time by which a copy of the store is older
// than what it replaces.
const departureMemory = time.Minute

// departure is the end of an instance's registration.
type departure struct {
	at time.Time
	// leaving is true if the instance had announced that it leaves.
	leaving bool
}

// heldRegistration is the registration of an instance that had departed, in an older copy of the store.
type heldRegistration struct {
	record  endpoint.Record
	until   time.Time
	leaving bool
}

// released returns the registration as it is to be used after the hold.
func (h heldRegistration) released() endpoint.Record {
	record := h.record
	record.Leaving = record.Leaving || h.leaving
	return record
}

func (c *Catalogue) noteDeparture(now time.Time, record endpoint.Record) {
	c.departed[record.Instance] = departure{at: now, leaving: record.Leaving}
}

func (c *Catalogue) forgetDepartures(now time.Time) {
	maps.DeleteFunc(c.departed, func(_ endpoint.Instance, d departure) bool { return now.Sub(d.at) > departureMemory })
}

// withoutDeparted returns the changes of a read of an older copy of the store but for the registrations of instances that had departed, and of
// earlier instances of endpoints that have restarted. It holds these back: they may have ended long ago. The store returned at returnedAt.
func (c *Catalogue) withoutDeparted(returnedAt time.Time, changes []Change) []Change {
	clear(c.held)
	return slices.DeleteFunc(slices.Clone(changes), func(change Change) bool {
		r, ok := change.(Registered)
		return ok && c.holdBack(returnedAt, r.Record)
	})
}

// holdBack holds back a registration in an older copy of the store if its instance had departed, or was followed by a later one.
func (c *Catalogue) holdBack(returnedAt time.Time, record endpoint.Record) bool {
	id := record.Instance.ID
	d, departed := c.departed[record.Instance]
	if !departed && c.endpoints[id].Instance.StartedAt <= record.Instance.StartedAt {
		return false
	}
	c.held[id] = heldRegistration{record: record, until: returnedAt.Add(c.cfg.ReturnHold), leaving: d.leaving}
	return true
}

// noteOutdated notes which registrations in an older copy of the store are as ready, of endpoints that have announced since that they leave.
func (c *Catalogue) noteOutdated(changes []Change) {
	clear(c.outdated)
	for record := range registrations(changes) {
		known := c.endpoints[record.Instance.ID]
		if known.Leaving && known.Instance == record.Instance && !record.Leaving {
			c.outdated[record.Instance.ID] = record
		}
	}
}

// dropUnlistedHeld drops the registrations held back that a full update does not list.
func (c *Catalogue) dropUnlistedHeld(u Update) {
	maps.DeleteFunc(c.held, func(_ endpoint.ID, h heldRegistration) bool {
		return !slices.Contains(u.Changes, Change(Registered{h.record}))
	})
}
