package admission

import (
	"slices"
	"time"
)

const (
	// minClassShare is the share of its requests that is served of each class, relative to that of all classes.
	minClassShare = 0.3
	// minClassRequests is how many requests of a class, of the last time, say that it is short of its minimum.
	minClassRequests = 8
	// cheapShare is the largest hold time of a class, as a share of that of another, with which it is served as often: refusing four of
	// its requests makes room for one.
	cheapShare = 0.15
)

// band is the first criterion of the order in which requests get slots.
type band int

const (
	// owed is the band of requests whose class was short of its minimum when they arrived.
	owed band = iota
	// inTime is that of requests that can be in time.
	inTime
	// excess is that of requests whose workspace has got its share of the room.
	excess
	// late is that of requests that will be late.
	late
	bands
)

// class is the state of a Class: its requests that wait, by band and in order of entry.compare, and what is known of all of them.
type class struct {
	id     Class
	lists  [bands][]*entry
	shares shares
	// accepted counts the requests of the last time that were not refused at once, and askedAt is when the last one arrived.
	accepted        counter
	askedAt         time.Time
	holdTime, first mean
	promisedUntil   time.Time
	// objective is that of the newest request; 0 if unknown.
	objective time.Duration
}

func (c *class) insert(e *entry) {
	list := &c.lists[e.band]
	*list = slices.Insert(*list, rank(*list, e), e)
}

func (c *class) delete(e *entry) {
	list := &c.lists[e.band]
	if at := rank(*list, e); at < len(*list) && (*list)[at] == e {
		*list = slices.Delete(*list, at, at+1)
	}
}

// last returns the last request in the order; nil if none waits.
func (c *class) last() *entry {
	for _, list := range slices.Backward(c.lists[:]) {
		if len(list) > 0 {
			return list[len(list)-1]
		}
	}
	return nil
}

// expired returns the requests that have waited for too long, and when the next one will have; zero if none waits.
func (c *class) expired(now time.Time, overloaded bool) (expired []*entry, next time.Time) {
	for _, list := range c.lists {
		for _, e := range list {
			at := e.expiresAt(overloaded && e.waitsShortly(now))
			switch {
			case !now.Before(at):
				expired = append(expired, e)
			case next.IsZero() || at.Before(next):
				next = at
			}
		}
	}
	return expired, next
}

// waitsShortly reports whether the request can still be refused without a loss of time for its caller. One that has waited for longer,
// since the load was lower then, is among the next that get a slot.
func (e *entry) waitsShortly(now time.Time) bool {
	return e.band != inTime || now.Sub(e.arrivedAt) <= time.Duration(promptShare*float64(e.request.Objective))
}

// expiresAt returns when the request is refused if it still waits.
func (e *entry) expiresAt(overloaded bool) time.Time {
	switch {
	case e.request.Retry || e.request.Objective == 0 || e.told.promised() || e.told != nil && e.band != inTime:
		return e.deadline
	case overloaded:
		return e.arrivedAt.Add(min(overloadWait(e.request.Objective), e.request.TimeLeft))
	case e.band == late:
		return e.arrivedAt.Add(time.Duration(2 * lateShare * float64(e.request.TimeLeft)))
	}
	return e.latestStart
}

// short reports whether so few requests of a class were served that it goes first: compared with the more urgent classes, or with all if it
// is the most urgent one. A class whose requests hold slots for a short time is owed a larger share: refusing them makes room for few others.
func (q *Queue) short(now time.Time, c *class) bool {
	if c.shares.asked.at(now, shareTime) < minClassRequests {
		return false
	}
	if c.shares.servedShare(now) < minClassShare*q.total.servedShare(now) {
		return true
	}
	owed, compared := 1.0, false
	for _, other := range q.classes {
		if other.id.Priority < c.id.Priority && other.shares.asked.at(now, shareTime) >= minClassRequests {
			owed, compared = min(owed, c.owedShare(other)*other.shares.servedFirstShare(now)), true
		}
	}
	return compared && c.shares.servedFirstShare(now) < owed
}

// owedShare returns the share of its requests that is served of a class, relative to a more urgent one.
func (c *class) owedShare(other *class) float64 {
	if c.holdTime.n < minClassRequests || other.holdTime.n < minClassRequests {
		return 0
	}
	return max(0, min(1, 1+cheapShare-float64(c.holdTime.value)/float64(other.holdTime.value)))
}
