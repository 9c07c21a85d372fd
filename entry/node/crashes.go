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
	"balsamknot.org/fleet/timer"
)

// crashes finds requests that crash the endpoints that run them. A request is under suspicion when its answer broke off and
// its endpoint could then not be reached, or was started anew.
type crashes struct {
	n *Node

	mu       sync.Mutex
	registry *fingerprint.Registry
	// broken holds what ran at an endpoint when its answer broke off.
	broken map[endpoint.ID][]brokenRun
}

type brokenRun struct {
	print fingerprint.Fingerprint
	at    time.Time
}

const (
	// crashWindow is how long after an answer broke off its endpoint's loss is put down to it.
	crashWindow = 3 * time.Second
	// crashGap is the least time between two crashes that count for one print: endpoints that fall at the same moment fall
	// of something else.
	crashGap = 400 * time.Millisecond
)

func newCrashes(n *Node) *crashes {
	return &crashes{
		n: n, registry: fingerprint.NewRegistry(crashGap), broken: make(map[endpoint.ID][]brokenRun),
	}
}

// print returns a request's fingerprint. Requests without a body are too alike to be told apart; ok is false for them.
func (q *request) print() (p fingerprint.Fingerprint, ok bool) {
	if len(q.body) == 0 {
		return 0, false
	}
	return fingerprint.Of(string(q.service)+" "+string(q.workspace), q.r.Method, q.r.RequestURI, q.body), true
}

// condemned reports whether a request has crashed so many endpoints that it may run no more.
func (c *crashes) condemned(now time.Time, q *request) bool {
	p, ok := q.print()
	if !ok {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.registry.Verdict(now, p) == fingerprint.Blocked
}

// survived clears a request that ran to its end.
func (c *crashes) survived(q *request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.registry.Len() == 0 {
		return
	}
	if p, ok := q.print(); ok {
		c.registry.RecordCompletion(p)
	}
}

// broke notes that an endpoint's answer broke off.
func (c *crashes) broke(now time.Time, id endpoint.ID, q *request) {
	p, ok := q.print()
	if !ok {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.broken[id] = append(c.recent(now, id), brokenRun{p, now})
}

// recent returns what broke off at an endpoint of late; mu is held.
func (c *crashes) recent(now time.Time, id endpoint.ID) []brokenRun {
	runs := c.broken[id]
	for len(runs) > 0 && now.Sub(runs[0].at) > crashWindow {
		runs = runs[1:]
	}
	return runs
}

// lost notes that an endpoint can't be reached, or was started anew, and tells the other hosts what ran there.
func (c *crashes) lost(now time.Time, id endpoint.ID) {
	c.mu.Lock()
	var found []peer.Crash
	for _, run := range c.recent(now, id) {
		crash := fingerprint.Crash{Engine: engine.ID(id), AtMs: run.at.UnixMilli()}
		if c.note(now, run.print, crash) {
			found = append(found, peer.Crash{Fingerprint: run.print, Endpoint: id, AtMs: crash.AtMs})
		}
	}
	delete(c.broken, id)
	c.mu.Unlock()
	if len(found) > 0 {
		c.n.members.broadcast(peer.Datagram{Crashes: found})
	}
}

// note takes a crash into the registry, and reports whether it counts; mu is held.
func (c *crashes) note(now time.Time, p fingerprint.Fingerprint, crash fingerprint.Crash) bool {
	if !c.registry.RecordCrash(now, p, crash) {
		return false
	}
	number := event.RequestSuspected
	if c.registry.Verdict(now, p) == fingerprint.Blocked {
		number = event.RequestBlocked
	}
	event.LogText(c.n.log, zerolog.WarnLevel, number).Uint64("Fingerprint", uint64(p)).Str("Endpoint", string(crash.Engine)).Send()
	return true
}

// handle takes in crashes that other hosts tell of.
func (c *crashes) handle(d peer.Datagram) {
	if len(d.Crashes) == 0 {
		return
	}
	now := timer.BootClock()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, crash := range d.Crashes {
		c.note(now, crash.Fingerprint, fingerprint.Crash{Engine: engine.ID(crash.Endpoint), AtMs: crash.AtMs, Alone: crash.Alone})
	}
}
