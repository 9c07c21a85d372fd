package fingerprint

import (
	"slices"
	"time"
)

// A blocked fingerprint is let through now and then as a trial: the block of a sound one ends with the answer of a trial, and a trial that
// crashes its endpoint is one more piece of evidence. A single failed trial proves nothing, since endpoints also end for other reasons and
// another part of the prompt may be the cause. Where one run in n ends its endpoint by accident, and no other part is bad, all trials of a sound
// part fail with a probability of n to the power of -maxPartTrials or less.
const (
	// maxPartTrials is how many trials of a part may fail before its crashes are attributed to it. Until then they follow each other within
	// seconds; from then on there is one after each crashLifetime. A trial that fails within settleTime of the crash that blocked the part
	// does not count, so that it costs maxPartTrials+1 endpoints at most.
	maxPartTrials = 3
	settleTime    = 2 * time.Second
	// firstTrialPause is the time from the first failed trial of a part to the second one. Each further pause is trialPauseFactor times as
	// long.
	firstTrialPause  = 2 * time.Second
	trialPauseFactor = 2
	// maxRequestTrials is the same as maxPartTrials for a request, and requestTrialPause the time from its last crash to its trial. A blocked
	// request concerns one caller, and is blocked for fewer crashes.
	maxRequestTrials  = 1
	requestTrialPause = 10 * time.Second
	// sharedTrialDelay is how much later a request may be a trial for each crash of its other fingerprints: its own crash does not tell which
	// of them is the cause.
	sharedTrialDelay = time.Second
)

// trials sums up the failed trials of a fingerprint.
type trials struct {
	// failed is the number of failed trials, and counted that without those within settleTime.
	failed, counted int
	lastCrash       time.Time
}

// trials returns the trials of a fingerprint that crashed their endpoints.
func (h *history) trials(fp Fingerprint) trials {
	times := h.crashTimes()
	var t trials
	if len(times) > 0 {
		t.lastCrash = times[len(times)-1]
	}
	if !fp.IsPart() {
		for i := blockAfterShared; i < len(times); i++ {
			if times[i].Sub(times[i-1]) >= requestTrialPause {
				t.failed++
			}
		}
		t.counted = t.failed
		return t
	}
	var blockedAt time.Time
	if len(times) >= blockPartAfter {
		blockedAt = times[blockPartAfter-1]
	}
	for _, rec := range h.crashes {
		if !rec.crash.Alone {
			continue
		}
		t.failed++
		if rec.at.Sub(blockedAt) > settleTime {
			t.counted++
		}
	}
	return t
}

// hasFailedTrial reports whether a trial of a fingerprint crashed its endpoint.
func (h *history) hasFailedTrial(fp Fingerprint) bool {
	if fp.IsPart() {
		return h.ranAlone()
	}
	return len(h.crashes) > blockAfterShared && h.trials(fp).failed > 0
}

// crashTimes returns the times of the confirmed crashes in order.
func (h *history) crashTimes() []time.Time {
	times := make([]time.Time, 0, len(h.crashes))
	for _, rec := range h.crashes {
		if !rec.crash.Unconfirmed {
			times = append(times, rec.at)
		}
	}
	slices.SortFunc(times, time.Time.Compare)
	return times
}

// nextTrial returns when the next trial of a blocked fingerprint may run.
func (h *history) nextTrial(fp Fingerprint) time.Time {
	t := h.trials(fp)
	switch {
	case t.counted >= maxTrials(fp):
		return t.lastCrash.Add(crashLifetime)
	case !fp.IsPart():
		return t.lastCrash.Add(requestTrialPause)
	case t.failed == 0:
		return time.Time{}
	}
	pause := firstTrialPause
	for range t.failed - 1 {
		pause *= trialPauseFactor
	}
	return t.lastCrash.Add(pause)
}

// Evidence is what a block rests on.
type Evidence struct {
	// Crashes is the number of recorded crashes, and FailedTrials how many of them were trials.
	Crashes, FailedTrials int
	// NextTrial is the time until a request without other suspects may be a trial; 0 if it may now.
	NextTrial time.Duration
}

// Evidence returns what the block of a fingerprint rests on at time now; the zero value if it is not blocked.
func (r *Registry) Evidence(now time.Time, fp Fingerprint) Evidence {
	if r.Verdict(now, fp) != Blocked {
		return Evidence{}
	}
	h := r.histories[fp]
	return Evidence{
		Crashes: len(h.crashes), FailedTrials: h.trials(fp).failed, NextTrial: max(min(h.nextTrial(fp).Sub(now), r.BlockedFor(now, fp)), 0),
	}
}

// trialDelay returns how much later than the next trial of each of them a request with these fingerprints may be a trial, so that one
// with fewer suspects, or less suspect ones, can be it before.
func (r *Registry) trialDelay(fps []Fingerprint) time.Duration {
	sum, most := 0, 0
	for _, fp := range fps {
		if h := r.histories[fp]; h != nil {
			crashes := min(len(h.crashes), blockPartAfter)
			sum, most = sum+crashes, max(most, crashes)
		}
	}
	return time.Duration(sum-most) * sharedTrialDelay
}

func maxTrials(fp Fingerprint) int {
	if fp.IsPart() {
		return maxPartTrials
	}
	return maxRequestTrials
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
