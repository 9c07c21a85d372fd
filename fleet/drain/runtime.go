package drain

import (
	"time"

	"github.com/valyala/histogram"

	"balsamknot.org/fleet/site"
)

const (
	// runTimeSamples is how many answers of a route a histogram holds, and minRunTimeSamples how many must be known before they tell anything.
	runTimeSamples    = 64
	minRunTimeSamples = 8
	// usualShare is the share of a route's answers that end within its usual run time.
	usualShare = 0.9
	// runTimeMemory is how long the answers of a route that has no further ones are remembered.
	runTimeMemory = 10 * time.Minute
)

// RunTimes holds how long the latest answers of each route took, from the request's arrival to the end of the answer. It is not safe for
// concurrent use.
type RunTimes struct {
	routes map[site.RouteName]*routeTimes
}

// routeTimes holds the seconds that a route's latest answers took: those since the last multiple of runTimeSamples, and the runTimeSamples before.
type routeTimes struct {
	current, previous *histogram.Fast
	// count is the number of answers in current, and full is true if previous has answers.
	count   int
	full    bool
	notedAt time.Time
}

// NewRunTimes returns a record without answers.
func NewRunTimes() *RunTimes { return &RunTimes{routes: make(map[site.RouteName]*routeTimes)} }

// Note records a complete answer that ended at time now.
func (t *RunTimes) Note(now time.Time, route site.RouteName, took time.Duration) {
	r := t.routes[route]
	if r == nil {
		r = &routeTimes{current: histogram.NewFast(), previous: histogram.NewFast()}
		t.routes[route] = r
	}
	if r.count == runTimeSamples {
		r.current, r.previous = r.previous, r.current
		r.current.Reset()
		r.count, r.full = 0, true
	}
	r.current.Update(took.Seconds())
	r.count++
	r.notedAt = now
}

// Usual returns the time within which usualShare of a route's latest answers ended; 0 if too few are known.
func (t *RunTimes) Usual(route site.RouteName) time.Duration {
	r := t.routes[route]
	if r == nil {
		return 0
	}
	var seconds float64
	if r.full {
		seconds = r.previous.Quantile(usualShare)
	}
	if r.count >= r.minCount() {
		seconds = max(seconds, r.current.Quantile(usualShare))
	}
	return time.Duration(seconds * float64(time.Second))
}

// minCount returns how many answers current must hold to be used: with previous, few more do not change the picture.
func (r *routeTimes) minCount() int {
	if r.full {
		return runTimeSamples / 2
	}
	return minRunTimeSamples
}

// Forget removes the routes that have had no answer for runTimeMemory, as those that were renamed.
func (t *RunTimes) Forget(now time.Time) {
	for route, r := range t.routes {
		if now.Sub(r.notedAt) > runTimeMemory {
			delete(t.routes, route)
		}
	}
}
