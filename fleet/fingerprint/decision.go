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
// A part may have been blocked in place of another one that occurred in the same requests. Requests with both stay blocked. One without
// any other part that has crashes is let through as a trial: its answer clears the part, and its crash proves the part to be the cause.
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
	if !fp.IsPart() || h.ranAlone() {
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

// OnlySuspect reports whether part is the only one of the parts of a prompt that can have crashed an endpoint at time now: the others ran
// to their end here a short time ago.
func (r *Registry) OnlySuspect(now time.Time, part Fingerprint, parts []Fingerprint) bool {
	for _, other := range parts {
		if other != part && !r.IsSound(now, other) {
			return false
		}
	}
	return true
}
