package catalogue

import "time"

// Outage is a time without a confirmation of the copy that the catalogue takes for an outage of the platform, when it has ended. Registrations
// may have expired in it, so that removals are deferred until GraceEnd.
type Outage struct {
	// Gap is the time between the reads that confirmed the copy before and after.
	Gap time.Duration
	// FailedReads is how many of this host's own reads failed since the copy was confirmed before.
	FailedReads int
	GraceEnd    time.Time
}

// ReadFailed records that a read of the platform by this host failed.
func (c *Catalogue) ReadFailed() { c.failedReads++ }

// Confirm records that the copy contains every change made before sentAt, and returns the outage that has ended with that, nil if there was none.
// It takes a long time without a confirmation for an outage.
func (c *Catalogue) Confirm(now, sentAt time.Time) *Outage {
	if !sentAt.After(c.confirmedAt) {
		return nil
	}
	gap, first := sentAt.Sub(c.confirmedAt), c.confirmedAt.IsZero()
	failedReads := c.failedReads
	c.confirmedAt, c.failedReads = sentAt, 0
	if first || gap <= c.cfg.OutageThreshold {
		return nil
	}
	c.graceEnd = now.Add(c.cfg.RecoveryGrace)
	return &Outage{Gap: gap, FailedReads: failedReads, GraceEnd: c.graceEnd}
}

// MissingCount returns how many endpoints are kept until their deferred removal.
func (c *Catalogue) MissingCount() int { return len(c.pendingRemovals) }
