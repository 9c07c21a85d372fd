package schedule

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func config(seed uint64) Config {
	return Config{Seed: seed, Hosts: 5, Endpoints: 9, Length: 20 * time.Second}
}

func TestASeedGivesTheSameFaults(t *testing.T) {
	t.Parallel()
	first, again := New(config(3)), New(config(3))
	require.Equal(t, first, again)
	require.NotEqual(t, first, New(config(4)))
}

// Every fault ends within the run, and over many seeds every action is met, overlapping with others.
func TestFaultsEndAndOverlap(t *testing.T) {
	t.Parallel()
	met, overlaps := map[Action]bool{}, 0
	for seed := range uint64(50) {
		faults := New(config(seed))
		require.NotEmpty(t, faults, "seed %d", seed)
		for i, f := range faults {
			met[f.Action] = true
			require.LessOrEqual(t, f.At+f.For, config(seed).Length)
			require.NotEmpty(t, f.Action.String())
			if i > 0 && f.At < faults[i-1].At+faults[i-1].For {
				overlaps++
			}
		}
	}
	require.Len(t, met, len(names))
	require.Positive(t, overlaps)
}
