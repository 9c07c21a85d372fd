package fingerprint

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"balsamknot.org/fleet/engine"
)

var start = time.Unix(1_000_000, 0)

// blocked returns the blocked fingerprints in ascending order.
func blocked(r *Registry, now time.Time) []Fingerprint {
	var fps []Fingerprint
	for fp := range r.histories {
		if r.Verdict(now, fp) == Blocked {
			fps = append(fps, fp)
		}
	}
	slices.Sort(fps)
	return fps
}

func TestSecondCrashBlocksARequestThatRanAlone(t *testing.T) {
	t.Parallel()
	r := NewRegistry(0)
	fp := Of("assistant", "POST", "/v1/chat/completions", []byte("poison"))
	require.Equal(t, Allowed, r.Verdict(start, fp))
	require.True(t, r.RecordCrash(start, fp, Crash{Engine: "e1", Incarnation: 1}))
	require.Equal(t, Isolated, r.Verdict(start, fp))
	require.False(t, r.RecordCrash(start, fp, Crash{Engine: "e1", Incarnation: 1}), "a crash that is already recorded")
	require.Equal(t, Isolated, r.Verdict(start, fp))
	r.RecordCrash(start, fp, Crash{Engine: "e2", Incarnation: 2, Alone: true})
	require.Equal(t, Blocked, r.Verdict(start, fp))
	r.RecordCompletion(start.Add(time.Second), fp)
	require.Equal(t, Blocked, r.Verdict(start, fp), "completion of a copy that started earlier must not unblock")
	require.Equal(t, Allowed, r.Verdict(start.Add(crashLifetime+time.Second), fp))
	require.Zero(t, r.Len())
}

func TestCompletionDeletesEarlierCrashes(t *testing.T) {
	t.Parallel()
	r := NewRegistry(0)
	r.RecordCrash(start, 7, Crash{Engine: "e1", Incarnation: 1})
	require.Equal(t, 1, r.RecordCompletion(start.Add(time.Second), 7))
	require.Equal(t, Allowed, r.Verdict(start, 7))
	require.False(t, r.RecordCrash(start, 7, Crash{Engine: "e1", Incarnation: 1}), "a late report of a crash before the completion")
	require.Equal(t, Allowed, r.Verdict(start, 7))
	require.True(t, r.RecordCrash(start.Add(2*time.Second), 7, Crash{Engine: "e1", Incarnation: 2}))
	require.Equal(t, Isolated, r.Verdict(start.Add(2*time.Second), 7))
}

// A request that is sent often, such as that for a list, may run twice beside the request that causes the crashes.
func TestTwoCrashesBesideOtherRequestsDoNotBlock(t *testing.T) {
	t.Parallel()
	r := NewRegistry(0)
	r.RecordCrash(start, 7, Crash{Engine: "e1", Incarnation: 1})
	r.RecordCrash(start, 7, Crash{Engine: "e2", Incarnation: 2})
	require.Equal(t, Isolated, r.Verdict(start, 7))
	r.RecordCrash(start, 7, Crash{Engine: "e3", Incarnation: 3})
	require.Equal(t, Blocked, r.Verdict(start, 7))
}

// Several endpoints that fail at one moment have a common cause other than the request, such as the loss of a machine. A crash at
// another moment shows that the request is the cause, even if its copies crashed several endpoints at once before.
func TestCrashesAtOneMomentDoNotBlock(t *testing.T) {
	t.Parallel()
	const minInterval = 400 * time.Millisecond
	r := NewRegistry(minInterval)
	for i, id := range []engine.ID{"e1", "e2", "e3", "e4"} {
		require.True(t, r.RecordCrash(start.Add(time.Duration(i)*minInterval/4), 7, Crash{Engine: id, Incarnation: 1}))
	}
	require.Equal(t, Isolated, r.Verdict(start, 7))
	require.True(t, r.RecordCrash(start.Add(minInterval), 7, Crash{Engine: "e5", Incarnation: 1}))
	require.Equal(t, Blocked, r.Verdict(start, 7))
}

func TestOneCrashReportedBySeveralHostsCountsOnce(t *testing.T) {
	t.Parallel()
	r := NewRegistry(0)
	for i := range 5 {
		r.RecordCrash(start.Add(time.Duration(i)*time.Second), 7, Crash{Engine: "e1", Incarnation: 1, Ran: time.Duration(i)})
	}
	require.Equal(t, Isolated, r.Verdict(start.Add(5*time.Second), 7))
	require.Len(t, r.Crashes(7), 1)
}

// Request 7 crashes three endpoints and request 8 ran beside it each time, and once on an endpoint that failed for another reason.
func TestCrashesAreAttributedToTheRequestWithMoreOfThem(t *testing.T) {
	t.Parallel()
	r := NewRegistry(0)
	for i := range int64(5) {
		at := start.Add(time.Duration(i) * time.Second)
		r.RecordCrash(at, 7, Crash{Engine: "e1", Incarnation: i})
		if i < 3 {
			r.RecordCrash(at, 8, Crash{Engine: "e1", Incarnation: i})
		}
	}
	require.Equal(t, Blocked, r.Verdict(start.Add(5*time.Second), 7))
	require.Equal(t, Allowed, r.Verdict(start.Add(5*time.Second), 8))
	r.RecordCrash(start.Add(5*time.Second), 8, Crash{Engine: "e2", Incarnation: 1})
	require.Equal(t, Isolated, r.Verdict(start.Add(5*time.Second), 8))
}

// Of two requests with the same crashes, the one that had just started each time is the likelier cause.
func TestCrashesAreAttributedToTheRequestThatRanShorter(t *testing.T) {
	t.Parallel()
	r := NewRegistry(0)
	for i := range int64(3) {
		r.RecordCrash(start, 7, Crash{Engine: "e1", Incarnation: i, Ran: time.Millisecond})
		r.RecordCrash(start, 8, Crash{Engine: "e1", Incarnation: i, Ran: time.Second})
	}
	require.Equal(t, Blocked, r.Verdict(start, 7))
	require.Equal(t, Allowed, r.Verdict(start, 8))
	require.Equal(t, []Fingerprint{7}, blocked(r, start))
}

// Requests 7 and 8 can't be told apart by their crashes until one of them runs to its end.
func TestCompletionFreesABlockedRequestThatNeverRanAlone(t *testing.T) {
	t.Parallel()
	r := NewRegistry(0)
	for i := range int64(3) {
		r.RecordCrash(start, 7, Crash{Engine: "e1", Incarnation: i})
		r.RecordCrash(start, 8, Crash{Engine: "e1", Incarnation: i})
	}
	require.Equal(t, []Fingerprint{7, 8}, blocked(r, start))
	require.Equal(t, 3, r.RecordCompletion(start.Add(time.Second), 8))
	require.Equal(t, []Fingerprint{7}, blocked(r, start))
}

// What one registry has recorded gives another one the same verdicts, however often and in whatever order its rows arrive.
func TestRegistriesThatExchangeRowsAgree(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		a, b := NewRegistry(0), NewRegistry(0)
		now := start
		for range rapid.IntRange(0, 40).Draw(t, "events") {
			now = now.Add(time.Millisecond)
			fp := Fingerprint(rapid.Uint64Range(1, 4).Draw(t, "fingerprint"))
			if rapid.IntRange(0, 9).Draw(t, "kind") == 0 {
				a.RecordCompletion(now, fp)
				continue
			}
			id := engine.ID(rapid.SampledFrom([]string{"e1", "e2", "e3"}).Draw(t, "engine"))
			a.RecordCrash(now, fp, Crash{Engine: id, Incarnation: rapid.Int64Range(1, 4).Draw(t, "incarnation")})
		}
		rows := a.Rows(now, false)
		for _, row := range append(rapid.Permutation(rows).Draw(t, "rows"), rows...) {
			b.Merge(now, row)
		}
		for fp := range Fingerprint(5) {
			require.Equal(t, a.Verdict(now, fp), b.Verdict(now, fp), "fingerprint %d", fp)
		}
	})
}

func TestRowsOfSingleCrashesAreRepeatedForAShortTime(t *testing.T) {
	t.Parallel()
	r := NewRegistry(0)
	r.RecordCrash(start, 7, Crash{Engine: "e1", Incarnation: 1})
	r.RecordCrash(start, 8, Crash{Engine: "e1", Incarnation: 1})
	r.RecordCrash(start, 8, Crash{Engine: "e1", Incarnation: 2})
	require.Len(t, r.Rows(start, true), 3)
	later := start.Add(recentRowAge + time.Second)
	require.Len(t, r.Rows(later, true), 2)
	require.Len(t, r.Rows(later, false), 3)
	require.Empty(t, r.Rows(start.Add(crashLifetime+time.Second), false))
}

func TestBlockEndsWhenTooFewCrashesAreLeft(t *testing.T) {
	t.Parallel()
	r := NewRegistry(0)
	require.Zero(t, r.BlockedFor(start, 7))
	var now time.Time
	for i := range int64(5) {
		now = start.Add(time.Duration(i) * time.Second)
		r.RecordCrash(now, 7, Crash{Engine: "e1", Incarnation: i})
	}
	blockedFor := r.BlockedFor(now, 7)
	require.Equal(t, crashLifetime-2*time.Second, blockedFor, "the third crash from the end counts")
	require.Equal(t, Blocked, r.Verdict(now.Add(blockedFor), 7))
	require.Equal(t, Isolated, r.Verdict(now.Add(blockedFor+time.Millisecond), 7))
}

func TestRegistryIsBounded(t *testing.T) {
	t.Parallel()
	r := NewRegistry(0)
	for i := range int64(3) {
		r.RecordCrash(start, 1, Crash{Engine: "e1", Incarnation: i})
	}
	for i := range Fingerprint(2 * maxFingerprints) {
		r.RecordCrash(start.Add(time.Second), i+2, Crash{Engine: "e2", Incarnation: 1})
	}
	require.LessOrEqual(t, r.Len(), maxFingerprints)
	require.Equal(t, Blocked, r.Verdict(start.Add(time.Second), 1))
}

func TestFingerprintSeparatesPartsAndRowKeyRoundTrips(t *testing.T) {
	t.Parallel()
	require.NotEqual(t, Of("a", "bc", "d", nil), Of("ab", "c", "d", nil))
	fp, id, ok := ParseRowKey(RowKey(42, "engine-1"))
	require.True(t, ok)
	require.Equal(t, Fingerprint(42), fp)
	require.EqualValues(t, "engine-1", id)
	fp, ok = ParseCompletionKey(CompletionKey(42))
	require.True(t, ok)
	require.Equal(t, Fingerprint(42), fp)
}

func TestEnoughCrashesAtOneMomentLimitARequest(t *testing.T) {
	t.Parallel()
	const minInterval = 400 * time.Millisecond
	r := NewRegistry(minInterval)
	for i := range int64(3) {
		require.False(t, r.Limited(start, 7))
		r.RecordCrash(start, 7, Crash{Engine: "e1", Incarnation: i})
	}
	require.True(t, r.Limited(start, 7))
	r.RecordCrash(start.Add(minInterval), 7, Crash{Engine: "e1", Incarnation: 3})
	require.Equal(t, Blocked, r.Verdict(start.Add(minInterval), 7))
	require.False(t, r.Limited(start.Add(minInterval), 7))
	r.RecordCrash(start, 8, Crash{Engine: "e2", Incarnation: 1})
	require.False(t, r.Limited(start, 8))
}

func TestUnconfirmedCrashesLimitButDoNotBlock(t *testing.T) {
	t.Parallel()
	r := NewRegistry(0)
	for i := range int64(4) {
		r.RecordCrash(start, 7, Crash{Engine: "e1", Incarnation: i, Unconfirmed: true})
	}
	require.Equal(t, Allowed, r.Verdict(start, 7))
	require.True(t, r.Limited(start, 7))
	require.False(t, r.RecordCrash(start, 7, Crash{Engine: "e1", Incarnation: 0, Unconfirmed: true}))
	for i := range int64(3) {
		require.True(t, r.RecordCrash(start, 7, Crash{Engine: "e1", Incarnation: i}), "confirmed")
	}
	require.Equal(t, Blocked, r.Verdict(start, 7))
	require.False(t, r.RecordCrash(start, 7, Crash{Engine: "e1", Incarnation: 0, Unconfirmed: true}))
	require.Equal(t, Blocked, r.Verdict(start, 7), "a late report does not unconfirm a crash")

	r.RecordCrash(start, 8, Crash{Engine: "e1", Incarnation: 9, Unconfirmed: true})
	r.RecordCrash(start, 8, Crash{Engine: "e2", Incarnation: 9, Unconfirmed: true})
	r.RecordCrash(start, 8, Crash{Engine: "e3", Incarnation: 9, Unconfirmed: true})
	require.True(t, r.Limited(start, 8))
	require.False(t, r.Limited(start.Add(unconfirmedLifetime+time.Millisecond), 8))
}

// A slow request that runs to its end now and then must not be taken for one whose endpoints fall silent.
func TestRequestThatRanToItsEndHasNoUnconfirmedCrashes(t *testing.T) {
	t.Parallel()
	r := NewRegistry(0)
	r.RecordCompletion(start, 7)
	require.False(t, r.RecordCrash(start.Add(time.Minute), 7, Crash{Engine: "e1", Unconfirmed: true}))
	for fp := range Fingerprint(3 * maxCompletions) {
		r.RecordCompletion(start, fp+100)
	}
	require.True(t, r.RecordCrash(start.Add(time.Minute), 7, Crash{Engine: "e1", Unconfirmed: true}), "forgotten")
	require.LessOrEqual(t, len(r.completions.current)+len(r.completions.previous), 2*maxCompletions)
}

// An answer without a marked end is known to be complete only seconds later, when others have completed since.
func TestCompletionThatIsReportedLateDoesNotHideALaterOne(t *testing.T) {
	t.Parallel()
	r := NewRegistry(0)
	r.RecordCompletion(start.Add(4*time.Second), 7)
	r.RecordCompletion(start, 7)
	require.False(t, r.RecordCrash(start.Add(2*time.Second), 7, Crash{Engine: "e1", Incarnation: 1}))
}
