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
	mu       sync.Mutex
	drain    *drain.Drain
	runTimes *drain.RunTimes
	// waits is the context of all waits for a slot, until they are asked again whether they may go on.
	waits    context.Context
	endWaits context.CancelFunc
}

const (
	// drainMargin is the time between the latest end of a drain and DrainLimit, after which the process may be killed. The steps that follow
	// the drain have this time, less exitReserve for the end of the process itself.
	drainMargin = 700 * time.Millisecond
	exitReserve = 250 * time.Millisecond
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

// Time limits of the steps of a stop.
const (
	announceLimit    = 100 * time.Millisecond
	closeLimit       = 50 * time.Millisecond
	backgroundLimit  = 100 * time.Millisecond
	drainLimitBuffer = 2 * drainPollInterval
)

func newStopState() *stopState {
	s := &stopState{
		drain:    drain.New(drain.Config{Notice: minDrain, RunTime: minRunTime, DeadlineMargin: deadlineMargin}),
		runTimes: drain.NewRunTimes(),
	}
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
	_, take := s.update(drain.RequestRead{Run: s.run(q)}).(drain.Take)
	return take
}

// mayWait reports whether a request that no endpoint has run may wait for a slot.
func (s *stopState) mayWait(run drain.Run) bool {
	_, take := s.update(drain.SlotAwaited{Run: run}).(drain.Take)
	return take
}

// run returns what is known of when a request ends.
func (s *stopState) run(q *request) drain.Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	run := drain.Run{Deadline: q.deadline}
	if s.drain.Begun() {
		run.Usual = s.runTimes.Usual(q.route.Name)
	}
	return run
}

// noteCompletion records how long a complete answer took.
func (s *stopState) noteCompletion(now time.Time, q *request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runTimes.Note(now, q.route.Name, now.Sub(q.start))
}

// forgetRoutes removes the run times of routes that have had no answer for long.
func (s *stopState) forgetRoutes(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runTimes.Forget(now)
}

// acquireSlot requests a slot for a request, and refuses it when the host is about to stop and the request may not end before. A request that
// an endpoint may have run goes on waiting, since its refusal could not say that it was not run.
func (n *Node) acquireSlot(q *request, a *attempt.Attempt, e pool.SlotRequested) (pool.Ticket, pool.Command) {
	if a.MayHaveRun() {
		return n.slots.acquire(q.r.Context(), e)
	}
	refuse, run := pool.Refuse{Reason: pool.HostStopping, RetryAfter: drainRetryAfter}, n.stopping.run(q)
	if !n.stopping.mayWait(run) {
		return e.Ticket, refuse
	}
	ctx, cancel := context.WithCancel(q.r.Context())
	defer cancel()
	defer context.AfterFunc(n.stopping.waits, func() {
		if !n.stopping.mayWait(n.stopping.run(q)) {
			cancel()
		}
	})()
	ticket, reply := n.slots.acquire(ctx, e)
	if reply == nil && ctx.Err() != nil && !q.disconnected() {
		return ticket, refuse
	}
	return ticket, reply
}

// shutDown stops the node as planned: it drains, and ends what Run started. Each step has a time limit, so that the process ends before
// DrainLimit even if one of them hangs.
func (n *Node) shutDown() {
	start := timer.BootClock()
	limit := n.settings.Load().DrainLimit
	n.stopping.update(drain.Begun{Limit: limit - drainMargin})
	n.draining.Store(true)
	event.LogText(n.log, zerolog.InfoLevel, event.NodeDraining).Int64("InFlight", n.callers.inFlight.Load()).Send()
	s := drain.NewSequence(drain.SequenceConfig{Now: timer.BootClock, End: start.Add(limit - exitReserve), Report: n.logStep})
	s.Run(
		drain.Step{Name: "announce", Limit: announceLimit, Run: n.membership.leave},
		drain.Step{Name: "drain", Limit: limit - drainMargin + drainLimitBuffer, Run: n.drain},
	)
	cut := n.callers.inFlight.Load()
	s.Run(
		drain.Step{Name: "callers", Limit: closeLimit, Run: n.closeServers},
		drain.Step{Name: "connections", Limit: closeLimit, Run: n.closeConnections},
		drain.Step{Name: "background", Limit: backgroundLimit, Run: n.wg.Wait},
	)
	event.LogText(n.log, zerolog.InfoLevel, event.NodeStopped).Int64("InFlight", cut).Send()
	s.Run(n.finalSteps...)
}

func (n *Node) logStep(r drain.StepResult) {
	level := zerolog.InfoLevel
	if !r.Completed {
		level = zerolog.WarnLevel
	}
	event.LogText(n.log, level, event.StopStepEnded).Str("Step", r.Step).Bool("Completed", r.Completed).Dur("TookMs", r.Took).Send()
}

// drain serves callers until the state machine of package drain ends it.
func (n *Node) drain() {
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

func (n *Node) closeServers() {
	for _, server := range n.servers {
		_ = server.Close()
	}
}

// closeConnections closes the connections to other hosts and to endpoints, and ends what uses them.
func (n *Node) closeConnections() {
	n.endBackground()
	_ = n.membership.socket.Close()
	n.endpointConns.Close()
	n.paths.closeTunnels()
}
