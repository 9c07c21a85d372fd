package catalogue

import "time"

// Confirmation is a successful read of the platform, made by this host or by the one from which the copy was refreshed: the copy contains every
// change made before SentAt.
type Confirmation struct {
	SentAt time.Time
	// AnsweredAt is when the read was answered, zero if another host made it.
	AnsweredAt time.Time
	// SteadySince is from when on successful reads have followed each other closely until SentAt, as the host states that made the read; zero if
	// it states none.
	SteadySince time.Time
	// OutageEnd is when the last outage ended, as the host states that made the read; zero if it states none.
	OutageEnd time.Time
}

// Evidence is what makes the catalogue take a time without a confirmation for an outage of the platform.
type Evidence string

// Kinds of Evidence. The time alone is none: the hosts that this one asks may have ended or lost their own way to the platform, and the first
// copy of a host that starts may be old.
const (
	// OwnReads means that reads of this host failed in that time.
	OwnReads Evidence = "own"
	// Stated means that the host that confirmed the copy knows of the outage.
	Stated Evidence = "stated"
)

// steadyFrom returns from when on the platform is known to have answered until SentAt.
func (f Confirmation) steadyFrom() time.Time {
	if f.SteadySince.IsZero() {
		return f.SentAt
	}
	return f.SteadySince
}

// knownUpTo returns the time of which the read tells the state of the platform.
func (f Confirmation) knownUpTo() time.Time {
	if f.AnsweredAt.IsZero() {
		return f.SentAt
	}
	return f.AnsweredAt
}

// Outage is an outage of the platform that has ended. Registrations may have expired in it, so that removals are deferred until GraceEnd.
type Outage struct {
	Evidence Evidence
	// Gap is the time in which no host is known to have read the platform.
	Gap      time.Duration
	GraceEnd time.Time
}

// ReadFailed records that a read of the platform by this host, sent at sentAt, failed.
func (c *Catalogue) ReadFailed(sentAt time.Time) { c.failedReadAt = sentAt }

// Confirm records a confirmation, and returns the outage that has ended with it, nil if there was none.
func (c *Catalogue) Confirm(f Confirmation) *Outage {
	if !f.SentAt.After(c.confirmedAt) {
		return nil
	}
	from := f.steadyFrom()
	gap := from.Sub(c.confirmedAt)
	steady := gap <= c.cfg.OutageThreshold
	var outage *Outage
	if !steady && !c.confirmedAt.IsZero() {
		outage = c.outageBefore(f, gap)
	}
	if !steady || from.Before(c.steadySince) {
		c.steadySince = from
	}
	c.confirmedAt = f.SentAt
	return outage
}

// outageBefore defers removals after the outage in a gap before a confirmation, and returns the outage, nil if there is no evidence of one.
func (c *Catalogue) outageBefore(f Confirmation, gap time.Duration) *Outage {
	outage := &Outage{Evidence: OwnReads, Gap: gap}
	switch {
	case !f.OutageEnd.IsZero() && f.OutageEnd.Sub(c.confirmedAt) > c.cfg.OutageThreshold:
		outage.Evidence = Stated
		c.deferRemovals(f.OutageEnd, true)
	case !c.failedReadAt.After(c.confirmedAt):
		return nil
	case f.AnsweredAt.IsZero():
		c.deferRemovals(f.steadyFrom(), false)
	default:
		// A read that was sent during the outage may have been answered after it.
		c.deferRemovals(f.AnsweredAt, true)
	}
	outage.GraceEnd = c.graceEnd
	return outage
}

// returnedAt returns when the store is known to have returned from an older copy, if a confirmation is the first one in a new era.
func (c *Catalogue) returnedAt(f Confirmation) time.Time {
	if f.OutageEnd.After(c.confirmedAt) {
		return f.OutageEnd
	}
	return f.knownUpTo()
}

// deferRemovals defers removals from the end of an outage on. The outage is stated to other hosts if it was witnessed: a host whose reads fail,
// and that others confirm, may be the only one without a way to the platform.
func (c *Catalogue) deferRemovals(outageEnd time.Time, witnessed bool) {
	if witnessed {
		c.outageEnd = outageEnd
	}
	c.graceEnd = outageEnd.Add(c.cfg.RecoveryGrace)
}

// OutageEnd returns when the last outage ended that this host, or one that confirmed its copy, has witnessed; zero if there was none.
func (c *Catalogue) OutageEnd() time.Time { return c.outageEnd }

// SteadySince returns from when on the copy has been confirmed without a gap, by reads of this host and others.
func (c *Catalogue) SteadySince() time.Time { return c.steadySince }

// MissingCount returns how many endpoints are kept until their deferred removal.
func (c *Catalogue) MissingCount() int { return len(c.pendingRemovals) }

// AwaitedConfirmation returns the time from which on a confirmation settles what is deferred first. ok is false if nothing is deferred.
func (c *Catalogue) AwaitedConfirmation() (from time.Time, ok bool) {
	earliest := func(t time.Time) {
		if !ok || t.Before(from) {
			from, ok = t, true
		}
	}
	for _, t := range c.pendingRemovals {
		earliest(t)
	}
	for _, held := range c.held {
		earliest(held.until)
	}
	if len(c.evacuations.unconfirmed) > 0 {
		earliest(c.graceEnd)
	}
	return from, ok
}
