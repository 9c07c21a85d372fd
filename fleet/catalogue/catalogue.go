// Package catalogue keeps what a host believes of the platform: the set in force, the registered endpoints, and how old
// that knowledge is. Ages count on a clock that runs while the host is suspended.
package catalogue

import (
	"slices"
	"time"

	"balsamknot.org/fleet/endpoint"
	"balsamknot.org/fleet/site"
)

// Position is a place in the platform's history of changes.
type Position int64

// Config is what a catalogue is built from.
type Config struct {
	// Lease is how long a confirmed set may be acted on, from the moment at which the confirming read was sent.
	Lease time.Duration
	// Return is how long endpoints whose registration ran out while the platform was away are kept after its return.
	Return time.Duration
	// Outage is how long the platform has to be away for that.
	Outage time.Duration
}

// Read is what one read of the platform brought.
type Read struct {
	// Sent is when the read was sent: everything up to then is in it.
	Sent time.Time
	// Whole is true when the read lists everything, and what it lacks is gone.
	Whole bool
	// At is the position behind which the next read goes on.
	At Position
	// Set is nil when the read brought no new set.
	Set *site.Set
	// Endpoints are registrations, and Gone names endpoints that are no longer registered.
	Endpoints []endpoint.Record
	Gone      []endpoint.ID
}

// Change is what a read changed in the catalogue.
type Change struct {
	Set       *site.Set
	Endpoints []endpoint.Record
	Gone      []endpoint.ID
}

// Catalogue is the state. It is not safe for concurrent use.
type Catalogue struct {
	cfg       Config
	set       *site.Set
	at        Position
	confirmed time.Time
	endpoints map[endpoint.ID]endpoint.Record
	// lapsed holds endpoints that were listed before an outage and are missing after it, with the time of their removal.
	lapsed map[endpoint.ID]time.Time
	// returned is until when missing endpoints count as lapsed.
	returned time.Time
}

// New returns a catalogue that knows nothing.
func New(cfg Config) *Catalogue {
	return &Catalogue{
		cfg: cfg, endpoints: make(map[endpoint.ID]endpoint.Record), lapsed: make(map[endpoint.ID]time.Time),
	}
}

// Apply takes a read in at time now and returns what it changed. A set with a lower version than the one in force is passed over.
func (c *Catalogue) Apply(now time.Time, r Read) Change {
	if !c.confirmed.IsZero() && r.Sent.Sub(c.confirmed) > c.cfg.Outage {
		c.returned = now.Add(c.cfg.Return)
	}
	var change Change
	if r.Set != nil && (c.set == nil || r.Set.Version > c.set.Version) {
		c.set = r.Set
		change.Set = r.Set
	}
	for _, record := range r.Endpoints {
		delete(c.lapsed, record.Instance.ID)
		if c.endpoints[record.Instance.ID] != record {
			c.endpoints[record.Instance.ID] = record
			change.Endpoints = append(change.Endpoints, record)
		}
	}
	gone := r.Gone
	if r.Whole {
		gone = append(slices.Clone(gone), c.missing(r)...)
	}
	for _, id := range gone {
		if c.remove(now, id) {
			change.Gone = append(change.Gone, id)
		}
	}
	if r.Sent.After(c.confirmed) {
		c.confirmed = r.Sent
	}
	if r.At > c.at || r.Whole {
		c.at = r.At
	}
	return change
}

func (c *Catalogue) missing(r Read) []endpoint.ID {
	listed := make(map[endpoint.ID]bool, len(r.Endpoints))
	for _, record := range r.Endpoints {
		listed[record.Instance.ID] = true
	}
	var ids []endpoint.ID
	for id := range c.endpoints {
		if !listed[id] {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// remove takes an endpoint out, or lets it stay for a moment when its registration may have run out in an outage.
func (c *Catalogue) remove(now time.Time, id endpoint.ID) bool {
	record, known := c.endpoints[id]
	if !known {
		return false
	}
	if now.Before(c.returned) && !record.Leaving {
		if _, waits := c.lapsed[id]; !waits {
			c.lapsed[id] = c.returned
		}
		return false
	}
	delete(c.endpoints, id)
	delete(c.lapsed, id)
	return true
}

// Tick returns the endpoints that did not come back in time after an outage.
func (c *Catalogue) Tick(now time.Time) Change {
	var change Change
	for id, until := range c.lapsed {
		if now.Before(until) {
			continue
		}
		delete(c.lapsed, id)
		delete(c.endpoints, id)
		change.Gone = append(change.Gone, id)
	}
	slices.Sort(change.Gone)
	return change
}

// SetLease changes how long a confirmed set may be acted on.
func (c *Catalogue) SetLease(d time.Duration) { c.cfg.Lease = d }

// Set returns the set in force; nil before the first.
func (c *Catalogue) Set() *site.Set { return c.set }

// At returns the position behind which the next read goes on; 0 before the first.
func (c *Catalogue) At() Position { return c.at }

// Age is how old the knowledge is.
func (c *Catalogue) Age(now time.Time) time.Duration { return now.Sub(c.confirmed) }

// Valid reports whether the set may be acted on: it is there, and confirmed recently enough that a key it holds was not taken
// away too long ago.
func (c *Catalogue) Valid(now time.Time) bool {
	return c.set != nil && now.Sub(c.confirmed) < c.cfg.Lease
}
