package admission

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// owedRateShare is the share of the released slots on which a class that is short of its minimum can count.
const owedRateShare = 0.5

// next returns the request that gets the next free slot; nil if none waits. Requests of classes short of their minimum go first. Then
// requests that can be in time go before those that will be late, higher priorities before lower ones, and the one that has to begin
// first before others.
func (q *Queue) next() *entry {
	for b := range bands {
		var best *entry
		for _, c := range q.classes {
			if best != nil && c.id.Priority > best.class.id.Priority {
				break
			}
			if list := c.lists[b]; len(list) > 0 && (best == nil || list[0].compare(best) < 0) {
				best = list[0]
			}
		}
		if best != nil {
			return best
		}
	}
	return nil
}

// ahead returns how many requests that wait get a slot before e.
func (q *Queue) ahead(e *entry) int {
	n := 0
	for _, c := range q.classes {
		for b := range e.band {
			n += len(c.lists[b])
		}
		switch same := c.lists[e.band]; {
		case c.id.Priority < e.class.id.Priority:
			n += len(same)
		case c.id.Priority == e.class.id.Priority:
			n += rank(same, e)
		}
	}
	return n
}

// expectedWait estimates how long a request waits for a slot: until those before it have one, of the slots that those leave which arrive
// later and get theirs before.
func (q *Queue) expectedWait(now time.Time, e *entry, room Room) time.Duration {
	return waitFor(q.ahead(e)+1, q.rateFor(now, e, room))
}

// rateFor returns how many slots a second are left for requests like e.
func (q *Queue) rateFor(now time.Time, e *entry, room Room) float64 {
	rate := q.rate(now, room)
	switch {
	case room.Paced:
		return rate
	case e.band == owed:
		return owedRateShare * rate
	}
	if e.band == late {
		return max(rate-q.asked.at(now, demandTime)/demandTime.Seconds(), 0)
	}
	for _, c := range q.classes {
		rate -= q.returns.dueOf(now, c.id)
		if c.id.Priority < e.class.id.Priority || e.band == excess {
			rate -= c.accepted.at(now, demandTime) / demandTime.Seconds()
		}
	}
	return max(rate, 0)
}

// Overloaded reports whether the service has too little room; false if limits of the endpoints determine it.
func (q *Queue) Overloaded(now time.Time, room Room) bool {
	return !room.Paced && q.overloaded(now, room)
}

// overloaded reports whether more is asked for than there is room for, beyond what chance and callers in a closed loop explain: clearly more
// requests lately, or so many that found no free slot that they would use up much of an objective if none was refused.
func (q *Queue) overloaded(now time.Time, room Room) bool {
	rate := q.rate(now, room)
	expected := rate * demandTime.Seconds()
	if q.asked.at(now, demandTime) > expected+max(excessDeviations*math.Sqrt(expected), minExcess) {
		return true
	}
	return waitFor(int(q.backlog), rate) > time.Duration(backlogShare*float64(q.shortestObjective()))
}

// shortestObjective returns the shortest objective of the classes; maxWait if none is known.
func (q *Queue) shortestObjective() time.Duration {
	shortest := maxWait
	for _, c := range q.classes {
		if c.objective > 0 {
			shortest = min(shortest, c.objective)
		}
	}
	return shortest
}

// exceeded reports whether more requests ask for slots than are released: the shares of workspaces follow it at once.
func (q *Queue) exceeded(now time.Time, room Room) bool {
	return q.asked.at(now, demandTime)/demandTime.Seconds() > q.rate(now, room)
}

// rate returns how many slots are released a second.
func (q *Queue) rate(now time.Time, room Room) float64 {
	if room.Paced {
		return room.Rate
	}
	return q.slots.rate(now, room.Rate)
}

// maxWait is the expected wait where hardly any slot is released.
const maxWait = time.Hour

// waitFor returns the wait until a number of slots have been released at a rate a second.
func waitFor(slots int, rate float64) time.Duration {
	if rate <= float64(slots)/maxWait.Seconds() {
		return maxWait
	}
	return time.Duration(float64(slots) / rate * float64(time.Second))
}

// compare orders the requests of one band and priority.
func (e *entry) compare(f *entry) int {
	return cmp.Or(e.latestStart.Compare(f.latestStart), cmp.Compare(e.request.ID, f.request.ID))
}

// rank returns how many entries of a list are before e.
func rank(list []*entry, e *entry) int {
	at, _ := slices.BinarySearchFunc(list, e, (*entry).compare)
	return at
}
