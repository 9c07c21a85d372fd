// Package catalogue holds a host's local copy of the platform's state: the configuration set in force, the registered
// endpoints and the age of the copy. The platform is the system that publishes them in its store. A reader is a host that
// reads the store and serves what it read to other hosts; SourceSelector chooses between the readers and the platform, and
// History is what a reader serves.
//
// Callers pass the current time. It must come from a clock that keeps running while the host is suspended, as
// timer.BootClock does; otherwise the age of a copy would be too low after a suspension.
package catalogue

import (
	"cmp"
	"slices"
	"time"

	"balsamknot.org/fleet/endpoint"
	"balsamknot.org/fleet/site"
)

// Config holds the time limits of a Catalogue.
type Config struct {
	// Lease is how long the set may be used after the newest successful read was sent, which confirms it.
	Lease time.Duration
	// RecoveryGrace is how long the removal of endpoints is deferred after an outage of the platform, so that endpoints whose
	// registration expired during the outage can register again.
	RecoveryGrace time.Duration
	// OutageThreshold is the time without a successful read after which the next update is treated as the end of an outage.
	OutageThreshold time.Duration
	// ReturnHold is how long an endpoint that was removed, and is registered again in an older copy of the store, gets no requests unless it
	// registers anew: longer than the registration of one that has ended lasts.
	ReturnHold time.Duration
}

// Update is the result of one read of the platform, made by this host or by a reader.
type Update struct {
	// SentAt is when the read was sent. The update contains every change made before that time.
	SentAt time.Time
	// Full is true when the update lists the whole state. Endpoints that it does not list have been removed.
	Full bool
	// Position is the position after which the next read continues. The catalogue's Position must admit it.
	Position Position
	// Set is nil when the update contains no new set.
	Set *site.Set
	// SetEra is the era of the read of the store that contained Set, if a reader passed that on from an earlier one; 0 if it is that of Position.
	SetEra Era
	// Endpoints are all registrations in a full update, otherwise the new or changed ones. Removed names endpoints that are no
	// longer registered.
	Endpoints []endpoint.Record
	Removed   []endpoint.ID
}

// Change is the difference that Apply or Tick made to the catalogue. Set is nil when the set in force stayed the same.
type Change struct {
	Set       *site.Set
	Endpoints []endpoint.Record
	Removed   []endpoint.ID
	// Missing is how many endpoints are kept although they are no longer registered, until the grace period after an outage ends, and Held how
	// many are registered and get no requests for now.
	Missing, Held int
}

// Catalogue is the local copy. It is not safe for concurrent use.
type Catalogue struct {
	cfg Config
	set *site.Set
	// setEra is the era of the read that contained the set.
	setEra   Era
	position Position
	// confirmedAt is when the newest applied read was sent: the copy contains every change made before.
	confirmedAt time.Time
	endpoints   map[endpoint.ID]endpoint.Record
	// pendingRemovals holds endpoints that were registered before an outage and are missing after it, with the time at which
	// they will be removed.
	pendingRemovals map[endpoint.ID]time.Time
	// graceEnd is the time until which removals are deferred after the last outage.
	graceEnd time.Time
	// departed holds the instances of endpoints that are no longer registered.
	departed map[endpoint.Instance]departure
	// held holds registrations from an older copy of the store, of endpoints that had departed before, and outdated those of endpoints that had
	// announced that they leave. Both are from the first read of the era.
	held     map[endpoint.ID]heldRegistration
	outdated map[endpoint.ID]endpoint.Record
}

// New returns an empty catalogue. Its set is not valid until Apply has received one.
func New(cfg Config) *Catalogue {
	return &Catalogue{
		cfg: cfg, endpoints: make(map[endpoint.ID]endpoint.Record), pendingRemovals: make(map[endpoint.ID]time.Time),
		departed: make(map[endpoint.Instance]departure), held: make(map[endpoint.ID]heldRegistration), outdated: make(map[endpoint.ID]endpoint.Record),
	}
}

// Confirm records that the copy contains every change made before sentAt. It takes a long time without a confirmation for an outage.
func (c *Catalogue) Confirm(now, sentAt time.Time) {
	if !c.confirmedAt.IsZero() && sentAt.Sub(c.confirmedAt) > c.cfg.OutageThreshold {
		c.graceEnd = now.Add(c.cfg.RecoveryGrace)
	}
	if sentAt.After(c.confirmedAt) {
		c.confirmedAt = sentAt
	}
}

// Apply merges an update that arrived at time now and returns what changed. A set whose version is lower than that of the set in force is
// ignored; one with the same version replaces it only if the store has returned from an older copy since, and was written to again. An update
// whose read was sent before that of an earlier update does not change the copy's age, and only a full update can move the position back.
func (c *Catalogue) Apply(now time.Time, u Update) Change {
	c.Confirm(now, u.SentAt)
	switch {
	case c.position.Loaded() && u.Position.Era > c.position.Era:
		c.graceEnd = now.Add(c.cfg.RecoveryGrace)
		u.Endpoints = c.withoutDeparted(now, u.Endpoints)
		c.noteOutdated(u.Endpoints)
	case u.Full:
		c.dropUnlistedHeld(u)
	}
	var change Change
	if c.replacesSet(u) {
		c.set, c.setEra = u.Set, u.setEra()
		change.Set = u.Set
	}
	change.Endpoints = c.registerAll(now, u)
	removed := u.Removed
	for _, id := range removed {
		delete(c.held, id)
	}
	if u.Full {
		removed = append(slices.Clone(removed), c.unlisted(u)...)
	}
	for _, id := range removed {
		if c.remove(now, id) {
			change.Removed = append(change.Removed, id)
		}
	}
	if u.Position.After(c.position) || u.Full {
		c.position = u.Position
	}
	change.Missing, change.Held = len(c.pendingRemovals), len(c.held)
	return change
}

// replacesSet reports whether the set of an update is to be in force.
func (c *Catalogue) replacesSet(u Update) bool {
	switch {
	case u.Set == nil:
		return false
	case c.set == nil, u.Set.Version > c.set.Version:
		return true
	}
	return u.Set.Version == c.set.Version && u.setEra() > c.setEra
}

// setEra returns the era of the read that contained the set.
func (u Update) setEra() Era { return cmp.Or(u.SetEra, u.Position.Era) }

// registerAll notes the registrations of an update and returns those that changed the catalogue.
func (c *Catalogue) registerAll(now time.Time, u Update) []endpoint.Record {
	var changed []endpoint.Record
	for _, record := range u.Endpoints {
		switch id := record.Instance.ID; {
		case u.Full && c.held[id].record == record:
			continue
		case u.Full && c.outdated[id] == record:
			record.Leaving = true
		default:
			delete(c.outdated, id)
		}
		changed = append(changed, c.register(now, record)...)
	}
	return changed
}

// register notes the registration of an endpoint and returns it if that changed the catalogue.
func (c *Catalogue) register(now time.Time, record endpoint.Record) []endpoint.Record {
	id := record.Instance.ID
	delete(c.pendingRemovals, id)
	delete(c.held, id)
	if earlier, known := c.endpoints[id]; known && earlier.Instance != record.Instance {
		c.noteDeparture(now, earlier)
	}
	delete(c.departed, record.Instance)
	if c.endpoints[id] == record {
		return nil
	}
	c.endpoints[id] = record
	return []endpoint.Record{record}
}

// unlisted returns the known endpoints that a full update does not list, in order.
func (c *Catalogue) unlisted(u Update) []endpoint.ID {
	listed := make(map[endpoint.ID]bool, len(u.Endpoints))
	for _, record := range u.Endpoints {
		listed[record.Instance.ID] = true
	}
	var unlistedIDs []endpoint.ID
	for id := range c.endpoints {
		if !listed[id] {
			unlistedIDs = append(unlistedIDs, id)
		}
	}
	slices.Sort(unlistedIDs)
	return unlistedIDs
}

// remove deletes an endpoint and reports whether it did. During the grace period after an outage it defers the removal of
// endpoints that had not announced that they leave: their registration may have expired only because of the outage.
func (c *Catalogue) remove(now time.Time, id endpoint.ID) bool {
	record, known := c.endpoints[id]
	if !known {
		return false
	}
	if now.Before(c.graceEnd) && !record.Leaving {
		if _, pending := c.pendingRemovals[id]; !pending {
			c.pendingRemovals[id] = c.graceEnd
		}
		return false
	}
	c.drop(now, record)
	return true
}

func (c *Catalogue) drop(now time.Time, record endpoint.Record) {
	delete(c.endpoints, record.Instance.ID)
	delete(c.pendingRemovals, record.Instance.ID)
	c.noteDeparture(now, record)
}

// Tick removes the endpoints that did not register again within the grace period after an outage, and returns them with those whose registration
// is no longer held back. A copy that is confirmed only up to a time within these periods may lack changes that were made since.
func (c *Catalogue) Tick(now time.Time) Change {
	var change Change
	for id, deadline := range c.pendingRemovals {
		if c.confirmedAt.Before(deadline) {
			continue
		}
		c.drop(now, c.endpoints[id])
		change.Removed = append(change.Removed, id)
	}
	for _, held := range c.held {
		if !c.confirmedAt.Before(held.until) {
			change.Endpoints = append(change.Endpoints, c.register(now, held.released())...)
		}
	}
	c.forgetDepartures(now)
	slices.Sort(change.Removed)
	slices.SortFunc(change.Endpoints, func(a, b endpoint.Record) int { return cmp.Compare(a.Instance.ID, b.Instance.ID) })
	return change
}

// SetLease replaces Config.Lease, also for the set already in force.
func (c *Catalogue) SetLease(d time.Duration) { c.cfg.Lease = d }

// Position returns the position after which the next read continues; it is not loaded before the first update.
func (c *Catalogue) Position() Position { return c.position }

// Age returns the time since the newest applied read was sent. It has no meaning before the first update.
func (c *Catalogue) Age(now time.Time) time.Duration { return now.Sub(c.confirmedAt) }

// Valid reports whether the set may be used: there is one, and a successful read was sent within the lease. The lease limits
// how long an API key that the platform has revoked is still accepted.
func (c *Catalogue) Valid(now time.Time) bool {
	return c.set != nil && now.Sub(c.confirmedAt) < c.cfg.Lease
}
