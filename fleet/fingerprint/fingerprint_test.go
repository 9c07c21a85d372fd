package fingerprint

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var start = time.Unix(1_000_000, 0)

func TestSecondCrashCondemns(t *testing.T) {
	t.Parallel()
	r := NewRegistry(0)
	p := Of("assistant", "POST", "/v1/chat/completions", []byte("poison"))
	require.Equal(t, Clear, r.Verdict(start, p))
	require.True(t, r.Lost(start, p, Crash{Engine: "e1", At: 1}))
	require.Equal(t, Alone, r.Verdict(start, p))
	require.False(t, r.Lost(start, p, Crash{Engine: "e1", At: 1}), "the same loss, heard again")
	require.Equal(t, Alone, r.Verdict(start, p))
	r.Lost(start, p, Crash{Engine: "e2", At: 2, Alone: true})
	require.Equal(t, Condemned, r.Verdict(start, p))
	r.Survived(p)
	require.Equal(t, Condemned, r.Verdict(start, p), "a copy that was under way clears nothing")
	require.Equal(t, Clear, r.Verdict(start.Add(lifetime+time.Second), p))
	require.Zero(t, r.Len())
}

func TestInnocentIsCleared(t *testing.T) {
	t.Parallel()
	r := NewRegistry(0)
	r.Lost(start, 7, Crash{Engine: "e1", At: 1})
	r.Survived(7)
	require.Equal(t, Clear, r.Verdict(start, 7))
}

// A popular request, such as a list that everybody asks for, may run beside a culprit twice.
func TestTwoLossesBesideOthersDontCondemn(t *testing.T) {
	t.Parallel()
	r := NewRegistry(0)
	r.Lost(start, 7, Crash{Engine: "e1", At: 1})
	r.Lost(start, 7, Crash{Engine: "e2", At: 2})
	require.Equal(t, Alone, r.Verdict(start, 7))
	r.Lost(start, 7, Crash{Engine: "e3", At: 3})
	require.Equal(t, Condemned, r.Verdict(start, 7))
}

// Several endpoints fall at one moment, beside the same request: that is one loss.
func TestLossesWithinTheGapAreOne(t *testing.T) {
	t.Parallel()
	const gap = 400 * time.Millisecond
	r := NewRegistry(gap)
	require.True(t, r.Lost(start, 7, Crash{Engine: "e1", At: 1}))
	require.False(t, r.Lost(start.Add(gap/2), 7, Crash{Engine: "e2", At: 2}))
	require.False(t, r.Lost(start.Add(gap-1), 7, Crash{Engine: "e3", At: 3}))
	require.True(t, r.Lost(start.Add(gap), 7, Crash{Engine: "e4", At: 4}))
	require.Len(t, r.Crashes(7), 2)
}

func TestPartsOfARequestDontRunTogether(t *testing.T) {
	t.Parallel()
	require.NotEqual(t, Of("a", "bc", "d", nil), Of("ab", "c", "d", nil))
	p, id, ok := ParseRowKey(RowKey(42, "engine-1"))
	require.True(t, ok)
	require.Equal(t, Print(42), p)
	require.EqualValues(t, "engine-1", id)
}
