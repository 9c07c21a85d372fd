package admission

import (
	"maps"
	"time"

	"balsamknot.org/fleet/site"
)

const (
	// maxReturns bounds how many refused callers are remembered.
	maxReturns = 16384
	// earlyTolerance is how much earlier than told a caller may return, since its clock and the network differ, and returnTolerance how
	// much later until it counts as a new one.
	earlyTolerance  = 10 * time.Millisecond
	returnTolerance = time.Second
	// placeInterval is the interval in which promised places are counted.
	placeInterval = 100 * time.Millisecond
)

// returnKey identifies a request over its attempts.
type returnKey struct {
	class     Class
	workspace site.WorkspaceName
	caller    CallerKey
}

// told is what a refused caller was told.
type told struct {
	// at is when it may return, and lateAt when its request is late.
	at, lateAt time.Time
	// reserved is true if a place is kept for it at that time.
	reserved bool
}

func (t *told) promised() bool { return t != nil && t.reserved }

// place is an interval in which places are kept for a class.
type place struct {
	class Class
	at    int64
}

// returns remembers the refused callers that are expected back.
type returns struct {
	callers map[returnKey]*told
	// places counts the places that are kept.
	places  map[place]int
	sweepAt time.Time
}

func newReturns() returns {
	return returns{callers: make(map[returnKey]*told), places: make(map[place]int)}
}

func keyOf(r Request) returnKey { return returnKey{r.Class, r.Workspace, r.Caller} }

// tell records that a caller was told to return, with the place that is kept for it unless there is one already. A request that has
// returned before is not expected again.
func (s *returns) tell(e *entry, at time.Time, reserved bool) {
	r := e.request
	if r.Caller == 0 || e.told != nil || s.callers[keyOf(r)] != nil || len(s.callers) >= maxReturns {
		return
	}
	s.callers[keyOf(r)] = &told{at: at, lateAt: e.arrivedAt.Add(r.Objective), reserved: reserved}
	if reserved {
		s.places[placeOf(r.Class, at)]++
	}
}

// early returns how much too early a caller returns; 0 if it is not.
func (s *returns) early(now time.Time, r Request) time.Duration {
	t := s.callers[keyOf(r)]
	if r.Caller == 0 || t == nil || !now.Before(t.at.Add(-earlyTolerance)) {
		return 0
	}
	return t.at.Sub(now)
}

// take returns what the caller of a request was told, and forgets it; nil if the request is new.
func (s *returns) take(now time.Time, r Request) *told {
	if r.Caller == 0 {
		return nil
	}
	t := s.callers[keyOf(r)]
	if t == nil {
		return nil
	}
	s.forget(keyOf(r), t)
	if now.After(t.at.Add(returnTolerance)) {
		return nil
	}
	return t
}

func (s *returns) forget(key returnKey, t *told) {
	delete(s.callers, key)
	if !t.reserved {
		return
	}
	p := placeOf(key.class, t.at)
	s.places[p]--
	if s.places[p] <= 0 {
		delete(s.places, p)
	}
}

// dueOf returns how many slots a second are kept for callers of a class that are expected within demandTime.
func (s *returns) dueOf(now time.Time, c Class) float64 {
	n := 0
	for at := now; at.Before(now.Add(demandTime)); at = at.Add(placeInterval) {
		n += s.places[placeOf(c, at)]
	}
	return float64(n) / demandTime.Seconds()
}

// expire forgets the callers that did not return.
func (s *returns) expire(now time.Time) {
	if now.Before(s.sweepAt) {
		return
	}
	s.sweepAt = now.Add(returnTolerance)
	maps.DeleteFunc(s.callers, func(_ returnKey, t *told) bool { return now.After(t.at.Add(returnTolerance)) })
	maps.DeleteFunc(s.places, func(p place, _ int) bool { return p.at < interval(now) })
}

func placeOf(c Class, at time.Time) place { return place{c, interval(at)} }

func interval(at time.Time) int64 { return at.UnixNano() / int64(placeInterval) }
