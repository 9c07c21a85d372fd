package drain

import (
	"slices"
	"time"

	"balsamknot.org/fleet/site"
)

const (
	// runTimeSamples is how many answers of a route are remembered, and minRunTimeSamples how many must be known before they tell anything.
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

// routeTimes is a ring of a route's latest answers.
type routeTimes struct {
	samples []time.Duration
	next    int
	notedAt time.Time
}

// NewRunTimes returns a record without answers.
func NewRunTimes() *RunTimes { return &RunTimes{routes: make(map[site.RouteName]*routeTimes)} }

// Note records a complete answer that ended at time now.
func (t *RunTimes) Note(now time.Time, route site.RouteName, took time.Duration) {
	r := t.routes[route]
	if r == nil {
		r = &routeTimes{}
		t.routes[route] = r
	}
	r.notedAt = now
	if len(r.samples) < runTimeSamples {
		r.samples = append(r.samples, took)
		return
	}
	r.samples[r.next] = took
	r.next = (r.next + 1) % runTimeSamples
}

// Usual returns the time within which usualShare of a route's latest answers ended; 0 if too few are known.
func (t *RunTimes) Usual(route site.RouteName) time.Duration {
	r := t.routes[route]
	if r == nil || len(r.samples) < minRunTimeSamples {
		return 0
	}
	sorted := slices.Sorted(slices.Values(r.samples))
	return sorted[int(usualShare*float64(len(sorted)-1))]
}

// Forget removes the routes that have had no answer for runTimeMemory, as those that were renamed.
func (t *RunTimes) Forget(now time.Time) {
	for route, r := range t.routes {
		if now.Sub(r.notedAt) > runTimeMemory {
			delete(t.routes, route)
		}
	}
}
