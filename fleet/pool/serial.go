package pool

import "time"

// SerialKey marks requests of which at most one is at the endpoints of a service at a time, since they may crash endpoints. 0 marks
// requests without this limit.
type SerialKey uint64

// serialPause is how long after a run without an answer no other request with its SerialKey gets a slot. Hosts learn within it
// whether the endpoint crashed.
const serialPause = 2 * time.Second

// serialRun is the latest request with a SerialKey that got a slot or was queued for one.
type serialRun struct {
	ticket Ticket
	// until is when the next request may follow a run without an answer; zero before its end and after an answer.
	until time.Time
}

// serialRuns holds the latest run of each SerialKey.
type serialRuns map[SerialKey]serialRun

// begin notes that a request got a slot or was queued.
func (r serialRuns) begin(key SerialKey, ticket Ticket) {
	if key != 0 {
		r[key] = serialRun{ticket: ticket}
	}
}

// end notes the result of a run.
func (r serialRuns) end(now time.Time, key SerialKey, ticket Ticket, result Result) {
	run, ok := r[key]
	if !ok || run.ticket != ticket {
		return
	}
	switch result {
	case Completed, Failed, Rejected:
		delete(r, key)
	case Unknown, ConnectionFailed, TimedOut:
		run.until = now.Add(serialPause)
		r[key] = run
	}
}

// serialWait returns how long a request must wait for another one with its SerialKey, as an estimate if that one has not ended; 0 if
// it may run.
func (s *service) serialWait(now time.Time, key SerialKey) time.Duration {
	run, ok := s.serial[key]
	switch {
	case !ok:
		return 0
	case s.heldSlots[run.ticket] != nil || s.queue.contains(run.ticket):
		return clampRetryAfter(s.queue.meanHoldTime())
	}
	return max(run.until.Sub(now), 0)
}

// deleteEndedSerialRuns deletes the runs that no request has to wait for.
func (s *service) deleteEndedSerialRuns(now time.Time) {
	for key := range s.serial {
		if s.serialWait(now, key) == 0 {
			delete(s.serial, key)
		}
	}
}
