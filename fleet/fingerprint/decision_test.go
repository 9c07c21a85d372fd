package fingerprint

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"balsamknot.org/fleet/chat"
	"balsamknot.org/fleet/engine"
)

// Fingerprints of parts and requests of the tests.
var (
	badPart, commonPart, otherPart = OfPart(0xbad), OfPart(0xc0), OfPart(0xd0)
	request                        = Fingerprint(1)
)

// trialOf returns the decision that lets a request through as a trial of a fingerprint.
func trialOf(fp Fingerprint) Decision { return Decision{Serial: fp, Trials: []Fingerprint{fp}} }

// crashRun records the crash of an engine during a run with these fingerprints, a second after the one before.
func crashRun(r *Registry, n int64, fps ...Fingerprint) time.Time {
	at := start.Add(time.Duration(n) * time.Second)
	for _, fp := range fps {
		r.RecordCrash(at, fp, Crash{Engine: "e1", Incarnation: n})
	}
	return at
}

// failTrials records trials of badPart that fail from now on, until none is let through, and returns the time of the last.
func failTrials(r *Registry, now time.Time) time.Time {
	for n := range int64(maxPartTrials + 1) {
		now = now.Add(settleTime)
		r.RecordCrash(now, badPart, Crash{Engine: "its own", Incarnation: n, Alone: true})
	}
	return now
}

func TestPartIsBlockedAfterFiveCrashesOfDifferentRequests(t *testing.T) {
	t.Parallel()
	r := NewRegistry(0)
	var now time.Time
	for n := range int64(blockPartAfter) {
		require.Zero(t, r.Decide(now, []Fingerprint{99, badPart}))
		now = crashRun(r, n, request+Fingerprint(n), badPart)
	}
	d := r.Decide(now, []Fingerprint{99, badPart, otherPart})
	require.Equal(t, trialOf(badPart), d, "another request may try it out once")
	r.RecordCrash(now.Add(time.Second), badPart, Crash{Engine: "e1", Incarnation: 9, Alone: true})
	d = r.Decide(now.Add(time.Second), []Fingerprint{99, badPart, otherPart})
	require.Equal(t, badPart, d.Blocked)
	require.Positive(t, d.BlockedFor)
	require.Zero(t, r.Decide(now, []Fingerprint{99, commonPart}))
}

func TestRequestIsBlockedInPlaceOfItsParts(t *testing.T) {
	t.Parallel()
	r := NewRegistry(0)
	var now time.Time
	for n := range int64(blockPartAfter + 1) {
		now = crashRun(r, n, request, commonPart, otherPart)
	}
	require.Equal(t, request, r.Decide(now, []Fingerprint{request, commonPart, otherPart}).Blocked)
	require.Zero(t, r.Decide(now, []Fingerprint{99, commonPart, otherPart}))
}

// A part that occurred in all requests that crashed engines can't be told from the cause until a request with it runs to its end.
func TestPartBesideTheOneThatCrashesEnginesIsClearedByATrial(t *testing.T) {
	t.Parallel()
	r := NewRegistry(0)
	var now time.Time
	for n := range int64(blockPartAfter) {
		now = crashRun(r, n, request+Fingerprint(n), commonPart, badPart)
	}
	require.NotZero(t, r.Decide(now, []Fingerprint{99, commonPart, badPart}).Blocked)
	require.Equal(t, trialOf(commonPart), r.Decide(now, []Fingerprint{99, commonPart, otherPart}))
	require.Equal(t, blockPartAfter, r.RecordCompletion(now.Add(time.Second), commonPart))
	require.Zero(t, r.Decide(now, []Fingerprint{99, commonPart, otherPart}))
	require.Equal(t, trialOf(badPart), r.Decide(now, []Fingerprint{99, commonPart, badPart}))
}

// Requests with one shared part each run on the same engines as those that crash them.
func TestPartThatRanOnTheSameEnginesAsTheCauseIsClearedByATrial(t *testing.T) {
	t.Parallel()
	r := NewRegistry(0)
	var now time.Time
	for n := range int64(blockPartAfter) {
		now = crashRun(r, n, request+Fingerprint(n), badPart)
		crashRun(r, n, request+100+Fingerprint(n), otherPart)
	}
	for _, part := range []Fingerprint{badPart, otherPart} {
		require.Equal(t, trialOf(part), r.Decide(now, []Fingerprint{99, part}))
	}
	now = now.Add(time.Second)
	for _, part := range []Fingerprint{badPart, otherPart} {
		r.RecordCrash(now, part, Crash{Engine: "both", Incarnation: 1, Alone: true})
	}
	require.Equal(t, Decision{Blocked: otherPart, BlockedFor: firstTrialPause}, r.Decide(now, []Fingerprint{99, otherPart}), "both trials ran on one engine")
	now = now.Add(firstTrialPause)
	require.Equal(t, trialOf(otherPart), r.Decide(now, []Fingerprint{99, otherPart}))
	r.RecordCompletion(now, otherPart)
	require.Zero(t, r.Decide(now, []Fingerprint{99, otherPart}))
	require.Equal(t, trialOf(badPart), r.Decide(now, []Fingerprint{99, badPart}), "one failed trial does not prove it")
	require.Equal(t, Decision{Blocked: badPart, BlockedFor: crashLifetime}, r.Decide(failTrials(r, now), []Fingerprint{99, badPart}))
}

func TestAnswerClearsAPartEvenIfNothingElseAccountsForItsCrashes(t *testing.T) {
	t.Parallel()
	r := NewRegistry(0)
	for n := range int64(blockPartAfter) {
		r.RecordCrash(start.Add(time.Duration(n)*time.Second), badPart, Crash{Engine: "e1", Incarnation: n, Alone: true})
	}
	now := start.Add(blockPartAfter * time.Second)
	require.NotZero(t, r.Decide(now, []Fingerprint{99, badPart}).Blocked)
	require.Equal(t, blockPartAfter, r.RecordCompletion(now, badPart))
	require.Zero(t, r.Decide(now, []Fingerprint{99, badPart}))
}

// All engines fail at one moment, with shared parts on all of them.
func TestPartsOnEnginesThatFailTogetherAreNotBlocked(t *testing.T) {
	t.Parallel()
	r := NewRegistry(400 * time.Millisecond)
	for n := range int64(2 * blockPartAfter) {
		for _, fp := range []Fingerprint{commonPart, otherPart} {
			r.RecordCrash(start, fp, Crash{Engine: "e1", Incarnation: n})
		}
	}
	require.Equal(t, Decision{Serial: commonPart}, r.Decide(start, []Fingerprint{99, commonPart, otherPart}))
	r.RecordCompletion(start.Add(time.Second), commonPart)
	require.Equal(t, Decision{Serial: otherPart}, r.Decide(start, []Fingerprint{99, commonPart, otherPart}))
}

// A part crashes engines in a random order of requests with other parts, some of which run to their end. Whatever the order, no more
// than a few requests with it run after the fifth crash, and no other part stays blocked once a request without it ran to its end.
func TestOnlyThePartThatCrashesEnginesStaysBlocked(t *testing.T) {
	t.Parallel()
	const allowedRuns = 3
	rapid.Check(t, func(t *rapid.T) {
		r := NewRegistry(0)
		now, crashes, late := start, int64(0), 0
		var blockedAt time.Time
		run := func(n int) {
			now = now.Add(time.Second)
			fps := []Fingerprint{Fingerprint(n + 1)}
			for _, other := range rapid.SliceOfNDistinct(rapid.Uint64Range(1, 4), 0, 3, rapid.ID[uint64]).Draw(t, "others") {
				fps = append(fps, OfPart(chat.PartID(other)))
			}
			poisoned := rapid.Bool().Draw(t, "poisoned")
			if poisoned {
				fps = append(fps, badPart)
			}
			d := r.Decide(now, fps)
			switch {
			case d.BlockedFor > 0:
				return
			case !poisoned:
				for _, fp := range fps {
					r.RecordCompletion(now, fp)
				}
				return
			}
			if crashes >= blockPartAfter && now.Sub(blockedAt) > 3*time.Second {
				late++
			}
			crashes++
			if crashes == blockPartAfter {
				blockedAt = now
			}
			for _, fp := range fps {
				r.RecordCrash(now, fp, Crash{Engine: "e1", Incarnation: crashes, Alone: slices.Contains(d.Trials, fp)})
			}
		}
		for n := range rapid.IntRange(20, 60).Draw(t, "requests") {
			run(n)
		}
		require.LessOrEqual(t, late, allowedRuns, "requests later than 3 s after the fifth crash")
		require.LessOrEqual(t, crashes, int64(blockPartAfter+1+allowedRuns), "all requests with the part")
		for other := uint64(1); other <= 4; other++ {
			fps := []Fingerprint{1000, OfPart(chat.PartID(other))}
			require.Zero(t, r.Decide(now, fps).BlockedFor, "a request with another part only")
		}
	})
}

// What one registry has recorded gives another one the same decisions.
func TestRegistriesThatExchangeRowsOfPartsAgree(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		a, b := NewRegistry(0), NewRegistry(0)
		now := start
		fps := []Fingerprint{1, badPart, commonPart, otherPart}
		for range rapid.IntRange(0, 60).Draw(t, "events") {
			now = now.Add(time.Millisecond)
			fp := rapid.SampledFrom(fps).Draw(t, "fingerprint")
			if rapid.IntRange(0, 19).Draw(t, "kind") == 0 {
				a.RecordCompletion(now, fp)
				continue
			}
			a.RecordCrash(now, fp, Crash{
				Engine: engine.ID("e1"), Incarnation: rapid.Int64Range(1, 12).Draw(t, "incarnation"), Alone: fp.IsPart() && rapid.Bool().Draw(t, "alone"),
			})
		}
		for _, row := range rapid.Permutation(a.Rows(now, false)).Draw(t, "rows") {
			b.Merge(now, row)
		}
		for _, fp := range fps {
			require.Equal(t, a.Decide(now, []Fingerprint{99, fp}), b.Decide(now, []Fingerprint{99, fp}), "fingerprint %x", uint64(fp))
		}
	})
}

func TestPartThatComesAgainAfterItsBlockCrashesOneEngine(t *testing.T) {
	t.Parallel()
	r := NewRegistry(400 * time.Millisecond)
	var now time.Time
	for n := range int64(blockPartAfter) {
		now = crashRun(r, n, badPart)
	}
	now = failTrials(r, now)
	d := r.Decide(now, []Fingerprint{99, badPart})
	require.Equal(t, Decision{Blocked: badPart, BlockedFor: crashLifetime}, d)
	now = now.Add(crashLifetime + time.Millisecond)
	joined := NewRegistry(400 * time.Millisecond)
	for _, row := range r.Rows(now, false) {
		joined.Merge(now, row)
	}
	for _, registry := range []*Registry{r, joined} {
		require.Equal(t, Decision{Serial: badPart}, registry.Decide(now, []Fingerprint{99, badPart}))
		registry.RecordCrash(now, badPart, Crash{Engine: "e1", Incarnation: 9, Alone: true})
		require.Equal(t, Decision{Blocked: badPart, BlockedFor: crashLifetime}, registry.Decide(now, []Fingerprint{99, badPart}))
	}
	now = now.Add(partCrashLifetime + time.Millisecond)
	require.Zero(t, r.Decide(now, []Fingerprint{99, badPart}))
	require.Zero(t, r.Len())
}
