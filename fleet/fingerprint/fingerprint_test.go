package fingerprint

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var start = time.Unix(1_000_000, 0)

func TestSecondCrashBlocksARequestThatRanAlone(t *testing.T) {
	t.Parallel()
	r := NewRegistry(0)
	fp := Of("assistant", "POST", "/v1/chat/completions", []byte("poison"))
	require.Equal(t, Allowed, r.Verdict(start, fp))
	require.True(t, r.RecordCrash(start, fp, Crash{Engine: "e1", AtMs: 1}))
	require.Equal(t, Isolated, r.Verdict(start, fp))
	require.False(t, r.RecordCrash(start, fp, Crash{Engine: "e1", AtMs: 1}), "a crash that is already recorded")
	require.Equal(t, Isolated, r.Verdict(start, fp))
	r.RecordCrash(start, fp, Crash{Engine: "e2", AtMs: 2, Alone: true})
	require.Equal(t, Blocked, r.Verdict(start, fp))
	r.RecordCompletion(fp)
	require.Equal(t, Blocked, r.Verdict(start, fp), "completion of a copy that started earlier must not unblock")
	require.Equal(t, Allowed, r.Verdict(start.Add(crashLifetime+time.Second), fp))
	require.Zero(t, r.Len())
}

func TestCompletionClearsTheSuspicion(t *testing.T) {
	t.Parallel()
	r := NewRegistry(0)
	r.RecordCrash(start, 7, Crash{Engine: "e1", AtMs: 1})
	r.RecordCompletion(7)
	require.Equal(t, Allowed, r.Verdict(start, 7))
}

// A request that is sent often, such as that for a list, may run twice beside the request that causes the crashes.
func TestTwoCrashesBesideOtherRequestsDoNotBlock(t *testing.T) {
	t.Parallel()
	r := NewRegistry(0)
	r.RecordCrash(start, 7, Crash{Engine: "e1", AtMs: 1})
	r.RecordCrash(start, 7, Crash{Engine: "e2", AtMs: 2})
	require.Equal(t, Isolated, r.Verdict(start, 7))
	r.RecordCrash(start, 7, Crash{Engine: "e3", AtMs: 3})
	require.Equal(t, Blocked, r.Verdict(start, 7))
}

// Several endpoints that fail at one moment have a common cause other than the request, such as the loss of a machine.
func TestCrashesWithinTheMinimumIntervalAreRecordedOnce(t *testing.T) {
	t.Parallel()
	const minInterval = 400 * time.Millisecond
	r := NewRegistry(minInterval)
	require.True(t, r.RecordCrash(start, 7, Crash{Engine: "e1", AtMs: 1}))
	require.False(t, r.RecordCrash(start.Add(minInterval/2), 7, Crash{Engine: "e2", AtMs: 2}))
	require.False(t, r.RecordCrash(start.Add(minInterval-1), 7, Crash{Engine: "e3", AtMs: 3}))
	require.True(t, r.RecordCrash(start.Add(minInterval), 7, Crash{Engine: "e4", AtMs: 4}))
	require.Len(t, r.Crashes(7), 2)
}

func TestFingerprintSeparatesPartsAndRowKeyRoundTrips(t *testing.T) {
	t.Parallel()
	require.NotEqual(t, Of("a", "bc", "d", nil), Of("ab", "c", "d", nil))
	fp, id, ok := ParseRowKey(RowKey(42, "engine-1"))
	require.True(t, ok)
	require.Equal(t, Fingerprint(42), fp)
	require.EqualValues(t, "engine-1", id)
}
