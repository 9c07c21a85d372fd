package keeper

import "math"

// estimate is the mean load of a pool of which some engines are known. In a small fleet all are, and the mean is exact.
// In a large one a node hears of a sample, and takes one standard error off the sample's mean: the less is known, the
// tighter the bound.
//
// Source: the standard error of a mean with the correction for a finite population, Cochran, "Sampling Techniques", 1977.
type estimate struct {
	n              int
	sum, sumSquare float64
}

// leastSample is how many engines must be known for their spread to tell anything; with fewer the others count as idle.
const leastSample = 4

func (e *estimate) add(load float64) {
	e.n++
	e.sum += load
	e.sumSquare += load * load
}

// mean returns the mean over a pool of that many engines.
func (e *estimate) mean(engines int) float64 {
	switch {
	case e.n == 0:
		return 0
	case e.n >= engines || e.n < leastSample:
		return e.sum / float64(engines)
	}
	n, all := float64(e.n), float64(engines)
	mean := e.sum / n
	variance := max(0, (e.sumSquare-n*mean*mean)/(n-1))
	return max(e.sum/all, mean-math.Sqrt(variance/n*(all-n)/(all-1)))
}
