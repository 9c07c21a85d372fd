package node

import (
	"time"

	"balsamknot.org/fleet/endpoint"
	"balsamknot.org/fleet/pool"
	"balsamknot.org/platform"
)

// observedRun is what this host observes of a request at the endpoint to which it was sent last.
type observedRun struct {
	// sentAt is when the request was sent, and firstAt when its answer or the first event of its stream came; zero before.
	sentAt, firstAt time.Time
	events          int
	load            endpoint.Load
}

// answered records the head of an answer. That of a stream comes before its first event, which counts.
func (o *observedRun) answered(now time.Time, streaming bool, a platform.Answer) {
	o.load = a.Statement.Load
	if !streaming && !a.NotRun {
		o.firstAt = now
	}
}

// received records an event of a stream.
func (o *observedRun) received(now time.Time) {
	if o.firstAt.IsZero() {
		o.firstAt = now
	}
	o.events++
}

// run returns what was observed of a run that ends at now.
func (o *observedRun) run(now time.Time) pool.Run {
	if o.sentAt.IsZero() {
		return pool.Run{}
	}
	r := pool.Run{Lasted: now.Sub(o.sentAt), Events: o.events, Load: o.load}
	if !o.firstAt.IsZero() {
		r.FirstAfter = o.firstAt.Sub(o.sentAt)
	}
	return r
}

// objectiveLeft returns the time left until the request is late; 0 if its route states no objective.
func (q *request) objectiveLeft(now time.Time) time.Duration {
	if q.route.Objective <= 0 {
		return 0
	}
	if left := q.route.Objective - now.Sub(q.start); left != 0 {
		return left
	}
	return -time.Millisecond
}

// slotTimeLeft returns for how long a request may wait for a slot: half of the time left, and less if its caller would leave before the first event
// of its stream.
func (q *request) slotTimeLeft(now time.Time) time.Duration {
	left := q.deadline.Sub(now) / 2
	if !q.route.Streaming || q.begun || q.route.FirstEventPatience <= 0 {
		return left
	}
	patience := q.route.FirstEventPatience - now.Sub(q.start) - firstEventMargin
	return max(min(left, patience), minTimeLeft)
}

// firstEventMargin is the least time between a slot and the moment at which a caller leaves that has got no event.
const firstEventMargin = 500 * time.Millisecond
