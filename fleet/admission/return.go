package admission

import "time"

const (
	// minRetryAfter and maxRetryAfter bound the retry delay that a refusal suggests.
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = 5 * time.Second
	// maxRetryShare is the largest retry delay, as a share of the time for which a request may wait: callers come back after a third of the
	// time that they have, and requests wait for half of it.
	maxRetryShare = 2.0 / 3
	// promisedShare is the share of the slots of a class that is promised to refused callers; the rest is for new requests, which can still
	// be in time.
	promisedShare = 0.125
)

// retryAfter returns the retry delay of a refused request and records it. Each refusal takes the next place behind the queue and the
// requests of the class that were refused before, so that callers do not come back all at once. A caller for which there is no place within
// the longest delay is told that delay, and gets what room there is then.
func (q *Queue) retryAfter(now time.Time, e *entry, room Room) time.Duration {
	if room.Paced {
		return q.pacedRetryAfter(now, e, room)
	}
	longest := min(maxRetryAfter, max(time.Duration(maxRetryShare*float64(e.request.TimeLeft)), minRetryAfter))
	at, promised := now.Add(longest), false
	if place := q.nextPlace(now, e, room); !place.After(at) && e.band != excess {
		at, promised = place, e.told == nil
	}
	if promised {
		e.class.promisedUntil = at
	}
	q.returns.tell(e, at, promised)
	return at.Sub(now)
}

// nextPlace returns when a slot is expected to be free for a refused caller, in the room that its class keeps for them.
func (q *Queue) nextPlace(now time.Time, e *entry, room Room) time.Time {
	fresh := *e
	fresh.band = inTime
	rate := promisedShare * (q.rateFor(now, &fresh, room) + q.returns.dueOf(now, e.class.id))
	place := now.Add(max(waitFor(q.ahead(&fresh), rate), minRetryAfter))
	if next := e.class.promisedUntil.Add(waitFor(1, rate)); place.Before(next) {
		place = next
	}
	return place
}

// pacedRetryAfter returns the retry delay where limits of the endpoints determine the room.
func (q *Queue) pacedRetryAfter(now time.Time, e *entry, room Room) time.Duration {
	rate := q.rate(now, room)
	if ahead := now.Add(waitFor(q.ahead(e), rate)); q.promisedUntil.Before(ahead) {
		q.promisedUntil = ahead
	}
	q.promisedUntil = q.promisedUntil.Add(waitFor(1, rate))
	if latest := now.Add(room.MaxRetryAfter); q.promisedUntil.After(latest) {
		q.promisedUntil = latest
	}
	return max(q.promisedUntil.Sub(now), minRetryAfter)
}
