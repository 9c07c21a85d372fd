// Package admission decides which requests wait for the slots of a service, in which order they get them, and which are refused at once
// since they would not begin in time. It knows nothing of endpoints: the caller reports released slots and offers the free ones.
package admission

import (
	"cmp"
	"slices"
	"time"

	"balsamknot.org/fleet/site"
)

// ID identifies a request of a queue; IDs ascend in order of arrival.
type ID uint64

// Class is a kind of request: those of one route with the same priority. What is learned of requests is learned by class.
type Class struct {
	Route site.RouteName
	// Priority orders classes under load; 0 is the highest.
	Priority int
}

// Request is a request for a slot.
type Request struct {
	ID    ID
	Class Class
	// Objective is the time left until the request is late; 0 if unknown, and negative if it is late already.
	Objective time.Duration
	// TimeLeft is how long the request may wait for a slot.
	TimeLeft time.Duration
	// Workspace is that of the caller; empty if unknown.
	Workspace site.WorkspaceName
	// Caller recognises a request that was refused and returns, among those of its workspace and route; 0 if it can't be recognised.
	Caller CallerKey
	// Retry is true if an endpoint may have received the request before. It is not refused for being late: work was done for it.
	Retry bool
}

// CallerKey is the same for all attempts at one request of a caller.
type CallerKey uint64

// Room is what the caller knows of the slots of the service.
type Room struct {
	// Rate is how many slots are expected to be released a second.
	Rate float64
	// Paced is true if Rate is exact, since limits of the endpoints determine it. MaxWait is the longest expected wait with which a request
	// is queued then, and MaxFirstWait that of the first in the queue.
	Paced                 bool
	MaxWait, MaxFirstWait time.Duration
	// MaxRetryAfter bounds the retry delay of refusals then.
	MaxRetryAfter time.Duration
	// Slots is the number of slots.
	Slots int
	// MaxQueued is the length limit of the queue.
	MaxQueued int
}

// Refusal is a request that is refused, and when it may return.
type Refusal struct {
	ID         ID
	RetryAfter time.Duration
}

// Outcome is what became of the offer of a slot to a request.
type Outcome int

// Outcomes of an offer.
const (
	// Granted means that the request got a slot.
	Granted Outcome = iota
	// Skipped means that no endpoint that may get the request has a free slot; others may have.
	Skipped
	// Full means that no slot is free.
	Full
)

// classLifetime is how long what is known of a class is kept without requests.
const classLifetime = time.Minute

// Queue holds the requests that wait for a slot of one service. It is not safe for concurrent use.
type Queue struct {
	// classes is in order of priority and route.
	classes []*class
	waiting map[ID]*entry
	// total counts the requests of all classes, and asked those of the last time.
	total shares
	asked counter
	// backlog is how many requests would wait if none was refused: those that found no free slot, less the slots released since.
	backlog  float64
	slots    releaseMeter
	holdTime mean
	first    mean
	returns  returns
	// workspaces is what each workspace asks for and gets.
	workspaces workspaces
	// promisedUntil is when a slot may be free for the caller that was refused last because of limits.
	promisedUntil time.Time
	expiry        expiry
}

// expiry is when the first request that waits may have to be refused, as found when the queue was or was not overloaded.
type expiry struct {
	overloaded bool
	at         time.Time
}

// entry is a request that waits.
type entry struct {
	request   Request
	class     *class
	arrivedAt time.Time
	// latestStart is when the request has to get a slot to be in time, and deadline when it is refused in any case.
	latestStart, deadline time.Time
	band                  band
	// told is what the caller was told when the request was refused before; nil if it is new.
	told *told
}

// NewQueue returns an empty queue.
func NewQueue() *Queue {
	return &Queue{waiting: make(map[ID]*entry), returns: newReturns(), workspaces: newWorkspaces()}
}

// Len returns the number of requests that wait.
func (q *Queue) Len() int { return len(q.waiting) }

// Serve records a request that got a free slot at once.
func (q *Queue) Serve(now time.Time, r Request, room Room) {
	c := q.class(r.Class)
	c.accepted.add(now, demandTime)
	first := q.returns.take(now, r) == nil
	q.countAsked(now, c, first)
	q.countServed(now, c, first)
	q.workspaces.ask(now, r.Workspace, q.work(c), !room.Paced && q.exceeded(now, room))
	q.workspaces.grant(now, r.Workspace, q.work(c))
}

// work returns for how many seconds a request of a class is expected to hold its slot.
func (q *Queue) work(c *class) float64 {
	if c.holdTime.n > 0 {
		return c.holdTime.value.Seconds()
	}
	return max(q.holdTime.value, minRetryAfter).Seconds()
}

// Arrive queues a request for which no slot is free. The second result is true if it is refused instead.
func (q *Queue) Arrive(now time.Time, r Request, room Room) (refusal Refusal, refused bool) {
	c := q.class(r.Class)
	if wait := q.returns.early(now, r); wait > 0 {
		return Refusal{r.ID, wait}, true
	}
	e := q.newEntry(now, r, c)
	q.countWaiting(now, e, room)
	q.countArrival(now, e, room)
	if !q.accepts(now, e, room) {
		return Refusal{r.ID, q.retryAfter(now, e, room)}, true
	}
	if e.band <= inTime {
		c.accepted.add(now, demandTime)
	}
	q.waiting[r.ID] = e
	c.insert(e)
	if at := e.expiresAt(q.expiry.overloaded); at.Before(q.expiry.at) {
		q.expiry.at = at
	}
	return Refusal{}, false
}

// countWaiting counts a request that finds no free slot in the backlog.
func (q *Queue) countWaiting(now time.Time, e *entry, room Room) {
	q.backlog = min(q.backlog+1, max(q.rate(now, room)*maxBacklog.Seconds(), 1))
	if e.told == nil && e.request.Objective > 0 {
		e.class.objective = e.request.Objective
	}
}

// Withdraw removes a request that needs no slot any more.
func (q *Queue) Withdraw(id ID) {
	if e := q.waiting[id]; e != nil {
		q.remove(e)
	}
}

// Hold records that a request of a workspace holds a slot.
func (q *Queue) Hold(now time.Time, name site.WorkspaceName) {
	q.slots.hold(now)
	q.workspaces.hold(name, 1)
}

// Release records that a request of a workspace released a slot.
func (q *Queue) Release(now time.Time, name site.WorkspaceName) {
	q.slots.release(now)
	q.backlog = max(q.backlog-1, 0)
	q.workspaces.hold(name, -1)
}

// Learn records for how long a completed request held its slot, and after which time its answer or first event came; 0 if unknown.
func (q *Queue) Learn(id Class, holdTime, firstAfter time.Duration) {
	c := q.class(id)
	c.holdTime.add(holdTime)
	q.holdTime.add(holdTime)
	if firstAfter > 0 {
		c.first.add(firstAfter)
		q.first.add(firstAfter)
	}
}

// HoldTime returns the mean time for which completed requests held their slots; 0 if there were none.
func (q *Queue) HoldTime() time.Duration { return q.holdTime.value }

// Drain offers slots to the requests in order, until no slot is free.
func (q *Queue) Drain(now time.Time, offer func(id ID, waited time.Duration) Outcome) {
	var skipped []*entry
	for e := q.next(); e != nil; e = q.next() {
		outcome := offer(e.request.ID, now.Sub(e.arrivedAt))
		if outcome == Full {
			break
		}
		e.class.delete(e)
		if outcome == Skipped {
			skipped = append(skipped, e)
			continue
		}
		delete(q.waiting, e.request.ID)
		q.workspaces.grant(now, e.request.Workspace, q.work(e.class))
		if e.band != excess {
			q.countServed(now, e.class, e.told == nil)
		}
	}
	for _, e := range skipped {
		e.class.insert(e)
	}
}

// Expire refuses the requests that can't begin in time any more: those whose time has passed, and the last in the order if others took
// their places.
func (q *Queue) Expire(now time.Time, room Room) []Refusal {
	if len(q.waiting) == 0 {
		return nil
	}
	overloaded := q.Overloaded(now, room)
	refusals := q.refuseExpired(now, overloaded, room)
	for _, c := range slices.Backward(q.classes) {
		for e := c.last(); e != nil && q.overtaken(now, e, room); e = c.last() {
			refusals = append(refusals, q.refuse(now, e, room))
		}
	}
	return refusals
}

// refuseExpired refuses the requests whose time has passed. It looks at all that wait only when one of them may have to be refused.
func (q *Queue) refuseExpired(now time.Time, overloaded bool, room Room) []Refusal {
	if overloaded == q.expiry.overloaded && now.Before(q.expiry.at) {
		return nil
	}
	q.expiry = expiry{overloaded: overloaded, at: now.Add(maxWait)}
	var refusals []Refusal
	for _, c := range slices.Backward(q.classes) {
		expired, next := c.expired(now, overloaded)
		for _, e := range expired {
			refusals = append(refusals, q.refuse(now, e, room))
		}
		if !next.IsZero() && next.Before(q.expiry.at) {
			q.expiry.at = next
		}
	}
	return refusals
}

// ForgetIdle deletes what is known of classes without requests for classLifetime.
func (q *Queue) ForgetIdle(now time.Time) {
	q.returns.expire(now)
	q.workspaces.forgetIdle(now)
	q.classes = slices.DeleteFunc(q.classes, func(c *class) bool { return c.last() == nil && now.Sub(c.askedAt) > classLifetime })
}

func (q *Queue) newEntry(now time.Time, r Request, c *class) *entry {
	e := &entry{request: r, class: c, band: inTime, arrivedAt: now, deadline: now.Add(r.TimeLeft), told: q.returns.take(now, r)}
	if e.told != nil {
		r.Objective = e.told.lateAt.Sub(now)
		e.request.Objective = r.Objective
	}
	if e.told.promised() {
		e.latestStart = e.told.at
		return e
	}
	e.latestStart = e.deadline
	if r.Objective != 0 {
		e.latestStart = now.Add(min(q.slack(r, c), r.TimeLeft))
	}
	return e
}

func (q *Queue) refuse(now time.Time, e *entry, room Room) Refusal {
	q.remove(e)
	return Refusal{e.request.ID, q.retryAfter(now, e, room)}
}

func (q *Queue) remove(e *entry) {
	e.class.delete(e)
	delete(q.waiting, e.request.ID)
}

// class returns the state of a class, which it creates on first use.
func (q *Queue) class(id Class) *class {
	at, found := slices.BinarySearchFunc(q.classes, id, func(c *class, id Class) int {
		return cmp.Or(cmp.Compare(c.id.Priority, id.Priority), cmp.Compare(c.id.Route, id.Route))
	})
	if !found {
		q.classes = slices.Insert(q.classes, at, &class{id: id})
	}
	return q.classes[at]
}

// countArrival counts an attempt that finds no free slot, and sets its band if its workspace has got its share. Such requests do not count
// when classes are compared.
func (q *Queue) countArrival(now time.Time, e *entry, room Room) {
	overloaded := !room.Paced && q.exceeded(now, room)
	q.workspaces.ask(now, e.request.Workspace, q.work(e.class), overloaded)
	if e.request.Retry || e.told.promised() {
		overloaded = false
	}
	if overloaded && q.workspaces.exceeds(now, e.request.Workspace, true) || q.HoldsBack(now, e.request, room) {
		e.band = excess
	}
	q.countAsked(now, e.class, e.told == nil && e.band != excess)
}

// countAsked counts an attempt at a request; the share that is served counts the first attempts.
func (q *Queue) countAsked(now time.Time, c *class, first bool) {
	c.askedAt = now
	q.asked.add(now, demandTime)
	if first {
		c.shares.asked.add(now, shareTime)
		q.total.asked.add(now, shareTime)
	}
}

// countServed counts a request that got a slot, at its first attempt or later.
func (q *Queue) countServed(now time.Time, c *class, first bool) {
	c.shares.served.add(now, shareTime)
	q.total.served.add(now, shareTime)
	if first {
		c.shares.servedFirst.add(now, shareTime)
	}
}
