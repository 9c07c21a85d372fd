// Package burn computes how fast a service-level objective's error budget is spent.
//
// Source: "The Site Reliability Workbook", chapter 5, multi-window burn rates.
package burn

import (
	"cmp"
	"slices"
	"time"
)

// Indicator is what an objective is about.
type Indicator string

// Indicators of a service.
const (
	FirstToken Indicator = "FirstToken"
	Answer     Indicator = "Answer"
	Refusal    Indicator = "Refusal"
)

// Windows over which burn rates are given.
const (
	ShortWindow = 5 * time.Minute
	LongWindow  = time.Hour
)

// Step is how often counters are to be observed; it is the resolution of the windows.
const Step = 10 * time.Second

// Series names one burn rate.
type Series struct {
	Workspace string
	Service   string
	Indicator Indicator
}

// Counts are the totals of a series since the process began.
type Counts struct{ Good, Poor uint64 }

type sample struct {
	at     time.Time
	counts Counts
}

type track struct {
	objective float64
	samples   []sample
}

// Meter holds an hour of observed counters by series. It is not safe for concurrent use.
type Meter struct {
	tracks map[Series]*track
}

// NewMeter returns a meter that has observed nothing.
func NewMeter() *Meter { return &Meter{tracks: make(map[Series]*track)} }

// Observe notes a series' counters. The objective is the share that must be good.
func (m *Meter) Observe(now time.Time, series Series, objective float64, counts Counts) {
	t := m.tracks[series]
	if t == nil {
		t = &track{}
		m.tracks[series] = t
	}
	t.objective = objective
	n := len(t.samples)
	if n > 1 && now.Sub(t.samples[n-2].at) <= Step {
		t.samples[n-1] = sample{now, counts}
		return
	}
	t.samples = append(t.samples, sample{now, counts})
	for len(t.samples) > 1 && now.Sub(t.samples[1].at) > LongWindow {
		t.samples = t.samples[1:]
	}
}

// Rate is the burn of one series: 1 spends the budget exactly over the objective's period.
type Rate struct {
	Series
	Objective   float64
	Short, Long float64
	// Total counts the requests of the long window.
	Total uint64
}

// Rates returns the burn of each series, in order of workspace, service and indicator.
func (m *Meter) Rates(now time.Time) []Rate {
	rates := make([]Rate, 0, len(m.tracks))
	for series, t := range m.tracks {
		short, _ := t.burn(now, ShortWindow)
		long, total := t.burn(now, LongWindow)
		rates = append(rates, Rate{Series: series, Objective: t.objective, Short: short, Long: long, Total: total})
	}
	slices.SortFunc(rates, func(a, b Rate) int {
		return cmp.Or(cmp.Compare(a.Workspace, b.Workspace), cmp.Compare(a.Service, b.Service),
			cmp.Compare(a.Indicator, b.Indicator))
	})
	return rates
}

// burn compares the latest counters with those a window ago; before the first observation they were zero.
func (t *track) burn(now time.Time, window time.Duration) (rate float64, total uint64) {
	var before Counts
	for _, s := range t.samples {
		if now.Sub(s.at) < window {
			break
		}
		before = s.counts
	}
	last := t.samples[len(t.samples)-1].counts
	poor := last.Poor - before.Poor
	total = poor + last.Good - before.Good
	if total == 0 || t.objective >= 1 {
		return 0, total
	}
	return float64(poor) / float64(total) / (1 - t.objective), total
}
