package node

import (
	"time"

	"github.com/rs/zerolog"

	"balsamknot.org/balsamknot/event"
	"balsamknot.org/fleet/catalogue"
)

// maxNamedDeferrals is how many endpoints whose removal is deferred are named in one log line.
const maxNamedDeferrals = 5

// recordOutage logs and counts the end of an outage of the store, if there was one. source confirmed the copy again.
func (v *storeView) recordOutage(now time.Time, outage *catalogue.Outage, source string) {
	if outage == nil {
		return
	}
	v.n.meter.recordOutage(outage.Evidence)
	event.LogText(v.n.log, zerolog.WarnLevel, event.OutageEnded).Str("Source", source).Str("Evidence", string(outage.Evidence)).
		Int64("GapMs", outage.Gap.Milliseconds()).Int64("GraceMs", outage.GraceEnd.Sub(now).Milliseconds()).Send()
}

// recordDeferrals logs and counts the removals that an update deferred.
func (v *storeView) recordDeferrals(now time.Time, difference catalogue.Difference) {
	if len(difference.Deferred) == 0 {
		return
	}
	v.n.meter.recordDeferrals(len(difference.Deferred))
	named := difference.Deferred[:min(len(difference.Deferred), maxNamedDeferrals)]
	event.LogText(v.n.log, zerolog.WarnLevel, event.RemovalsDeferred).Int("Endpoints", len(difference.Deferred)).Interface("First", named).
		Int64("GraceMs", difference.GraceEnd.Sub(now).Milliseconds()).Send()
}

// missingCount returns how many endpoints are kept although they are not registered.
func (v *storeView) missingCount() int {
	v.mu.RLock()
	defer v.mu.RUnlock()
	return v.catalogue.MissingCount()
}

// nextWatchWait returns how long the store may wait for a change before it answers the next watch: less if callers wait for a copy that is up to
// date, or if what was deferred is settled by a read from a certain time on.
func (v *storeView) nextWatchWait(now time.Time) time.Duration {
	if v.confirmationWaiters.Load() > 0 {
		return confirmingWatchWait
	}
	v.mu.RLock()
	defer v.mu.RUnlock()
	from, awaited := v.catalogue.AwaitedConfirmation()
	if !awaited {
		return watchWait
	}
	return min(max(from.Sub(now), confirmingWatchWait), watchWait)
}
