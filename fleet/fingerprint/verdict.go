package fingerprint

import (
	"cmp"
	"slices"
	"time"
)

// suspect is a fingerprint with enough crashes to be blocked.
type suspect struct {
	fp        Fingerprint
	h         *history
	incidents []incident
	ran       time.Duration
}

// judge finds the fingerprints that are blocked, if crashes changed or expired.
//
// Each crash was recorded for all requests that ran on the endpoint. The suspects are taken in order of their number of crashes; a
// crash that a stronger suspect accounts for does not count against the weaker ones. This is the greedy approximation of the
// smallest set of requests that accounts for all crashes.
//
// If the wrong one was taken, the cause must not go free: a part does not account for the crashes of other parts, nor anything for those of
// a fingerprint of which a trial failed, and a request with enough crashes stays limited.
//
// Source: Chvátal, "A Greedy Heuristic for the Set-Covering Problem", 1979.
func (r *Registry) judge(now time.Time) {
	if now.After(r.expiry) {
		r.deleteExpired(now)
	} else if r.judged {
		return
	}
	r.explained = explanations{byRequests: make(map[incident]bool), byAny: make(map[incident]bool)}
	suspects := r.suspects(now)
	for len(suspects) > 0 {
		// Suspects of equal strength can't be told apart, so that none accounts for the crashes of another.
		equal := 1
		for equal < len(suspects) && compareSuspects(suspects[0], suspects[equal]) == 0 {
			equal++
		}
		var blocked []suspect
		for _, s := range suspects[:equal] {
			if r.blocks(now, s.fp, s.h, r.explained) {
				blocked = append(blocked, s)
			}
		}
		for _, s := range blocked {
			s.h.blocked = true
			r.explained.add(s)
		}
		suspects = suspects[equal:]
	}
	r.judged = true
}

// verdict returns the verdict on a fingerprint. judge must have been called.
func (r *Registry) verdict(fp Fingerprint, h *history) Verdict {
	switch {
	case h.blocked:
		return Blocked
	case h.unexplained(r.explained.of(fp, h)).count > 0:
		return Isolated
	}
	return Allowed
}

// limited is Limited for a fingerprint with a history. judge must have been called.
func (r *Registry) limited(fp Fingerprint, h *history) bool {
	if h.blocked {
		return false
	}
	t := h.unexplained(nil)
	if fp.IsPart() {
		t = h.unexplained(r.explained.byRequests)
	}
	return t.suffices(fp) || t.count+t.unconfirmed >= blockAfter(fp, false)
}

// deleteExpired deletes the crashes and completions that are too old, and sets the time of the next expiry.
func (r *Registry) deleteExpired(now time.Time) {
	r.expiry = now.Add(crashLifetime)
	for fp, h := range r.histories {
		for key, rec := range h.crashes {
			end := rec.expiresAt(fp)
			if now.After(end) {
				delete(h.crashes, key)
				continue
			}
			r.judgeAgainAfter(now, fp, rec)
		}
		if len(h.crashes) == 0 && now.Sub(h.completedAt) > crashLifetime {
			delete(r.histories, fp)
		}
	}
}

// judgeAgainAfter brings the next expiry forward to the end of a crash, or of the block of a part by it, whichever comes first.
func (r *Registry) judgeAgainAfter(now time.Time, fp Fingerprint, rec record) {
	for _, end := range []time.Time{rec.expiresAt(fp), rec.at.Add(crashLifetime)} {
		if !now.After(end) && end.Before(r.expiry) {
			r.expiry = end
		}
	}
}

// suspects returns the fingerprints with enough crashes to be blocked, the strongest suspects first. No other fingerprint is blocked.
func (r *Registry) suspects(now time.Time) []suspect {
	var suspects []suspect
	for fp, h := range r.repeated {
		h.blocked = false
		if len(h.crashes) < minBlockAfter || r.histories[fp] != h {
			delete(r.repeated, fp)
			continue
		}
		if !r.blocks(now, fp, h, explanations{}) {
			continue
		}
		s := suspect{fp: fp, h: h}
		for key, rec := range h.crashes {
			if rec.crash.Unconfirmed {
				continue
			}
			s.incidents = append(s.incidents, key)
			s.ran += rec.crash.Ran
		}
		suspects = append(suspects, s)
	}
	slices.SortFunc(suspects, func(a, b suspect) int { return cmp.Or(compareSuspects(a, b), cmp.Compare(a.fp, b.fp)) })
	return suspects
}

// compareSuspects orders a before b if more crashes are recorded for it or, with as many, if it is a request and b a part of a prompt,
// or if both are requests and it had run for less time.
func compareSuspects(a, b suspect) int {
	byCrashes := cmp.Compare(len(b.incidents), len(a.incidents))
	switch {
	case byCrashes != 0:
		return byCrashes
	case a.fp.IsPart() && b.fp.IsPart():
		return 0
	case a.fp.IsPart():
		return 1
	case b.fp.IsPart():
		return -1
	}
	return cmp.Compare(a.ran, b.ran)
}

// blocks reports whether the crashes that are not explained block the fingerprint at time now. The last one blocks a part of a prompt for
// crashLifetime only.
func (r *Registry) blocks(now time.Time, fp Fingerprint, h *history, explained explanations) bool {
	t := h.unexplained(explained.of(fp, h))
	if fp.IsPart() && now.Sub(t.last) > crashLifetime {
		return false
	}
	return t.suffices(fp) && t.last.Sub(t.first) >= r.minInterval
}

// explanations holds the crashes for which blocked requests account, and those for which blocked requests or parts do.
type explanations struct{ byRequests, byAny map[incident]bool }

func (e explanations) add(s suspect) {
	for _, key := range s.incidents {
		e.byAny[key] = true
		if !s.fp.IsPart() {
			e.byRequests[key] = true
		}
	}
}

// of returns the crashes that do not count against a fingerprint.
func (e explanations) of(fp Fingerprint, h *history) map[incident]bool {
	switch {
	case h.hasFailedTrial(fp):
		return nil
	case fp.IsPart():
		return e.byRequests
	}
	return e.byAny
}

// tally sums up the crashes that count against a fingerprint.
type tally struct {
	count, unconfirmed int
	// alone is true if the request ran alone during one of them.
	alone       bool
	first, last time.Time
}

// unexplained returns the tally of the crashes for which no blocked fingerprint accounts.
func (h *history) unexplained(explained map[incident]bool) tally {
	var t tally
	for key, rec := range h.crashes {
		if explained[key] {
			continue
		}
		if rec.crash.Unconfirmed {
			t.unconfirmed++
			continue
		}
		t.count++
		t.alone = t.alone || rec.crash.Alone
		if t.first.IsZero() || rec.at.Before(t.first) {
			t.first = rec.at
		}
		if rec.at.After(t.last) {
			t.last = rec.at
		}
	}
	return t
}

// suffices reports whether the confirmed crashes block the fingerprint unless they came at one moment.
func (t tally) suffices(fp Fingerprint) bool { return t.count >= blockAfter(fp, t.alone) }

// blockAfter returns how many crashes block a fingerprint. alone is true if nothing else can account for one of them.
func blockAfter(fp Fingerprint, alone bool) int {
	switch {
	case fp.IsPart():
		return blockPartAfter
	case alone:
		return blockAfterIsolated
	}
	return blockAfterShared
}
