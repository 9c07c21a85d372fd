package fingerprint

import "time"

// Decision is how a request may run, as follows from the verdicts on its fingerprint and on those of the parts of its prompt.
type Decision struct {
	// Blocked is the fingerprint for which the request is refused, and BlockedFor how long it stays blocked unless more is recorded
	// for it; both are 0 if the request may run.
	Blocked    Fingerprint
	BlockedFor time.Duration
	// Serial is a fingerprint of which only one request may be at the endpoints at a time; 0 if there is none. Trial is true if it is
	// that of a blocked part, and the request shows whether the part is really the cause.
	Serial Fingerprint
	Trial  bool
}

// Decide returns how a request may run at time now. fps are its fingerprint and those of the parts of its prompt that others may share.
//
// A part may have been blocked in place of another one that occurred in the same requests or ran on the same engines. Requests with both
// stay blocked. One without any other part that has crashes is let through as a trial: its answer clears the part, and its crash proves the
// part to be the cause, unless another blocked one ran on that engine.
func (r *Registry) Decide(now time.Time, fps []Fingerprint) Decision {
	var d Decision
	if len(r.histories) == 0 {
		return d
	}
	r.judge(now)
	for _, fp := range fps {
		h := r.histories[fp]
		if h == nil {
			continue
		}
		blocked := h.verdict == Blocked
		if blocked && !r.mayTry(fp, h, fps) {
			return Decision{Blocked: fp, BlockedFor: r.BlockedFor(now, fp)}
		}
		if (blocked || h.limited) && d.Serial == 0 {
			d.Serial, d.Trial = fp, blocked
		}
	}
	return d
}

// mayTry reports whether a request with the fingerprints fps may try out the blocked part fp.
func (r *Registry) mayTry(fp Fingerprint, h *history, fps []Fingerprint) bool {
	if !fp.IsPart() || r.isProved(fp, h) {
		return false
	}
	for _, other := range fps {
		otherHistory := r.histories[other]
		if other != fp && otherHistory != nil && len(otherHistory.crashes) > 0 {
			return false
		}
	}
	return true
}

// isProved reports whether a crash was recorded for a trial of the part during which no other blocked fingerprint ran on the engine.
func (r *Registry) isProved(fp Fingerprint, h *history) bool {
	for key, rec := range h.crashes {
		if rec.crash.Alone && !r.anotherBlockedRan(fp, key) {
			return true
		}
	}
	return false
}

// anotherBlockedRan reports whether a blocked fingerprint other than fp has a crash of the same incarnation recorded.
func (r *Registry) anotherBlockedRan(fp Fingerprint, key incident) bool {
	for other, h := range r.histories {
		if other == fp || h.verdict != Blocked {
			continue
		}
		if _, ran := h.crashes[key]; ran {
			return true
		}
	}
	return false
}
