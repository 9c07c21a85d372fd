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
	"balsamknot.org/fleet/answer"
	"balsamknot.org/fleet/engine"
	"balsamknot.org/fleet/fingerprint"
	"balsamknot.org/fleet/host"
	"balsamknot.org/fleet/keeper"
	"balsamknot.org/fleet/placement"
)

const (
	probeInterval = time.Second
	probeTimeout  = 900 * time.Millisecond
	// downThreshold is the number of consecutive failed probes after which an endpoint gets no new requests.
	downThreshold = 2
	// downReportLifetime is how long entries exclude an endpoint after a report that it is down.
	downReportLifetime = 2 * time.Second
)

// keeperController runs the endpoints that this node keeps: it feeds events to the admission state machine, hands its decisions
// to the waiting requests and probes the endpoints. A node keeps an endpoint when it is the host through which all requests to
// the endpoint pass.
type keeperController struct {
	n *Node

	mu             sync.Mutex
	admission      *keeper.Keeper
	lastTicket     keeper.Ticket
	waiters        map[keeper.Ticket]chan keeper.Command
	endpoints      map[engine.ID]*keptEndpoint
	pooledClient   *http.Client
	unpooledClient *http.Client
	// downReportedAt holds when each endpoint was last reported down, by this node or by gossip.
	downReportedAt map[engine.ID]time.Time
	// polledLoads holds the number of running requests that the least-loaded baseline last read from each endpoint.
	polledLoads map[engine.ID]int
}

// keptEndpoint is the state of an endpoint that the admission state machine does not hold.
type keptEndpoint struct {
	record        engine.Record
	cancelProbe   func()
	probeFailures int
	// lastCacheEvent is the sequence number of the last cache event that a probe read.
	lastCacheEvent uint64
	// running counts the running tries by fingerprint. lostAt is when the endpoint last failed while it ran a request.
	running map[fingerprint.Fingerprint]int
	lostAt  time.Time
}

func newKeeperController(n *Node) *keeperController {
	return &keeperController{
		n: n, admission: keeper.New(), waiters: make(map[keeper.Ticket]chan keeper.Command), endpoints: make(map[engine.ID]*keptEndpoint),
		polledLoads:    make(map[engine.ID]int),
		downReportedAt: make(map[engine.ID]time.Time),
		pooledClient:   &http.Client{Transport: answer.Transport{Base: endpointTransport(false)}},
		unpooledClient: &http.Client{Transport: answer.Transport{Base: endpointTransport(true)}},
	}
}

// Limits of the connections to one endpoint. Idle ones are closed after endpointIdleTimeout, because the endpoint may have
// disappeared without closing them.
const (
	endpointIdleTimeout  = 10 * time.Second
	maxIdleEndpointConns = 256
	// maxAnswerHeaderBytes limits the status line and the headers of an answer.
	maxAnswerHeaderBytes = 64 << 10
)

// endpointTransport returns a transport for requests to endpoints. With singleUse every request gets a new connection: it can't
// be sent on a connection that no longer responds, and net/http never resends it, which it does only on reused connections.
func endpointTransport(singleUse bool) *http.Transport {
	return &http.Transport{
		DialContext:           countingDial(nil),
		DisableKeepAlives:     singleUse,
		DisableCompression:    true,
		MaxIdleConnsPerHost:   maxIdleEndpointConns,
		IdleConnTimeout:       endpointIdleTimeout,
		ExpectContinueTimeout: time.Second,

		MaxResponseHeaderBytes: maxAnswerHeaderBytes,
	}
}

// update applies one event to the admission state machine and delivers the resulting decisions.
func (k *keeperController) update(e keeper.Event) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.dispatch(k.admission.Update(k.n.timers.Now(), e))
}

// dispatch delivers each command to the request that waits for it. It is called with mu held.
func (k *keeperController) dispatch(commands []keeper.Command) {
	for _, command := range commands {
		ticket := ticketOf(command)
		if waiter := k.waiters[ticket]; waiter != nil {
			delete(k.waiters, ticket)
			waiter <- command
		}
	}
}

// ticketOf returns the ticket of the request that a command decides on.
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

// requestSlot requests a slot and waits for the decision. If ctx ends first it withdraws the request, or releases the slot if it
// was granted meanwhile, and returns a redirect.
func (k *keeperController) requestSlot(ctx context.Context, e keeper.RequestArrived) (keeper.Ticket, keeper.Command) {
	decision := make(chan keeper.Command, 1)
	k.mu.Lock()
	k.lastTicket++
	e.Ticket = k.lastTicket
	k.waiters[e.Ticket] = decision
	k.dispatch(k.admission.Update(k.n.timers.Now(), e))
	k.mu.Unlock()
	select {
	case command := <-decision:
		return e.Ticket, command
	case <-ctx.Done():
		k.mu.Lock()
		delete(k.waiters, e.Ticket)
		k.dispatch(k.admission.Update(k.n.timers.Now(), keeper.RequestAbandoned{Ticket: e.Ticket}))
		k.mu.Unlock()
		return e.Ticket, keeper.Redirect{Ticket: e.Ticket, Reason: keeper.OverBound}
	}
}

func (k *keeperController) tick(time.Time) { k.update(keeper.Ticked{}) }

// keeperOf returns the keeper of an endpoint by this node's view of the fleet: the live host of the endpoint's region, or of
// any region if that has none, that rendezvous hashing ranks first. With standby it returns the host that ranks second, if any.
func (k *keeperController) keeperOf(id engine.ID, region host.Region, standby bool) (host.ID, bool) {
	const choices = 2
	ranked := placement.Rank("keep/"+string(id), k.n.members.live(region), choices)
	if len(ranked) == 0 {
		ranked = placement.Rank("keep/"+string(id), k.n.members.live(""), choices)
	}
	switch {
	case len(ranked) == 0:
		return "", false
	case standby && len(ranked) > 1:
		return ranked[1], true
	}
	return ranked[0], true
}

// updateAssignments applies the pool settings in force, withdraws the endpoints that this node no longer keeps and assigns
// those that it now keeps. It is called when a host changes state or a document comes into force.
func (k *keeperController) updateAssignments() {
	current := k.n.documents.snapshot()
	assigned := make(map[engine.ID]engine.Record)
	for id, record := range current.endpoints {
		if keeperID, ok := k.keeperOf(id, record.Region, false); ok && keeperID == k.n.self.ID {
			assigned[id] = record
		}
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.n.timers.Now()
	for pool := range current.objects.EnginePools {
		cfg := current.objects.PoolConfig(pool)
		k.n.applyBaseline(&cfg)
		k.dispatch(k.admission.Update(now, keeper.PoolConfigured{Pool: pool, Config: cfg}))
	}
	for id := range k.endpoints {
		if _, ok := assigned[id]; !ok {
			k.withdraw(now, id)
		}
	}
	for id, record := range assigned {
		k.assign(now, id, record)
	}
}

func (k *keeperController) withdraw(now time.Time, id engine.ID) {
	k.endpoints[id].cancelProbe()
	delete(k.endpoints, id)
	k.dispatch(k.admission.Update(now, keeper.EngineWithdrawn{Engine: id}))
	event.Log(k.n.log, zerolog.DebugLevel, event.KeeperWithdrawn).Str("Endpoint", string(id)).Msg(event.Text(event.KeeperWithdrawn))
}

func (k *keeperController) assign(now time.Time, id engine.ID, record engine.Record) {
	e := k.endpoints[id]
	if e == nil {
		e = &keptEndpoint{running: make(map[fingerprint.Fingerprint]int)}
		k.endpoints[id] = e
		e.cancelProbe = k.n.timers.Every(probeInterval, func(time.Time, time.Duration) { k.probe(id) })
		k.n.work.Go(func() { k.probe(id) })
		event.Log(k.n.log, zerolog.DebugLevel, event.KeeperAssigned).Str("Endpoint", string(id)).Msg(event.Text(event.KeeperAssigned))
	}
	e.record = record
	k.dispatch(k.admission.Update(now, keeper.EngineAssigned{Engine: id, Pool: record.Pool}))
	leaving := record.Leaving || e.probeFailures >= downThreshold
	k.dispatch(k.admission.Update(now, keeper.EngineLeaving{Engine: id, Leaving: leaving}))
}

// startTry records a running try on an endpoint; the returned function removes it.
func (k *keeperController) startTry(id engine.ID, fp fingerprint.Fingerprint) func() {
	k.mu.Lock()
	defer k.mu.Unlock()
	e := k.endpoints[id]
	if e == nil {
		return func() {}
	}
	e.running[fp]++
	return func() {
		k.mu.Lock()
		defer k.mu.Unlock()
		if e.running[fp]--; e.running[fp] <= 0 {
			delete(e.running, fp)
		}
	}
}

// markDown stops new requests to an endpoint that accepts no connection, until a probe succeeds. It records no crash: the request
// that met the failure was not sent to the endpoint.
func (k *keeperController) markDown(id engine.ID) {
	k.mu.Lock()
	defer k.mu.Unlock()
	e := k.endpoints[id]
	if e == nil || e.probeFailures >= downThreshold {
		return
	}
	e.probeFailures = downThreshold
	k.dispatch(k.admission.Update(k.n.timers.Now(), keeper.EngineLeaving{Engine: id, Leaving: true}))
	event.Log(k.n.log, zerolog.WarnLevel, event.EndpointLost).Str("Endpoint", string(id)).Int("Running", 0).Msg(event.Text(event.EndpointLost))
}

// markLost stops new requests to an endpoint that failed and records a crash for each request that ran on it. When several tries
// report the same failure, only the first has an effect: the others started before lostAt.
func (k *keeperController) markLost(id engine.ID, tryStartedAt time.Time) {
	now := k.n.timers.Now()
	k.mu.Lock()
	e := k.endpoints[id]
	if e == nil || e.lostAt.After(tryStartedAt) {
		k.mu.Unlock()
		return
	}
	e.lostAt = now
	e.probeFailures = downThreshold
	fingerprints := slices.Sorted(maps.Keys(e.running))
	k.mu.Unlock()
	event.Log(k.n.log, zerolog.WarnLevel, event.EndpointLost).Str("Endpoint", string(id)).Int("Running", len(fingerprints)).Msg(event.Text(event.EndpointLost))
	// The crashes are recorded before the queue is redirected, so that the decline frames of queued requests carry them.
	k.n.crashes.recordEndpointLost(now, id, fingerprints)
	k.update(keeper.EngineLeaving{Engine: id, Leaving: true})
	k.n.crashes.broadcast()
}

// averageLoad returns the exponential average of a kept endpoint's load, with a time constant of one second.
func (k *keeperController) averageLoad(id engine.ID) float64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.admission.AverageLoad(k.n.timers.Now(), id)
}

func (k *keeperController) engineLoads() []keeper.EngineLoad {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.admission.Engines(k.n.timers.Now())
}

// close stops the probes and closes the idle connections to endpoints.
func (k *keeperController) close() {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, e := range k.endpoints {
		e.cancelProbe()
	}
	k.pooledClient.CloseIdleConnections()
}

func (k *keeperController) polledLoad(id engine.ID) int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.polledLoads[id]
}

func (k *keeperController) recordPolledLoad(id engine.ID, running int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.polledLoads[id] = running
}
