package keeper

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
)

// A keeper that knows the loads of some of 267 engines must rarely overestimate the mean, which would loosen the load bound,
// nor underestimate it by much. 267 engines are a pool's share of a region at the fleet size expected in two years.
func TestSampleStaysBelowTheMean(t *testing.T) {
	t.Parallel()
	random := rand.New(rand.NewPCG(4, 12))
	for _, known := range []int{8, 30, 120, 267} {
		above, meanRatio := 0, 0.0
		const trials = 2000
		for range trials {
			loads := make([]float64, 267)
			trueMean := 0.0
			for i := range loads {
				loads[i] = max(0, 20+random.NormFloat64()*4)
				trueMean += loads[i] / float64(len(loads))
			}
			var e meanEstimate
			for _, load := range loads[:known] {
				e.add(load)
			}
			mean := e.mean(len(loads))
			meanRatio += mean / trueMean / trials
			if mean > trueMean*1.05 {
				above++
			}
		}
		require.Less(t, above, trials/20, "%d known loads: estimate over 5%% above the true mean too often", known)
		require.Greater(t, meanRatio, 0.9, "%d known loads: estimate too low on average", known)
		require.LessOrEqual(t, meanRatio, 1.0001)
	}
}

func TestMeanAssumesIdleEnginesBelowMinSampleSize(t *testing.T) {
	t.Parallel()
	var e meanEstimate
	require.Zero(t, e.mean(10))
	e.add(5)
	require.InDelta(t, 0.5, e.mean(10), 1e-9)
	require.InDelta(t, 5, e.mean(1), 1e-9)
}
