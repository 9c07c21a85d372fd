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

// step is the resolution of the windows.
const step = 10 * time.Second

// Series names one burn rate.
type Series struct {
	Workspace string
	Service   string
	Indicator Indicator
}

type bucket struct {
	at         int64
	good, poor uint64
}

type track struct {
	objective float64
	buckets   []bucket
}

// Meter counts outcomes by series. It is not safe for concurrent use.
type Meter struct {
	tracks map[Series]*track
}

// NewMeter returns a meter without counts.
func NewMeter() *Meter { return &Meter{tracks: make(map[Series]*track)} }

// Count adds one outcome. The objective is the share that must be good.
func (m *Meter) Count(now time.Time, series Series, objective float64, good bool) {
	t := m.tracks[series]
	if t == nil {
		t = &track{}
		m.tracks[series] = t
	}
	t.objective = objective
	at := now.UnixNano() / int64(step)
	if n := len(t.buckets); n == 0 || t.buckets[n-1].at != at {
		t.buckets = append(t.buckets, bucket{at: at})
		if most := int(LongWindow/step) + 1; len(t.buckets) > most {
			t.buckets = t.buckets[len(t.buckets)-most:]
		}
	}
	last := &t.buckets[len(t.buckets)-1]
	if good {
		last.good++
		return
	}
	last.poor++
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

func (t *track) burn(now time.Time, window time.Duration) (rate float64, total uint64) {
	first := now.Add(-window).UnixNano() / int64(step)
	var poor uint64
	for _, b := range t.buckets {
		if b.at > first {
			poor += b.poor
			total += b.good + b.poor
		}
	}
	if total == 0 || t.objective >= 1 {
		return 0, total
	}
	return float64(poor) / float64(total) / (1 - t.objective), total
}
