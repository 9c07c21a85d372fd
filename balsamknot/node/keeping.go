package node

import (
	"context"
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"balsamknot.org/balsamknot/event"
	"balsamknot.org/fleet/engine"
	"balsamknot.org/fleet/fingerprint"
	"balsamknot.org/fleet/host"
	"balsamknot.org/fleet/keeper"
	"balsamknot.org/fleet/placement"
)

const (
	probeInterval = time.Second
	probeTimeout  = 900 * time.Millisecond
	// downAfter is how many probes in a row must fail before an endpoint gets no new work.
	downAfter = 2
	// downLifetime is how long a report of an endpoint that is down counts.
	downLifetime = 2 * time.Second
)

// keeping is the controller of the endpoints that this node keeps.
type keeping struct {
	n *Node

	mu      sync.Mutex
	machine *keeper.Keeper
	next    keeper.Ticket
	waiting map[keeper.Ticket]chan keeper.Command
	kept    map[engine.ID]*kept
	pooled  *http.Client
	fresh   *http.Client
	// lastDown holds when an endpoint was last told to be down.
	lastDown map[engine.ID]time.Time
	// reports holds the last load that the least-loaded baseline read of each endpoint.
	reports map[engine.ID]int
}

// kept is what the node holds of an endpoint beside the decisions.
type kept struct {
	record      engine.Record
	cancelProbe func()
	failures    int
	// events is the number of the last cache event read.
	events uint64
	// running counts the tries on the endpoint by fingerprint, and lostAt is when it was last lost.
	running map[fingerprint.Fingerprint]int
	lostAt  time.Time
}

func newKeeping(n *Node) *keeping {
	return &keeping{
		n: n, machine: keeper.New(), waiting: make(map[keeper.Ticket]chan keeper.Command), kept: make(map[engine.ID]*kept),
		reports:  make(map[engine.ID]int),
		lastDown: make(map[engine.ID]time.Time),
		pooled:   &http.Client{Transport: endpointTransport(false)},
		fresh:    &http.Client{Transport: endpointTransport(true)},
	}
}

// endpointIdle bounds how long an unused connection is trusted.
const (
	endpointIdle        = 10 * time.Second
	endpointConnections = 256
)

// endpointTransport connects to endpoints. A fresh one uses each connection once: it never meets one that has
// gone silent, and net/http sends nothing twice on it.
func endpointTransport(fresh bool) *http.Transport {
	return &http.Transport{
		DialContext:           countingDial(nil),
		DisableKeepAlives:     fresh,
		DisableCompression:    true,
		MaxIdleConnsPerHost:   endpointConnections,
		IdleConnTimeout:       endpointIdle,
		ExpectContinueTimeout: time.Second,
	}
}

// update applies one event and hands the commands that follow to whoever waits for them.
func (k *keeping) update(e keeper.Event) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.dispatch(k.machine.Update(k.n.timers.Now(), e))
}

func (k *keeping) dispatch(commands []keeper.Command) {
	for _, command := range commands {
		ticket := ticketOf(command)
		if waiter := k.waiting[ticket]; waiter != nil {
			delete(k.waiting, ticket)
			waiter <- command
		}
	}
}

func ticketOf(command keeper.Command) keeper.Ticket {
	switch c := command.(type) {
	case keeper.Admit:
		return c.Ticket
	case keeper.Redirect:
		return c.Ticket
	case keeper.Refuse:
		return c.Ticket
	}
	return 0
}

// arrive asks for a place and waits for the decision.
func (k *keeping) arrive(ctx context.Context, e keeper.RequestArrived) (keeper.Ticket, keeper.Command) {
	decided := make(chan keeper.Command, 1)
	k.mu.Lock()
	k.next++
	e.Ticket = k.next
	k.waiting[e.Ticket] = decided
	k.dispatch(k.machine.Update(k.n.timers.Now(), e))
	k.mu.Unlock()
	select {
	case command := <-decided:
		return e.Ticket, command
	case <-ctx.Done():
		k.mu.Lock()
		delete(k.waiting, e.Ticket)
		k.dispatch(k.machine.Update(k.n.timers.Now(), keeper.RequestAbandoned{Ticket: e.Ticket}))
		k.mu.Unlock()
		return e.Ticket, keeper.Redirect{Ticket: e.Ticket, Reason: keeper.OverBound}
	}
}

func (k *keeping) tick(time.Time) { k.update(keeper.Ticked{}) }

// keeperOf returns the host that keeps an endpoint by this node's view; alternate gives the second in line.
func (k *keeping) keeperOf(id engine.ID, region host.Region, alternate bool) (host.ID, bool) {
	const choices = 2
	ranked := placement.Rank("keep/"+string(id), k.n.members.live(region), choices)
	if len(ranked) == 0 {
		ranked = placement.Rank("keep/"+string(id), k.n.members.live(""), choices)
	}
	switch {
	case len(ranked) == 0:
		return "", false
	case alternate && len(ranked) > 1:
		return ranked[1], true
	}
	return ranked[0], true
}

// reassign takes up and hands over endpoints after the view, the list or the set changed.
func (k *keeping) reassign() {
	current := k.n.documents.snapshot()
	mine := make(map[engine.ID]engine.Record)
	for id, record := range current.endpoints {
		if owner, ok := k.keeperOf(id, record.Region, false); ok && owner == k.n.self.ID {
			mine[id] = record
		}
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.n.timers.Now()
	for pool := range current.objects.EnginePools {
		cfg := current.objects.PoolConfig(pool)
		k.n.applyBaseline(&cfg)
		k.dispatch(k.machine.Update(now, keeper.PoolConfigured{Pool: pool, Config: cfg}))
	}
	for id := range k.kept {
		if _, ok := mine[id]; !ok {
			k.handOver(now, id)
		}
	}
	for id, record := range mine {
		k.takeUp(now, id, record)
	}
}

func (k *keeping) handOver(now time.Time, id engine.ID) {
	k.kept[id].cancelProbe()
	delete(k.kept, id)
	k.dispatch(k.machine.Update(now, keeper.EngineWithdrawn{Engine: id}))
	event.Log(k.n.log, zerolog.DebugLevel, event.KeeperWithdrawn).Str("Endpoint", string(id)).Msg(event.Text(event.KeeperWithdrawn))
}

func (k *keeping) takeUp(now time.Time, id engine.ID, record engine.Record) {
	e := k.kept[id]
	if e == nil {
		e = &kept{running: make(map[fingerprint.Fingerprint]int)}
		k.kept[id] = e
		e.cancelProbe = k.n.timers.Every(probeInterval, func(time.Time, time.Duration) { k.probe(id) })
		k.n.work.Go(func() { k.probe(id) })
		event.Log(k.n.log, zerolog.DebugLevel, event.KeeperAssigned).Str("Endpoint", string(id)).Msg(event.Text(event.KeeperAssigned))
	}
	e.record = record
	k.dispatch(k.machine.Update(now, keeper.EngineAssigned{Engine: id, Pool: record.Pool}))
	leaving := record.Leaving || e.failures >= downAfter
	k.dispatch(k.machine.Update(now, keeper.EngineLeaving{Engine: id, Leaving: leaving}))
}

// begin notes a try on an endpoint; the function returned ends it.
func (k *keeping) begin(id engine.ID, p fingerprint.Fingerprint) func() {
	k.mu.Lock()
	defer k.mu.Unlock()
	e := k.kept[id]
	if e == nil {
		return func() {}
	}
	e.running[p]++
	return func() {
		k.mu.Lock()
		defer k.mu.Unlock()
		if e.running[p]--; e.running[p] <= 0 {
			delete(e.running, p)
		}
	}
}

// endpointDown stops new work for an endpoint that takes no connection, until a probe reaches it. Nothing that was not
// sent to it is suspected.
func (k *keeping) endpointDown(id engine.ID) {
	k.mu.Lock()
	defer k.mu.Unlock()
	e := k.kept[id]
	if e == nil || e.failures >= downAfter {
		return
	}
	e.failures = downAfter
	k.dispatch(k.machine.Update(k.n.timers.Now(), keeper.EngineLeaving{Engine: id, Leaving: true}))
	event.Log(k.n.log, zerolog.WarnLevel, event.EndpointLost).Str("Endpoint", string(id)).Int("Running", 0).Msg(event.Text(event.EndpointLost))
}

// endpointLost suspects everything that ran on an endpoint, once a loss.
func (k *keeping) endpointLost(id engine.ID, tryBegan time.Time) {
	now := k.n.timers.Now()
	k.mu.Lock()
	e := k.kept[id]
	if e == nil || e.lostAt.After(tryBegan) {
		k.mu.Unlock()
		return
	}
	e.lostAt = now
	e.failures = downAfter
	prints := slices.Sorted(maps.Keys(e.running))
	k.mu.Unlock()
	event.Log(k.n.log, zerolog.WarnLevel, event.EndpointLost).Str("Endpoint", string(id)).Int("Running", len(prints)).Msg(event.Text(event.EndpointLost))
	// Suspicion comes before the queue is sent on: what leaves here carries it along.
	k.n.suspects.recordEndpointLost(now, id, prints)
	k.update(keeper.EngineLeaving{Engine: id, Leaving: true})
	k.n.suspects.broadcast()
}

// average returns a kept endpoint's load over about a second.
func (k *keeping) average(id engine.ID) float64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.machine.AverageLoad(k.n.timers.Now(), id)
}

func (k *keeping) engines() []keeper.EngineLoad {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.machine.Engines(k.n.timers.Now())
}

func (k *keeping) close() {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, e := range k.kept {
		e.cancelProbe()
	}
	k.pooled.CloseIdleConnections()
}

func (k *keeping) lastReport(id engine.ID) int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.reports[id]
}

func (k *keeping) noteReport(id engine.ID, running int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.reports[id] = running
}
