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
	"iter"
	"maps"
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
	// OutageThreshold is the time without a successful read from which on it is treated as an outage, if there is Evidence of one.
	OutageThreshold time.Duration
	// ReturnHold is how long an endpoint that was removed, and is registered again in an older copy of the store, gets no requests unless it
	// registers anew: longer than the registration of one that has ended lasts.
	ReturnHold time.Duration
}

// Update is the result of one read of the platform, made by this host or by a reader.
type Update struct {
	Confirmation
	// Full is true when the update lists the whole state. Endpoints that it does not list have been removed.
	Full bool
	// Position is the position after which the next read continues. The catalogue's Position must admit it.
	Position Position
	// SetEra is the era of the read of the store that contained the set, if a reader passed that on from an earlier one; 0 if it is that of Position.
	SetEra Era
	// Changes are in the order in which they were made. A full update has all registrations and the set, in any order.
	Changes []Change
}

// Change is a change of the platform's state: Published, Registered, Removed, Evacuated or Reopened.
type Change interface{ change() }

// Published is a set that the operator published.
type Published struct{ Set *site.Set }

// Registered is a new or changed registration of an endpoint.
type Registered struct{ Record endpoint.Record }

// Removed means that an endpoint is no longer registered.
type Removed struct{ ID endpoint.ID }

func (Published) change()  {}
func (Registered) change() {}
func (Removed) change()    {}

// Difference is what Apply or Tick changed in the catalogue.
type Difference struct {
	// Set is the set in force, nil if it stayed the same.
	Set *site.Set
	// Endpoints holds the changes of endpoints, each Registered or Removed, in order.
	Endpoints []Change
	// DataCentres holds the changes of data centres, each Evacuated or Reopened, in order.
	DataCentres []Change
	// Missing is how many endpoints are kept although they are no longer registered, until the grace period after an outage ends, and Held how
	// many are registered and get no requests for now.
	Missing, Held int
	// Outage is the outage of the platform that the update has ended, nil if there was none.
	Outage *Outage
	// Deferred holds the endpoints that are no longer registered, and whose removal is deferred since this update, until GraceEnd.
	Deferred []endpoint.ID
	GraceEnd time.Time
	// AfterGrace is true if the removals in Endpoints had been deferred.
	AfterGrace bool
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
	// steadySince is from when on confirmations followed each other within Config.OutageThreshold.
	steadySince time.Time
	// failedReadAt is when the newest read of this host that failed was sent.
	failedReadAt time.Time
	endpoints    map[endpoint.ID]endpoint.Record
	// pendingRemovals holds endpoints that were registered before an outage and are missing after it, with the time at which
	// they will be removed.
	pendingRemovals map[endpoint.ID]time.Time
	// outageEnd is when the last outage ended that was witnessed, and graceEnd the time until which removals are deferred.
	outageEnd, graceEnd time.Time
	// departed holds the instances of endpoints that are no longer registered.
	departed map[endpoint.Instance]departure
	// held holds registrations from an older copy of the store, of endpoints that had departed before, and outdated those of endpoints that had
	// announced that they leave. Both are from the first read of the era.
	held     map[endpoint.ID]heldRegistration
	outdated map[endpoint.ID]endpoint.Record
	// evacuations are those that the operator has not ended.
	evacuations evacuations
}

// New returns an empty catalogue. Its set is not valid until Apply has received one.
func New(cfg Config) *Catalogue {
	return &Catalogue{
		cfg: cfg, endpoints: make(map[endpoint.ID]endpoint.Record), pendingRemovals: make(map[endpoint.ID]time.Time),
		departed: make(map[endpoint.Instance]departure), held: make(map[endpoint.ID]heldRegistration), outdated: make(map[endpoint.ID]endpoint.Record),
		evacuations: newEvacuations(),
	}
}

// Apply merges an update that arrived at time now, change by change, and returns what changed. A set whose version is lower than that of the set in
// force is ignored; one with the same version replaces it only if the store has returned from an older copy since, and was written to again. An
// update whose read was sent before that of an earlier update does not change the copy's age. Only a full update can move the position back: the
// copy already has the changes of any other one that ends before it.
func (c *Catalogue) Apply(now time.Time, u Update) Difference {
	returnedAt := c.returnedAt(u.Confirmation)
	d := Difference{Outage: c.Confirm(u.Confirmation)}
	if !c.position.Includes(u.Position, u.Full) {
		c.merge(now, returnedAt, u, &d)
		c.position = u.Position
	}
	d.Missing, d.Held, d.GraceEnd = c.MissingCount(), len(c.held), c.graceEnd
	return d
}

// merge applies the changes of an update to the copy and adds to d what changed. If the store has returned from an older copy, that was at
// returnedAt.
func (c *Catalogue) merge(now, returnedAt time.Time, u Update, d *Difference) {
	olderCopy := c.position.Loaded() && u.Position.Era > c.position.Era
	switch {
	case olderCopy:
		c.deferRemovals(returnedAt, true)
		u.Changes = c.withoutDeparted(returnedAt, u.Changes)
		c.noteOutdated(u.Changes)
	case u.Full:
		c.dropUnlistedHeld(u)
	}
	for _, change := range u.Changes {
		c.applyChange(now, u, change, d)
	}
	if u.Full {
		for _, id := range c.unlisted(u) {
			c.remove(now, u.knownUpTo(), id, d)
		}
		d.DataCentres = append(d.DataCentres, c.evacuations.endUnlisted(u.Changes, olderCopy)...)
	}
}

// applyChange applies one change of an update to the copy and adds to d what changed.
func (c *Catalogue) applyChange(now time.Time, u Update, change Change, d *Difference) {
	switch change := change.(type) {
	case Published:
		if c.replacesSet(change.Set, u.setEra()) {
			c.set, c.setEra, d.Set = change.Set, u.setEra(), change.Set
		}
	case Registered:
		d.Endpoints = append(d.Endpoints, c.registerRead(now, change.Record, u.Full)...)
	case Removed:
		delete(c.held, change.ID)
		delete(c.outdated, change.ID)
		c.remove(now, u.knownUpTo(), change.ID, d)
	case Evacuated:
		d.DataCentres = append(d.DataCentres, c.evacuations.begin(change.DataCentre)...)
	case Reopened:
		d.DataCentres = append(d.DataCentres, c.evacuations.end(change.DataCentre)...)
	}
}

// replacesSet reports whether a set that was read in an era is to be in force.
func (c *Catalogue) replacesSet(set *site.Set, era Era) bool {
	if c.set == nil || set.Version > c.set.Version {
		return true
	}
	return set.Version == c.set.Version && era > c.setEra
}

// setEra returns the era of the read that contained the set.
func (u Update) setEra() Era { return cmp.Or(u.SetEra, u.Position.Era) }

// registerRead notes a registration that was read, and returns it if that changed the catalogue. A full read tells nothing new of registrations that
// an older copy of the store had.
func (c *Catalogue) registerRead(now time.Time, record endpoint.Record, full bool) []Change {
	switch id := record.Instance.ID; {
	case full && c.held[id].record == record:
		return nil
	case full && c.outdated[id] == record:
		record.Leaving = true
	default:
		delete(c.outdated, id)
	}
	return c.register(now, record)
}

// register notes the registration of an endpoint and returns it if that changed the catalogue.
func (c *Catalogue) register(now time.Time, record endpoint.Record) []Change {
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
	return []Change{Registered{record}}
}

// unlisted returns the known endpoints that a full update does not list, in order of ID.
func (c *Catalogue) unlisted(u Update) []endpoint.ID {
	listed := make(map[endpoint.ID]bool, len(u.Changes))
	for record := range registrations(u.Changes) {
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

// registrations returns the records that changes register, in order.
func registrations(changes []Change) iter.Seq[endpoint.Record] {
	return func(yield func(endpoint.Record) bool) {
		for _, change := range changes {
			if r, ok := change.(Registered); ok && !yield(r.Record) {
				return
			}
		}
	}
}

// remove deletes an endpoint that was not registered at knownAt, and adds its removal to d. During the grace period after an outage it defers the
// removal of endpoints that had not announced that they leave: their registration may have expired only because of the outage.
func (c *Catalogue) remove(now, knownAt time.Time, id endpoint.ID, d *Difference) {
	record, known := c.endpoints[id]
	if !known {
		return
	}
	if !knownAt.Before(c.graceEnd) || record.Leaving {
		d.Endpoints = append(d.Endpoints, c.drop(now, record)...)
		return
	}
	if _, pending := c.pendingRemovals[id]; !pending {
		c.pendingRemovals[id] = c.graceEnd
		d.Deferred = append(d.Deferred, id)
	}
}

func (c *Catalogue) drop(now time.Time, record endpoint.Record) []Change {
	delete(c.endpoints, record.Instance.ID)
	delete(c.pendingRemovals, record.Instance.ID)
	c.noteDeparture(now, record)
	return []Change{Removed{record.Instance.ID}}
}

// Tick removes the endpoints that did not register again within the grace period after an outage, and returns them with those whose registration
// is no longer held back. It also ends the evacuations that an older copy of the store lacks and that were not written again in that time. A copy that is confirmed only up to a time within these periods may lack changes that were made since.
func (c *Catalogue) Tick(now time.Time) Difference {
	d := Difference{AfterGrace: true}
	for _, id := range slices.Sorted(maps.Keys(c.pendingRemovals)) {
		if !c.confirmedAt.Before(c.pendingRemovals[id]) {
			d.Endpoints = append(d.Endpoints, c.drop(now, c.endpoints[id])...)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(c.held)) {
		if held := c.held[id]; !c.confirmedAt.Before(held.until) {
			d.Endpoints = append(d.Endpoints, c.register(now, held.released())...)
		}
	}
	if !c.confirmedAt.Before(c.graceEnd) {
		d.DataCentres = c.evacuations.endUnconfirmed()
	}
	c.forgetDepartures(now)
	return d
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
