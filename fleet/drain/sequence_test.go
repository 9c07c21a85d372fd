package drain

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// The time is virtual, so that the results are exact.
func TestSequenceEndsInTimeAlthoughStepsHang(t *testing.T) {
	t.Parallel()
	const ms = time.Millisecond
	for name, c := range map[string]struct {
		end  time.Duration
		want []StepResult
	}{
		"each within its limit": {time.Second, []StepResult{{"ends", 20 * ms, true}, {"hangs", 100 * ms, false}, {"slow", 50 * ms, false}, {"last", 10 * ms, true}}},
		"all until the end":     {80 * ms, []StepResult{{"ends", 20 * ms, true}, {"hangs", 60 * ms, false}, {"slow", 0, false}, {"last", 0, false}}},
	} {
		synctest.Test(t, func(t *testing.T) {
			var results []StepResult
			s := NewSequence(SequenceConfig{
				Now: time.Now, End: time.Now().Add(c.end), Report: func(r StepResult) { results = append(results, r) },
			})
			hang := make(chan struct{})
			sleep := func(d time.Duration) func() { return func() { time.Sleep(d) } }
			s.Run(
				Step{Name: "ends", Limit: 100 * ms, Run: sleep(20 * ms)}, Step{Name: "hangs", Limit: 100 * ms, Run: func() { <-hang }},
				Step{Name: "slow", Limit: 50 * ms, Run: sleep(time.Second)},
			)
			s.Run(Step{Name: "last", Limit: 50 * ms, Run: sleep(10 * ms)})
			close(hang)
			time.Sleep(2 * time.Second)
			require.Equal(t, c.want, results, name)
		})
	}
}
