package node

import (
	"sync"
	"time"

	"github.com/rs/zerolog"

	"balsamknot.org/balsamknot/event"
	"balsamknot.org/entry/peer"
	"balsamknot.org/fleet/endpoint"
	"balsamknot.org/fleet/engine"
	"balsamknot.org/fleet/fingerprint"
	"balsamknot.org/fleet/host"
	"balsamknot.org/fleet/timer"
)

// crashTracker finds requests that crash the endpoints that run them. A request is suspected when its answer was interrupted and
// its endpoint was then unreachable or had restarted.
type crashTracker struct {
	n *Node

	mu       sync.Mutex
	registry *fingerprint.Registry
	// interrupted holds the requests whose answers were interrupted, by endpoint, oldest first.
	interrupted map[endpoint.ID][]interruptedRun
}

type interruptedRun struct {
	fingerprint fingerprint.Fingerprint
	at          time.Time
}

const (
	// crashWindow is how long after the interruption of an answer the loss of its endpoint is attributed to the request.
	crashWindow = 3 * time.Second
	// minCrashInterval is the least time between two crashes that are recorded for one fingerprint: endpoints that fail at the
	// same moment have another cause than the request.
	minCrashInterval = 400 * time.Millisecond
)

func newCrashTracker(n *Node) *crashTracker {
	return &crashTracker{
		n: n, registry: fingerprint.NewRegistry(minCrashInterval), interrupted: make(map[endpoint.ID][]interruptedRun),
	}
}

// fingerprint returns the request's fingerprint. ok is false for requests without a body, which are too similar to be told apart.
func (q *request) fingerprint() (fp fingerprint.Fingerprint, ok bool) {
	if len(q.body) == 0 {
		return 0, false
	}
	return fingerprint.Of(string(q.service)+" "+string(q.workspace), q.r.Method, q.r.RequestURI, q.body), true
}

// blocked reports whether a request has crashed so many endpoints that it must not run again.
func (c *crashTracker) blocked(now time.Time, q *request) bool {
	fp, ok := q.fingerprint()
	if !ok {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.registry.Verdict(now, fp) == fingerprint.Blocked
}

// recordCompletion deletes the crashes recorded for a request that ran to its end, unless it is blocked.
func (c *crashTracker) recordCompletion(q *request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.registry.Len() == 0 {
		return
	}
	fp, ok := q.fingerprint()
	if !ok {
		return
	}
	if crashes := c.registry.RecordCompletion(timer.BootClock(), fp); crashes > 0 {
		q.logEvent(c.n.log, zerolog.InfoLevel, event.CrashesCleared).Uint64("Fingerprint", uint64(fp)).Int("Crashes", crashes).Send()
	}
}

// recordInterruption records that an endpoint's answer to a request was interrupted.
func (c *crashTracker) recordInterruption(now time.Time, id endpoint.ID, q *request) {
	fp, ok := q.fingerprint()
	if !ok {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.interrupted[id] = append(c.recentInterruptions(now, id), interruptedRun{fp, now})
	c.n.meter.recordInterruption()
	q.logEvent(c.n.log, zerolog.WarnLevel, event.RunInterrupted).Uint64("Fingerprint", uint64(fp)).Str("Endpoint", string(id)).
		Str("Cause", q.cause).Send()
}

// recentInterruptions returns the interruptions at an endpoint within crashWindow. mu must be held.
func (c *crashTracker) recentInterruptions(now time.Time, id endpoint.ID) []interruptedRun {
	runs := c.interrupted[id]
	for len(runs) > 0 && now.Sub(runs[0].at) > crashWindow {
		event.LogText(c.n.log, zerolog.InfoLevel, event.InterruptionDropped).Uint64("Fingerprint", uint64(runs[0].fingerprint)).
			Str("Endpoint", string(id)).Str("Reason", "no sign of a crash in time").Send()
		runs = runs[1:]
	}
	return runs
}

// endpointLost handles an endpoint that is unreachable or has restarted: it records a crash for each request that was recently
// interrupted there, and sends the recorded crashes to the other hosts.
func (c *crashTracker) endpointLost(now time.Time, id endpoint.ID) {
	c.mu.Lock()
	var recorded []peer.Crash
	for _, run := range c.recentInterruptions(now, id) {
		crash := fingerprint.Crash{Engine: engine.ID(id), Incarnation: run.at.UnixMilli()}
		if c.recordCrash(now, c.n.cfg.Host, run.fingerprint, crash) {
			recorded = append(recorded, peer.Crash{Fingerprint: run.fingerprint, Endpoint: id, AtMs: crash.Incarnation})
		}
	}
	delete(c.interrupted, id)
	c.mu.Unlock()
	if len(recorded) > 0 {
		c.n.membership.broadcast(peer.Datagram{Crashes: recorded})
	}
}

// recordCrash records and logs a crash that the host from observed, and returns false if the registry ignores it. mu must be held.
func (c *crashTracker) recordCrash(now time.Time, from host.ID, fp fingerprint.Fingerprint, crash fingerprint.Crash) bool {
	if !c.registry.RecordCrash(now, fp, crash) {
		return false
	}
	number := event.RequestSuspected
	if c.registry.Verdict(now, fp) == fingerprint.Blocked {
		number = event.RequestBlocked
	}
	event.LogText(c.n.log, zerolog.WarnLevel, number).Uint64("Fingerprint", uint64(fp)).Str("Endpoint", string(crash.Engine)).
		Str("From", string(from)).Send()
	c.n.meter.recordCrash(from == c.n.cfg.Host)
	return true
}

// handle records the crashes in a datagram from another host.
func (c *crashTracker) handle(d peer.Datagram) {
	if len(d.Crashes) == 0 {
		return
	}
	now := timer.BootClock()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, crash := range d.Crashes {
		c.recordCrash(now, d.From, crash.Fingerprint, fingerprint.Crash{Engine: engine.ID(crash.Endpoint), Incarnation: crash.AtMs, Alone: crash.Alone})
	}
}
