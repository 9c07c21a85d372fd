package forecast

import "math"

// Length is the expected length of an answer in events, a log-normal distribution.
type Length struct {
	// mean and variance are those of the logarithm.
	mean, variance float64
}

// Mean returns the mean length, in events.
func (l Length) Mean() float64 { return clampEvents(math.Exp(l.mean + l.variance/2)) }

// Quantile returns the length, in events, that a share of the answers does not exceed; share is between 0 and 1.
func (l Length) Quantile(share float64) float64 {
	return clampEvents(math.Exp(l.mean + math.Sqrt(2*l.variance)*math.Erfinv(2*share-1)))
}

func clampEvents(events float64) float64 { return min(max(events, 1), maxEvents) }

// join returns the length by two independent estimates, each weighted by its precision.
func (l Length) join(other Length) Length {
	precision := 1/l.variance + 1/other.variance
	return Length{mean: (l.mean/l.variance + other.mean/other.variance) / precision, variance: 1 / precision}
}

// atMost bounds the median by a limit in tokens; 0 means none. logEventsPerToken is the logarithm of the events that a token makes.
func (l Length) atMost(tokens int, logEventsPerToken float64) Length {
	if tokens > 0 {
		l.mean = min(l.mean, math.Log(float64(tokens))+logEventsPerToken)
	}
	return l
}

// moments are the decaying mean and variance of logarithms.
type moments struct{ weight, mean, variance float64 }

// add takes in an observation.
func (m *moments) add(x float64) {
	m.weight = min(m.weight+1, memory)
	gain := 1 / m.weight
	d := x - m.mean
	m.mean += gain * d
	m.variance = (1 - gain) * (m.variance + gain*d*d)
}

// pooled returns the moments as they lean on those of a wider kind.
func (m *moments) pooled(wider moments) moments {
	share := m.weight / (m.weight + pooling)
	d := m.mean - wider.mean
	return moments{
		weight: m.weight, mean: wider.mean + share*d,
		variance: share*m.variance + (1-share)*(wider.variance+share*d*d),
	}
}

func (m moments) length() Length {
	return Length{mean: m.mean, variance: max(m.variance, minSpread*minSpread)}
}
