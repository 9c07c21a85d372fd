package burn

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Computed by hand: 100 requests a minute for an hour, objective 0.95. In the last five minutes 10 of each 100 fail,
// before that 2 of each 100: short 0.10/0.05 = 2, long (55*2+5*10)/6000/0.05 = 160/6000/0.05 = 0.5333.
func TestBurnIsWhatTheWorkbookComputes(t *testing.T) {
	t.Parallel()
	m := NewMeter()
	series := Series{Workspace: "gent", Service: "assistant", Indicator: FirstToken}
	start := time.Unix(1_000_000_000, 0).Truncate(time.Hour)
	end := start.Add(time.Hour)
	for minute := range 60 {
		failing := 2
		if minute >= 55 {
			failing = 10
		}
		for n := range 100 {
			// Buckets end on full steps; 5 s into the minute lies within one.
			m.Count(start.Add(time.Duration(minute)*time.Minute+15*time.Second), series, 0.95, n >= failing)
		}
	}
	rates := m.Rates(end)
	require.Len(t, rates, 1)
	require.InDelta(t, 2.0, rates[0].Short, 1e-9)
	require.InDelta(t, 160.0/6000/0.05, rates[0].Long, 1e-9)
	require.EqualValues(t, 6000, rates[0].Total)
	require.Zero(t, m.Rates(end.Add(2 * time.Hour))[0].Total, "old counts fall out of the windows")
}
