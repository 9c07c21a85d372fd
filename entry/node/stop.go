package node

import (
	"sync"
	"time"

	"github.com/rs/zerolog"

	"balsamknot.org/balsamknot/event"
	"balsamknot.org/fleet/drain"
	"balsamknot.org/fleet/timer"
)

// stopState is the state of the node's planned stop. It is safe for concurrent use.
type stopState struct {
	mu    sync.Mutex
	drain *drain.Drain
}

const (
	// drainMargin is the time between the latest end of a drain and DrainLimit, after which the process may be killed.
	drainMargin = 700 * time.Millisecond
	// minDrain is the shortest time for which a draining host keeps serving, since the load balancer still sends it callers until
	// a readiness check has failed.
	minDrain = 2600 * time.Millisecond
	// deadlineMargin is the time between the deadline of a request that a draining host takes and the end of the drain.
	deadlineMargin = 100 * time.Millisecond
	// drainPollInterval is the time between checks of a draining host for requests in flight.
	drainPollInterval = 50 * time.Millisecond
	// drainRetryAfter is the retry-after time of requests that a draining host refuses: another host takes them.
	drainRetryAfter = 50 * time.Millisecond
)

func newStopState() *stopState {
	return &stopState{drain: drain.New(drain.Config{Notice: minDrain, DeadlineMargin: deadlineMargin})}
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
	}
}
