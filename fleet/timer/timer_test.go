package timer

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

func TestCallbackRunsUntilCancelAndNotAfterStop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New()
		calls := 0
		cancel := s.Every(time.Second, func(time.Time, time.Duration) { calls++ })
		time.Sleep(3500 * time.Millisecond)
		synctest.Wait()
		require.Equal(t, 3, calls)
		cancel()
		time.Sleep(3 * time.Second)
		synctest.Wait()
		require.Equal(t, 3, calls)
		s.Stop()
		s.Every(time.Second, func(time.Time, time.Duration) { calls++ })
		time.Sleep(3 * time.Second)
		require.Equal(t, 3, calls, "a stopped scheduler must not call the callback")
	})
}

func TestElapsedIncludesDelayOfTheNextCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New()
		defer s.Stop()
		var longest time.Duration
		first := true
		s.Every(time.Second, func(_ time.Time, elapsed time.Duration) {
			longest = max(longest, elapsed)
			if first {
				first = false
				time.Sleep(10 * time.Second)
			}
		})
		time.Sleep(13500 * time.Millisecond)
		synctest.Wait()
		require.Greater(t, longest, 5*time.Second)
	})
}

func TestSleepReturnsFalseWhenContextEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		require.True(t, Sleep(ctx, 500*time.Millisecond))
		require.False(t, Sleep(ctx, time.Hour))
		require.False(t, Sleep(ctx, 0))
	})
}
