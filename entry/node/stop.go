package node

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"balsamknot.org/balsamknot/event"
	"balsamknot.org/fleet/attempt"
	"balsamknot.org/fleet/drain"
	"balsamknot.org/fleet/pool"
	"balsamknot.org/fleet/timer"
)

// stopState is the state of the node's planned stop. It is safe for concurrent use.
type stopState struct {
	mu    sync.Mutex
	drain *drain.Drain
	// waits is the context of all waits for a slot, until they are asked again whether they may go on.
	waits    context.Context
	endWaits context.CancelFunc
}

const (
	// drainMargin is the time between the latest end of a drain and DrainLimit, after which the process may be killed.
	drainMargin = 700 * time.Millisecond
	// minDrain is the shortest time for which a draining host keeps serving, since the load balancer still sends it callers until
	// a readiness check has failed.
	minDrain = 2600 * time.Millisecond
	// minRunTime is the time that a draining host leaves a request that waited for a slot, and deadlineMargin the time between the deadline of
	// a request that it takes and the end of the drain.
	minRunTime     = 4 * time.Second
	deadlineMargin = 100 * time.Millisecond
	// drainPollInterval is the time between checks of a draining host for requests in flight.
	drainPollInterval = 50 * time.Millisecond
	// drainRetryAfter is the retry-after time of requests that a draining host refuses: another host takes them.
	drainRetryAfter = 50 * time.Millisecond
)

func newStopState() *stopState {
	s := &stopState{drain: drain.New(drain.Config{Notice: minDrain, RunTime: minRunTime, DeadlineMargin: deadlineMargin})}
	s.waits, s.endWaits = context.WithCancel(context.Background())
	return s
}

func (s *stopState) update(e drain.Event) drain.Command {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.drain.Update(timer.BootClock(), e)
}

// takes reports whether a request that was read to its end may go on.
func (s *stopState) takes(q *request) bool {
	_, take := s.update(drain.RequestRead{Deadline: q.deadline}).(drain.Take)
	return take
}

// mayWait reports whether a request that no endpoint has run may wait for a slot.
func (s *stopState) mayWait(deadline time.Time) bool {
	_, take := s.update(drain.SlotAwaited{Deadline: deadline}).(drain.Take)
	return take
}

// acquireSlot requests a slot for a request, and refuses it when the host is about to stop and the request may not end before. A request that
// an endpoint may have run goes on waiting, since its refusal could not say that it was not run.
func (n *Node) acquireSlot(q *request, a *attempt.Attempt, e pool.SlotRequested) (pool.Ticket, pool.Command) {
	if a.MayHaveRun() {
		return n.slots.acquire(q.r.Context(), e)
	}
	refuse, deadline := pool.Refuse{Reason: pool.HostStopping, RetryAfter: drainRetryAfter}, q.deadline
	if !n.stopping.mayWait(deadline) {
		return e.Ticket, refuse
	}
	ctx, cancel := context.WithCancel(q.r.Context())
	defer cancel()
	defer context.AfterFunc(n.stopping.waits, func() {
		if !n.stopping.mayWait(deadline) {
			cancel()
		}
	})()
	ticket, reply := n.slots.acquire(ctx, e)
	if reply == nil && ctx.Err() != nil && !q.disconnected() {
		return ticket, refuse
	}
	return ticket, reply
}

// drain stops the node from taking work, as planned. The readiness check starts to fail, so that the load balancer removes the host, and the
// other hosts are told that it leaves. drain returns when the state machine of package drain ends it.
func (n *Node) drain() {
	n.stopping.update(drain.Begun{Limit: n.settings.Load().DrainLimit - drainMargin})
	n.draining.Store(true)
	n.membership.leave()
	event.LogText(n.log, zerolog.InfoLevel, event.NodeDraining).Int64("InFlight", n.callers.inFlight.Load()).Send()
	for {
		time.Sleep(drainPollInterval)
		command := n.stopping.update(drain.Tick{InFlight: int(n.callers.inFlight.Load()) + n.paths.tunnelCount()})
		c, goOn := command.(drain.Continue)
		if !goOn {
			return
		}
		if c.CloseIdle {
			n.callers.closeIdle(timer.BootClock())
		}
		if c.EndWaits {
			n.stopping.endWaits()
		}
	}
}
