// Package burn computes burn rates: how fast the error budget of a service-level objective is spent. The error budget is the
// share of requests that may miss the objective. At a burn rate of 1 it is used up exactly at the end of the objective's period.
//
// Source: "The Site Reliability Workbook", chapter 5, multi-window burn rates.
package burn

import (
	"cmp"
	"slices"
	"time"
)

// Indicator names the property of a request that an objective is about.
type Indicator string

// Indicators of a service: the time to the first token, the time to the whole answer, and whether the request was refused.
const (
	FirstToken Indicator = "FirstToken"
	Answer     Indicator = "Answer"
	Refusal    Indicator = "Refusal"
)

// Time windows over which burn rates are computed.
const (
	ShortWindow = 5 * time.Minute
	LongWindow  = time.Hour
)

// SampleInterval is how often Observe is to be called for a series. Windows are accurate to one interval.
const SampleInterval = 10 * time.Second

// Series identifies the requests for which one burn rate is computed.
type Series struct {
	Workspace string
	Service   string
	Indicator Indicator
}

// Counts are the total numbers of requests of a series that met (Good) and missed (Poor) its objective since the process started.
type Counts struct{ Good, Poor uint64 }

// sample holds the counters of a series at one time.
type sample struct {
	at     time.Time
	counts Counts
}

// seriesHistory holds the samples of one series, oldest first.
type seriesHistory struct {
	objective float64
	samples   []sample
}

// Meter computes the burn rates of many series from an hour of observed counters. It is not safe for concurrent use.
type Meter struct {
	histories map[Series]*seriesHistory
}

// NewMeter returns a meter without series.
func NewMeter() *Meter { return &Meter{histories: make(map[Series]*seriesHistory)} }

// Observe records the counters of a series at time now. The objective is the fraction of requests that must be good, from 0 to
// 1. While the sample before the latest is at most a SampleInterval old, the latest one is replaced, so that frequent calls
// need no more memory.
func (m *Meter) Observe(now time.Time, series Series, objective float64, counts Counts) {
	history := m.histories[series]
	if history == nil {
		history = &seriesHistory{}
		m.histories[series] = history
	}
	history.objective = objective
	n := len(history.samples)
	if n > 1 && now.Sub(history.samples[n-2].at) <= SampleInterval {
		history.samples[n-1] = sample{now, counts}
		return
	}
	history.samples = append(history.samples, sample{now, counts})
	for len(history.samples) > 1 && now.Sub(history.samples[1].at) > LongWindow {
		history.samples = history.samples[1:]
	}
}

// Rate holds the burn rates of one series over ShortWindow and LongWindow. They are 0 when there were no requests or when the
// objective is 1, which leaves no error budget.
type Rate struct {
	Series
	Objective   float64
	Short, Long float64
	// Total is the number of requests in the long window.
	Total uint64
}

// Rates returns the burn rates of all series, sorted by workspace, service and indicator.
func (m *Meter) Rates(now time.Time) []Rate {
	rates := make([]Rate, 0, len(m.histories))
	for series, history := range m.histories {
		short, _ := history.rate(now, ShortWindow)
		long, total := history.rate(now, LongWindow)
		rates = append(rates, Rate{Series: series, Objective: history.objective, Short: short, Long: long, Total: total})
	}
	slices.SortFunc(rates, func(a, b Rate) int {
		return cmp.Or(cmp.Compare(a.Workspace, b.Workspace), cmp.Compare(a.Service, b.Service),
			cmp.Compare(a.Indicator, b.Indicator))
	})
	return rates
}

// rate returns the burn rate and the number of requests in the window that ends now. It subtracts from the latest sample the
// newest one that is at least a window old, or zero when there is none: all counters were zero when the process started.
func (h *seriesHistory) rate(now time.Time, window time.Duration) (rate float64, total uint64) {
	var baseline Counts
	for _, s := range h.samples {
		if now.Sub(s.at) < window {
			break
		}
		baseline = s.counts
	}
	latest := h.samples[len(h.samples)-1].counts
	poor := latest.Poor - baseline.Poor
	total = poor + latest.Good - baseline.Good
	if total == 0 || h.objective >= 1 {
		return 0, total
	}
	return float64(poor) / float64(total) / (1 - h.objective), total
}
