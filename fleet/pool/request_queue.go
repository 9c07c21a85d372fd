package pool

import (
	"time"

	"balsamknot.org/fleet/admission"
	"balsamknot.org/fleet/host"
)

// initialHoldTime is the estimate of the mean hold time before the first request has completed.
const initialHoldTime = 100 * time.Millisecond

// roomLifetime is how long a result of room is used again.
const roomLifetime = 100 * time.Millisecond

// requestQueue holds the requests that wait for a slot, by their IDs in the order that decides on them.
type requestQueue struct {
	order    *admission.Queue
	requests map[admission.ID]SlotRequested
	ids      map[Ticket]admission.ID
	lastID   admission.ID
	// unbound counts the requests that any endpoint may get.
	unbound int
	// awaited holds the requests that wait for a certain engine.
	awaited map[admission.ID]awaitedEngine
}

func newRequestQueue() requestQueue {
	return requestQueue{order: admission.NewQueue(), requests: make(map[admission.ID]SlotRequested), ids: make(map[Ticket]admission.ID), awaited: make(map[admission.ID]awaitedEngine)}
}

func (q *requestQueue) len() int { return len(q.requests) }

func (q *requestQueue) contains(t Ticket) bool {
	_, found := q.ids[t]
	return found
}

// meanHoldTime returns the mean time for which requests hold their slots.
func (q *requestQueue) meanHoldTime() time.Duration {
	if d := q.order.HoldTime(); d > 0 {
		return d
	}
	return initialHoldTime
}

// class returns the kind of a request.
func (e SlotRequested) class() admission.Class {
	return admission.Class{Route: e.Route, Priority: e.Priority}
}

func (q *requestQueue) admissionRequest(e SlotRequested) admission.Request {
	q.lastID++
	return admission.Request{
		ID: q.lastID, Class: e.class(), Workspace: e.Workspace, Caller: e.callerKey(),
		Objective: e.Objective, TimeLeft: e.TimeLeft, Retry: e.Retry || len(e.Tried) > 0,
	}
}

// callerKey returns what recognises a caller that was refused and returns: the last part of its prompt, which belongs to it alone.
func (e SlotRequested) callerKey() admission.CallerKey {
	return admission.CallerKey(e.session())
}

// serve records a request that gets a slot without waiting.
func (q *requestQueue) serve(now time.Time, e SlotRequested, room admission.Room) {
	q.order.Serve(now, q.admissionRequest(e), room)
}

// holdsBack reports whether a request gets none of the free slots, since its workspace has got its share.
func (q *requestQueue) holdsBack(now time.Time, e SlotRequested, room admission.Room) bool {
	return q.order.HoldsBack(now, q.admissionRequest(e), room)
}

// arrive queues a request, or refuses it at once.
func (q *requestQueue) arrive(now time.Time, e SlotRequested, room admission.Room) (refusal Refuse, refused bool) {
	r := q.admissionRequest(e)
	if refusal, refused := q.order.Arrive(now, r, room); refused {
		return Refuse{e.Ticket, NoRoom, refusal.RetryAfter}, true
	}
	q.requests[r.ID], q.ids[e.Ticket] = e, r.ID
	if !e.isBound() {
		q.unbound++
	}
	return Refuse{}, false
}

// remove forgets a request that the order does not hold any more, and returns it.
func (q *requestQueue) remove(id admission.ID) SlotRequested {
	e := q.requests[id]
	delete(q.requests, id)
	delete(q.ids, e.Ticket)
	delete(q.awaited, id)
	if !e.isBound() {
		q.unbound--
	}
	return e
}

// withdraw removes a request that needs no slot any more.
func (q *requestQueue) withdraw(t Ticket) {
	if id, found := q.ids[t]; found {
		q.order.Withdraw(id)
		q.remove(id)
	}
}

// all returns the requests in order of arrival.
func (q *requestQueue) all() []SlotRequested {
	requests := make([]SlotRequested, 0, len(q.requests))
	for _, id := range sortedKeys(q.requests) {
		requests = append(requests, q.requests[id])
	}
	return requests
}

// withdrawHost removes the requests of a host.
func (q *requestQueue) withdrawHost(id host.ID) {
	for t := range q.ids {
		if t.Host == id {
			q.withdraw(t)
		}
	}
}

// expireQueue refuses the queued requests that can't begin in time any more.
func (s *service) expireQueue(now time.Time) []Command {
	if s.queue.len() == 0 {
		return nil
	}
	var commands []Command
	for _, r := range s.queue.order.Expire(now, s.room(now, 1)) {
		commands = append(commands, Refuse{s.queue.remove(r.ID).Ticket, NoRoom, r.RetryAfter})
	}
	return commands
}

// drainQueue grants slots to queued requests in order until the first for which none is free. A request that not all endpoints may get
// does not hold up those behind it.
func (s *service) drainQueue(now time.Time) []Command {
	s.headPaced = false
	if s.queue.len() == 0 || s.awaitsCacheLists(now) {
		return nil
	}
	var commands []Command
	s.beginAwaiting()
	s.queue.order.Drain(now, func(id admission.ID, waited time.Duration) admission.Outcome {
		if a := s.queue.awaited[id]; a.worth(now) {
			s.await(a.engine)
			return admission.Skipped
		}
		e := s.queue.requests[id]
		c, ok := s.choose(now, e, waited)
		if c.awaited != nil && s.awaiting < maxAwaiting {
			s.queue.awaited[id] = awaitedEngine{engine: c.awaited, comparedAt: now}
			s.await(c.awaited)
			return admission.Skipped
		}
		if ok {
			s.queue.remove(id)
			commands = append(commands, s.grant(now, e, c, waited)...)
			return admission.Granted
		}
		s.headPaced = s.headPaced || c.paced
		if e.isBound() {
			return admission.Skipped
		}
		return admission.Full
	})
	return commands
}

// room returns what is known of the service's slots, on a host that may use a share of the limits.
func (s *service) room(now time.Time, share float64) admission.Room {
	slots := s.totalSlots()
	return admission.Room{
		Rate: s.rate(now, share), Slots: slots, MaxQueued: queuePerSlot * slots,
		Paced: s.paced(), MaxWait: maxPacedWait, MaxFirstWait: maxFirstPacedWait, MaxRetryAfter: maxPacedRetryAfter,
	}
}

// recentRoom returns a result of room that may be roomLifetime old, where no request waits for it.
func (s *service) recentRoom(now time.Time) admission.Room {
	if now.Sub(s.roomAt) > roomLifetime {
		s.roomLately, s.roomAt = s.room(now, 1), now
	}
	return s.roomLately
}
