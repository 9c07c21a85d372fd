package schedule

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func config(seed uint64) Config {
	return Config{Seed: seed, Hosts: 5, Endpoints: 9, Length: 20 * time.Second}
}

func TestSameSeedGivesSameFaults(t *testing.T) {
	t.Parallel()
	first, second := Generate(config(3)), Generate(config(3))
	require.Equal(t, first, second)
	require.NotEqual(t, first, Generate(config(4)))
}

// Every fault ends within the run. Over many seeds, every action occurs and some faults overlap.
func TestFaultsEndWithinRunAndOverlap(t *testing.T) {
	t.Parallel()
	actions, overlaps := map[Action]bool{}, 0
	for seed := range uint64(50) {
		faults := Generate(config(seed))
		require.NotEmpty(t, faults, "seed %d", seed)
		for i, f := range faults {
			actions[f.Action] = true
			require.LessOrEqual(t, f.At+f.For, config(seed).Length)
			require.NotEmpty(t, f.Action.String())
			if i > 0 && f.At < faults[i-1].At+faults[i-1].For {
				overlaps++
			}
		}
	}
	require.Len(t, actions, len(actionNames))
	require.Positive(t, overlaps)
}
