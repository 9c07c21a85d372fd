package admission

import "time"

const (
	// slackShare is the largest share of the time in which a request may begin that it is expected to wait: the rest is for errors of the
	// estimate.
	slackShare = 0.66
	// overloadShare is the largest share of its objective for which a request waits while more is asked than there is room for.
	overloadShare = 0.11
	// minOverloadWait is the least such time, so that requests that come together by chance are not refused.
	minOverloadWait = 60 * time.Millisecond
	// promptShare is the share of its objective after which the refusal of a request costs its caller time.
	promptShare = 0.125
	// minSlackShare is the least time to wait, as a share of the objective, in which a request counts as being in time: where endpoints are
	// so slow that no request of a class can be, the class keeps its place.
	minSlackShare = 0.125
	// lateShare is the largest share of its time left for which a request that will be late is expected to wait.
	lateShare = 1.0 / 16
	// returnedLateShare is that of a caller that returns: it has no attempt left after this one.
	returnedLateShare = 0.5
)

// slack returns the time in which a request has to get a slot to be in time.
func (q *Queue) slack(r Request, c *class) time.Duration {
	first := c.first.value
	if c.first.n == 0 {
		first = q.first.value
	}
	return max(r.Objective-first, time.Duration(minSlackShare*float64(r.Objective)), 0)
}

// accepts reports whether a new request is queued, and sets its band.
func (q *Queue) accepts(now time.Time, e *entry, room Room) bool {
	if room.Paced {
		return q.expectedWait(now, e, room) <= min(e.request.TimeLeft, q.maxPacedWait(e, room))
	}
	if len(q.waiting) >= room.MaxQueued {
		return false
	}
	if e.told.promised() {
		e.band = owed
		return true
	}
	limit := q.maxExpectedWait(now, e, room)
	if e.band == excess {
		return !q.HoldsBack(now, e.request, room) && q.expectedWait(now, e, room) <= limit
	}
	if q.expectedWait(now, e, room) <= limit {
		return true
	}
	if q.short(now, e.class) {
		e.band = owed
		return q.expectedWait(now, e, room) <= limit
	}
	e.band = late
	return q.expectedWait(now, e, room) <= time.Duration(e.lateShare()*float64(e.request.TimeLeft))
}

// lateShare returns the largest share of its time left for which the request is expected to wait if it will be late.
func (e *entry) lateShare() float64 {
	if e.told != nil {
		return returnedLateShare
	}
	return lateShare
}

// maxExpectedWait returns the longest expected wait with which a new request is queued. A queue is for bursts: while more is asked than there
// is room for, a longer one only makes more requests late.
func (q *Queue) maxExpectedWait(now time.Time, e *entry, room Room) time.Duration {
	if e.request.Retry || e.request.Objective == 0 {
		return e.request.TimeLeft
	}
	wait := time.Duration(slackShare * float64(e.latestStart.Sub(now)))
	if q.overloaded(now, room) {
		return min(wait, overloadWait(e.request.Objective))
	}
	return wait
}

// overloadWait returns the longest time for which a request with an objective waits while more is asked than there is room for.
func overloadWait(objective time.Duration) time.Duration {
	return max(time.Duration(overloadShare*float64(objective)), minOverloadWait)
}

func (q *Queue) maxPacedWait(e *entry, room Room) time.Duration {
	if q.ahead(e) == 0 {
		return room.MaxFirstWait
	}
	return room.MaxWait
}

// overtaken reports whether the last request of a class can't begin in time any more.
func (q *Queue) overtaken(now time.Time, e *entry, room Room) bool {
	wait := q.expectedWait(now, e, room)
	if room.Paced {
		return wait > q.maxPacedWait(e, room)
	}
	return e.band == inTime && !e.request.Retry && !e.told.promised() && wait > e.latestStart.Sub(now)
}
