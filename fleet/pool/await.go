package pool

import "time"

const (
	// maxAwaiting is how many requests of the queue may wait for a certain engine while those behind them are served.
	maxAwaiting = 64
	// awaitShare bounds the wait for a certain engine, as a share of the objective, or of the time left of a request without one.
	awaitShare = 0.25
	// awaitInterval is how often a request that waits for a certain engine compares it with the others again, while that engine has no free slot.
	awaitInterval = 50 * time.Millisecond
)

// awaitedEngine is the engine that a request waits for, and when it was last compared with the others.
type awaitedEngine struct {
	engine     *endpointState
	comparedAt time.Time
}

// worth reports whether the request goes on waiting without another comparison: with each slot that is released, all that wait would cost one.
func (a awaitedEngine) worth(now time.Time) bool {
	st := a.engine
	return st != nil && now.Sub(a.comparedAt) < awaitInterval && st.running >= st.slots(1) && st.takesRequests() && !st.suspect(now)
}

// A request whose prefix is cached at an engine without a free slot waits for the next one there, if reading the prefix again elsewhere would cost
// more: the one who reads, and the requests beside it. Each that waits makes the next one's wait longer, and an engine that ends nothing makes it
// longer too, so that no request waits for much longer than reading takes.

// considerAwaiting compares waiting for the next slot of an engine that has none. At one which only the load limit keeps from another request there
// is no lack of room elsewhere: the prefix is read at a second engine, as long as that is cheap. An engine that has ended nothing yet does not tell how long
// a slot takes.
func (s *service) considerAwaiting(sc *scan, st *endpointState) {
	if st.work.endedAt.IsZero() || st.running < st.capacity(sc.share, sc.isEngine) || !st.takesRequests() || st.isPaced() || st.suspect(sc.now) || sc.now.Before(st.pausedUntil) || !sc.request.accepts(st.record) {
		return
	}
	waitMs := s.slotWaitMs(sc.now, st)
	if waitMs > sc.awaitLimitMs {
		return
	}
	cost := sc.engineCost(sc, st, st.missingTokens(sc.now, sc.request.Prompt)) + waitMs
	if sc.awaited == nil || cost < sc.awaitedCost {
		sc.awaited, sc.awaitedCost = st, cost
	}
}

// awaitLimitMs returns how long a request that has waited may still be expected to wait for a certain engine, in milliseconds. While more is asked
// than there is room for, the queue refuses those who wait for longer.
func awaitLimitMs(e SlotRequested, waited time.Duration) float64 {
	limit := e.Objective
	if limit == 0 {
		limit = e.TimeLeft
	}
	return awaitShare*milliseconds(limit) - milliseconds(waited)
}

// slotWaitMs returns how long a request waits for a slot at an engine that has none, behind those that wait for it already, in milliseconds.
func (s *service) slotWaitMs(now time.Time, st *endpointState) float64 {
	interval := max(milliseconds(s.queue.meanHoldTime())*st.slowdown.factor(now)/float64(st.running), milliseconds(now.Sub(st.work.endedAt)))
	behind := 0
	if st.work.drain == s.drains {
		behind = st.work.awaiting
	}
	return interval * float64(behind+1)
}

// awaits reports whether the request waits for an engine although another one is free.
func (sc *scan) awaits() bool {
	return sc.awaited != nil && !sc.bestCost.suspect && sc.awaitedCost < sc.bestCost.amount
}

// await counts a request that waits for an engine.
func (s *service) await(st *endpointState) {
	if st.work.drain != s.drains {
		st.work.drain, st.work.awaiting = s.drains, 0
	}
	st.work.awaiting++
	s.awaiting++
}

// beginAwaiting begins a pass over the queue.
func (s *service) beginAwaiting() {
	s.drains++
	s.awaiting = 0
}
