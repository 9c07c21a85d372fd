package keeper

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
)

// Of 267 engines, a pool's share of a region at the size two years ahead, a node knows some: the estimate is rarely above
// the true mean, and close below it.
func TestSampleStaysBelowTheMean(t *testing.T) {
	t.Parallel()
	random := rand.New(rand.NewPCG(4, 12))
	for _, known := range []int{8, 30, 120, 267} {
		above, total := 0, 0.0
		const trials = 2000
		for range trials {
			loads := make([]float64, 267)
			truth := 0.0
			for i := range loads {
				loads[i] = max(0, 20+random.NormFloat64()*4)
				truth += loads[i] / float64(len(loads))
			}
			var e estimate
			for _, load := range loads[:known] {
				e.add(load)
			}
			mean := e.mean(len(loads))
			total += mean / truth / trials
			if mean > truth*1.05 {
				above++
			}
		}
		require.Less(t, above, trials/20, "%d known: more than 5%% above the truth", known)
		require.Greater(t, total, 0.9, "%d known", known)
		require.LessOrEqual(t, total, 1.0001)
	}
}

func TestFewKnownEnginesLeaveTheOthersIdle(t *testing.T) {
	t.Parallel()
	var e estimate
	require.Zero(t, e.mean(10))
	e.add(5)
	require.InDelta(t, 0.5, e.mean(10), 1e-9)
	require.InDelta(t, 5, e.mean(1), 1e-9)
}
