package burn

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Expected values computed by hand: 100 requests a minute for an hour, objective 0.95. In the last five minutes 10 of each 100
// fail, before that 2 of each 100: short 0.10/0.05 = 2, long (55*2+5*10)/6000/0.05 = 160/6000/0.05 = 0.5333.
func TestRatesMatchHandComputedValues(t *testing.T) {
	t.Parallel()
	m := NewMeter()
	series := Series{Workspace: "gent", Service: "assistant", Indicator: FirstToken}
	start := time.Unix(1_000_000_000, 0)
	var counts Counts
	m.Observe(start, series, 0.95, counts)
	for minute := 1; minute <= 60; minute++ {
		failing := uint64(2)
		if minute > 55 {
			failing = 10
		}
		counts.Poor += failing
		counts.Good += 100 - failing
		m.Observe(start.Add(time.Duration(minute)*time.Minute), series, 0.95, counts)
	}
	end := start.Add(time.Hour)
	rates := m.Rates(end)
	require.Len(t, rates, 1)
	require.InDelta(t, 2.0, rates[0].Short, 1e-9)
	require.InDelta(t, 160.0/6000/0.05, rates[0].Long, 1e-9)
	require.EqualValues(t, 6000, rates[0].Total)
	require.Zero(t, m.Rates(end.Add(2 * time.Hour))[0].Total, "requests older than the long window must not be counted")
}

func TestObservationsWithinSampleIntervalReplaceEachOther(t *testing.T) {
	t.Parallel()
	m := NewMeter()
	series := Series{Workspace: "gent"}
	start := time.Unix(1_000_000_000, 0)
	for n := range 1000 {
		m.Observe(start.Add(time.Duration(n)*time.Second), series, 0.9, Counts{Good: uint64(n)})
	}
	require.LessOrEqual(t, len(m.histories[series].samples), 1000/int(SampleInterval.Seconds())+2)
	require.EqualValues(t, 999, m.Rates(start.Add(1000 * time.Second))[0].Total)
}
