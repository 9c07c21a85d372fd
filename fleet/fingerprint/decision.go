package fingerprint

import (
	"slices"
	"time"
)

// Decision is how a request may run, as follows from the verdicts on its fingerprint and on those of the parts of its prompt.
type Decision struct {
	// Blocked is the fingerprint for which the request is refused, and BlockedFor the time until a request like it may run as a trial; both are
	// 0 if the request may run.
	Blocked    Fingerprint
	BlockedFor time.Duration
	// Serial is a fingerprint of which only one request may be at the endpoints at a time; 0 if there is none.
	Serial Fingerprint
	// Trials are the blocked fingerprints of the request, if it may run to show whether they are the cause of their crashes.
	Trials []Fingerprint
}

// Decide returns how a request may run at time now. fps are its fingerprint and those of the parts of its prompt that others may share.
//
// A part may have been blocked in place of another one that occurred in the same requests or ran on the same engines, or because engines
// ended for other reasons. So a request with blocked fingerprints is let through as a trial when one is due for each of them, see nextTrial:
// its answer clears them.
func (r *Registry) Decide(now time.Time, fps []Fingerprint) Decision {
	var d Decision
	if len(r.histories) == 0 {
		return d
	}
	r.judge(now)
	delay := r.trialDelay(fps)
	for _, fp := range fps {
		h := r.histories[fp]
		if h == nil {
			continue
		}
		if h.blocked {
			due := h.nextTrial(fp)
			if delay > 0 {
				due = latest(due, h.lastChange()).Add(delay)
			}
			if wait := min(due.Sub(now), r.BlockedFor(now, fp)); wait > 0 {
				d.block(fp, wait)
			}
			d.Trials = append(d.Trials, fp)
		}
		if d.Serial == 0 && r.limited(fp, h) {
			d.Serial = fp
		}
	}
	if d.BlockedFor > 0 {
		return Decision{Blocked: d.Blocked, BlockedFor: d.BlockedFor}
	}
	if len(d.Trials) > 0 {
		d.Serial = slices.Min(d.Trials)
	}
	return d
}

// block makes fp the fingerprint for which the request is refused, unless another one blocks it for longer.
func (d *Decision) block(fp Fingerprint, wait time.Duration) {
	if wait > d.BlockedFor {
		d.Blocked, d.BlockedFor = fp, wait
	}
}
