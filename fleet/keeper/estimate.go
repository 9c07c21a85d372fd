package keeper

import "math"

// meanEstimate estimates the mean load of a pool from the engines whose load is known. In a small fleet these are all
// engines and the mean is exact. In a large fleet they are a sample, and one standard error is subtracted from the sample
// mean, so that the load bound is tighter the fewer loads are known.
//
// Source: the standard error of a mean with the correction for a finite population, Cochran, "Sampling Techniques", 1977.
type meanEstimate struct {
	n               int
	sum, sumSquares float64
}

// minSampleSize is how many loads must be known for their variance to be meaningful. With fewer, all other engines are
// assumed to be idle.
const minSampleSize = 4

func (e *meanEstimate) add(load float64) {
	e.n++
	e.sum += load
	e.sumSquares += load * load
}

// mean returns the estimated mean load of a pool with the given number of engines. It is never below the sum of the known
// loads divided by that number.
func (e *meanEstimate) mean(engines int) float64 {
	switch {
	case e.n == 0:
		return 0
	case e.n >= engines || e.n < minSampleSize:
		return e.sum / float64(engines)
	}
	n, population := float64(e.n), float64(engines)
	mean := e.sum / n
	variance := max(0, (e.sumSquares-n*mean*mean)/(n-1))
	return max(e.sum/population, mean-math.Sqrt(variance/n*(population-n)/(population-1)))
}
