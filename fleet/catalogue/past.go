package catalogue

import (
	"maps"
	"slices"
	"strings"

	"balsamknot.org/fleet/endpoint"
)

// DatedChange is a change of a registration, Registered or Removed, in the platform's store.
type DatedChange struct {
	Change Change
	// Revision is that of the change, and Created that at which the registration was created; 0 if it is not stated.
	Revision, Created Revision
}

// Past is what the history of the platform's store tells of the endpoints from before a host had its first copy.
type Past struct {
	// Departed holds the registrations of incarnations that were no longer registered by then, in order of ID.
	Departed []endpoint.Record
	// CreatedAt is when the registration of each incarnation was created, departed or not, as far as the history tells.
	CreatedAt map[endpoint.Instance]Revision
}

// NewPast returns what changes tell, which are in the order in which they were made and end with the first copy. A registration that was removed and is
// back, as after an outage of the store, has not departed.
func NewPast(changes []DatedChange) Past {
	seen := make(map[endpoint.Instance]endpoint.Record)
	registered := make(map[endpoint.ID]endpoint.Instance)
	past := Past{CreatedAt: make(map[endpoint.Instance]Revision)}
	for _, c := range changes {
		switch change := c.Change.(type) {
		case Registered:
			instance := change.Record.Instance
			seen[instance] = change.Record
			if registered[instance.ID] != instance || c.Created != 0 {
				past.CreatedAt[instance] = c.creation()
			}
			registered[instance.ID] = instance
		case Removed:
			delete(registered, change.ID)
		}
	}
	for instance, record := range seen {
		if registered[instance.ID] != instance {
			past.Departed = append(past.Departed, record)
		}
	}
	slices.SortFunc(past.Departed, func(a, b endpoint.Record) int {
		return strings.Compare(string(a.Instance.ID), string(b.Instance.ID))
	})
	return past
}

// creation returns the revision at which the registration was created, or that of its first change that is known.
func (c DatedChange) creation() Revision {
	if c.Created != 0 {
		return c.Created
	}
	return c.Revision
}

// Versions returns the software versions of the departed endpoints of a service, for logs, in order.
func (p Past) Versions() []endpoint.Version {
	versions := make(map[endpoint.Version]bool)
	for _, r := range p.Departed {
		versions[r.Version] = true
	}
	return slices.Sorted(maps.Keys(versions))
}
