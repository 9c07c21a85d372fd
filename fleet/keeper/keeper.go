// Package keeper implements admission control for endpoints (engines). The keeper of an endpoint is the host through
// which all requests to it pass. Its count of running requests is exact as long as all hosts agree on who the keeper is.
//
// The load bound follows Mirrokni, Thorup and Zadimoghaddam, "Consistent Hashing with Bounded Loads", 2018. The mean load
// in that bound is estimated from the loads that the other keepers send by gossip.
//
// The hosts of balsamknot use this package; package pool is the counterpart for the hosts of the command entry.
package keeper

import (
	"cmp"
	"slices"
	"time"

	"balsamknot.org/fleet/engine"
	"balsamknot.org/fleet/outcome"
)

// Ticket identifies a request at a keeper from its RequestArrived event until it ends. The caller of Update assigns it.
type Ticket uint64

// LoadFactor is the highest allowed ratio of an engine's load to its pool's mean; at least 1.
type LoadFactor float64

// PoolConfig holds the settings of an engine pool, from the configuration set in force.
type PoolConfig struct {
	LoadFactor LoadFactor
	// ReuseWait is how long a chat's request is queued at the endpoint that has its prefix cached before it is redirected
	// to another endpoint; 0 disables the wait. Source: Zaharia et al., "Delay Scheduling", 2010.
	ReuseWait time.Duration
	// Capacity limits the running requests of an endpoint; with 0 only the capacity that the endpoint reports applies.
	Capacity int
	// QueueLimit limits the requests queued at one endpoint.
	QueueLimit int
	// QueueWait limits the time in the queue. Exclusive requests are exempt: only their deadline ends their wait.
	QueueWait time.Duration
	// Bounded enables the load bound. It is false for plain services, which are limited by capacity alone.
	Bounded bool
	// Unlimited removes the capacity limit and the load bound. Benchmarks set it to compare with routing policies that
	// leave queueing to the endpoint.
	Unlimited bool
}

const (
	// gossipedLoadLifetime is how long a load from another keeper is used. After that the endpoint's load is treated as unknown,
	// which as a rule tightens the bound (see meanEstimate).
	gossipedLoadLifetime = 5 * time.Second
	// observedLoadLifetime is how long a load that a request observed takes precedence over the one from gossip. It is
	// checked on Ticked only.
	observedLoadLifetime = 300 * time.Millisecond
	// reportLifetime is how long the number of requests from other keepers that was derived from a report is used.
	reportLifetime = 10 * time.Second
	// unreportedLimit limits the running requests of an endpoint that has not sent a report yet.
	unreportedLimit = 1
	// defaultReportAge is the assumed age of a report that does not state one.
	defaultReportAge = time.Second
	// minimumRetryAfter is the shortest retry-after time given to a refused caller.
	minimumRetryAfter = time.Second
)

// Keeper is the admission state of one host for the endpoints of which it is the keeper. It is not safe for concurrent use.
type Keeper struct {
	pools    map[string]*pool
	engines  map[engine.ID]*engineState
	requests map[Ticket]*requestState
}

// New returns a keeper without endpoints.
func New() *Keeper {
	return &Keeper{
		pools:    make(map[string]*pool),
		engines:  make(map[engine.ID]*engineState),
		requests: make(map[Ticket]*requestState),
	}
}

// Update applies one event at time now and returns the resulting commands. They may also concern requests queued earlier.
func (k *Keeper) Update(now time.Time, event Event) []Command {
	switch e := event.(type) {
	case RequestArrived:
		return k.admit(now, e)
	case RequestEnded:
		return k.release(now, e.Ticket)
	case RequestAbandoned:
		return k.release(now, e.Ticket)
	case LoadReported:
		return k.recordReport(now, e)
	case LoadGossiped:
		return k.recordGossipedLoad(now, e)
	case LoadObserved:
		k.pool(e.Pool).observed[e.Engine] = remoteLoad{load: e.Load, at: now}
		return k.admitQueuedInPool(now, e.Pool)
	case PoolResized:
		k.pool(e.Pool).engines = e.Engines
		return k.admitQueuedInPool(now, e.Pool)
	case CacheEvicted:
		k.recordEviction(e)
	case EngineAssigned:
		k.assign(e)
	case EngineWithdrawn:
		return k.withdraw(e.Engine)
	case EngineLeaving:
		return k.setLeaving(e)
	case PoolConfigured:
		return k.configure(now, e)
	case Ticked:
		return k.tick(now)
	}
	return nil
}

func (k *Keeper) pool(name string) *pool {
	p := k.pools[name]
	if p == nil {
		p = &pool{gossiped: make(map[engine.ID]remoteLoad), observed: make(map[engine.ID]remoteLoad)}
		k.pools[name] = p
	}
	return p
}

func (k *Keeper) configure(now time.Time, e PoolConfigured) []Command {
	k.pool(e.Pool).cfg = e.Config
	return k.admitQueuedInPool(now, e.Pool)
}

func (k *Keeper) assign(e EngineAssigned) {
	if s := k.engines[e.Engine]; s != nil {
		s.withdrawn = false
		return
	}
	k.engines[e.Engine] = newEngineState(e.Engine, e.Pool)
}

func (k *Keeper) withdraw(id engine.ID) []Command {
	s := k.engines[id]
	if s == nil {
		return nil
	}
	s.withdrawn = true
	commands := s.redirectQueue(NotKeeper, k.requests)
	if s.running == 0 {
		delete(k.engines, id)
	}
	return commands
}

func (k *Keeper) setLeaving(e EngineLeaving) []Command {
	s := k.engines[e.Engine]
	if s == nil {
		return nil
	}
	s.leaving = e.Leaving
	if !e.Leaving {
		return nil
	}
	return s.redirectQueue(Leaving, k.requests)
}

func (k *Keeper) admit(now time.Time, e RequestArrived) []Command {
	s := k.engines[e.Engine]
	switch {
	case s == nil || s.withdrawn:
		return []Command{Redirect{Ticket: e.Ticket, Reason: NotKeeper}}
	case !e.Resumed && (s.leaving || s.reported.Leaving):
		return []Command{Redirect{Ticket: e.Ticket, Reason: Leaving}}
	}
	if e.Resumed {
		return k.start(now, s, e)
	}
	cfg := k.pool(s.pool).cfg
	if redirect, ok := s.redirectToPrefix(e); ok {
		return []Command{redirect}
	}
	if s.queue.len() == 0 && k.fits(now, s, e) {
		return k.start(now, s, e)
	}
	if s.waitsForReuse(cfg, e) {
		e.reuseWait = cfg.ReuseWait
		return k.enqueue(now, s, e)
	}
	if !e.MayQueue && !s.runsCopyOf(e.Fingerprint) {
		return k.redirectOverBound(now, s, e)
	}
	return k.enqueue(now, s, e)
}

// redirectOverBound redirects a request that does not fit and records that its chat overflowed to another endpoint.
func (k *Keeper) redirectOverBound(now time.Time, s *engineState, e RequestArrived) []Command {
	s.recordOverflow(e.Chat)
	return []Command{Redirect{Ticket: e.Ticket, Reason: OverBound, Load: s.load(now)}}
}

func (k *Keeper) start(now time.Time, s *engineState, e RequestArrived) []Command {
	s.start(now, e)
	k.requests[e.Ticket] = &requestState{engine: s, request: e, startedAt: now}
	return []Command{Admit{e.Ticket}}
}

// fits reports whether the request can start now: the endpoint is below its limit and runs neither an exclusive request nor
// a copy of this one, and if this one is exclusive it runs no other request of this keeper.
func (k *Keeper) fits(now time.Time, s *engineState, e RequestArrived) bool {
	if s.exclusive || (e.Exclusive && s.running > 0) || s.runsCopyOf(e.Fingerprint) {
		return false
	}
	return s.load(now) < k.limit(now, s)
}

func (k *Keeper) enqueue(now time.Time, s *engineState, e RequestArrived) []Command {
	cfg := k.pool(s.pool).cfg
	wait := s.expectedWait(k.limit(now, s))
	if e.reuseWait > 0 && (wait > cfg.QueueWait || s.queue.len() >= cfg.QueueLimit) {
		return k.redirectOverBound(now, s, e)
	}
	tooLong := wait > cfg.QueueWait && !e.Exclusive
	if cfg.QueueLimit == 0 || tooLong || now.Add(wait).After(e.Deadline) {
		code := outcome.CodeOverloaded
		if now.Add(wait).After(e.Deadline) {
			code = outcome.CodeDeadline
		}
		return []Command{Refuse{e.Ticket, code, max(wait, minimumRetryAfter)}}
	}
	s.queue.push(now, e)
	k.requests[e.Ticket] = &requestState{engine: s, request: e, queued: true}
	if s.queue.len() <= cfg.QueueLimit {
		return nil
	}
	dropped := s.queue.dropFromLargest()
	delete(k.requests, dropped.Ticket)
	return []Command{Refuse{dropped.Ticket, outcome.CodeOverloaded, max(wait, minimumRetryAfter)}}
}

func (k *Keeper) release(now time.Time, ticket Ticket) []Command {
	r := k.requests[ticket]
	if r == nil {
		return nil
	}
	delete(k.requests, ticket)
	if r.queued {
		r.engine.queue.remove(ticket)
		return nil
	}
	r.engine.end(now, r.startedAt, r.request)
	if r.engine.withdrawn && r.engine.running == 0 && k.engines[r.engine.id] == r.engine {
		delete(k.engines, r.engine.id)
		return nil
	}
	return k.admitQueued(now, r.engine)
}

// admitQueued starts queued requests in queue order until the first one does not fit.
func (k *Keeper) admitQueued(now time.Time, s *engineState) []Command {
	var commands []Command
	for s.queue.len() > 0 && !s.withdrawn && k.fits(now, s, s.queue.first()) {
		next := s.queue.pop()
		commands = append(commands, k.start(now, s, next)...)
	}
	return commands
}

func (k *Keeper) admitQueuedInPool(now time.Time, poolName string) []Command {
	var commands []Command
	for _, s := range k.sortedEngines() {
		if s.pool == poolName {
			commands = append(commands, k.admitQueued(now, s)...)
		}
	}
	return commands
}

func (k *Keeper) recordReport(now time.Time, e LoadReported) []Command {
	s := k.engines[e.Engine]
	if s == nil {
		return nil
	}
	s.report(now, e.Report)
	return k.admitQueued(now, s)
}

func (k *Keeper) recordGossipedLoad(now time.Time, e LoadGossiped) []Command {
	p := k.pool(e.Pool)
	old, known := p.gossiped[e.Engine]
	if known && !e.At.After(old.at) {
		return nil
	}
	p.gossiped[e.Engine] = remoteLoad{load: e.Load, at: e.At}
	if e.Load <= old.load {
		return nil
	}
	return k.admitQueuedInPool(now, e.Pool)
}

func (k *Keeper) recordEviction(e CacheEvicted) {
	if s := k.engines[e.Engine]; s != nil {
		s.chats.Remove(e.Chat)
	}
}

// tick removes queued requests whose wait or deadline has passed, expires old loads of other keepers, and starts queued
// requests that fit now. A request that only waited for prefix reuse is redirected before its deadline, any other is refused.
func (k *Keeper) tick(now time.Time) []Command {
	var commands []Command
	for _, p := range k.pools {
		p.expire(now)
	}
	for _, s := range k.sortedEngines() {
		cfg := k.pool(s.pool).cfg
		for _, e := range s.queue.removeExpired(now, cfg.QueueWait) {
			delete(k.requests, e.Ticket)
			if e.reuseWait > 0 && now.Before(e.Deadline) {
				commands = append(commands, k.redirectOverBound(now, s, e)...)
				continue
			}
			code := outcome.CodeOverloaded
			if !now.Before(e.Deadline) {
				code = outcome.CodeDeadline
			}
			commands = append(commands, Refuse{e.Ticket, code, minimumRetryAfter})
		}
		commands = append(commands, k.admitQueued(now, s)...)
	}
	return commands
}

func (k *Keeper) sortedEngines() []*engineState {
	engines := make([]*engineState, 0, len(k.engines))
	for _, s := range k.engines {
		engines = append(engines, s)
	}
	slices.SortFunc(engines, func(a, b *engineState) int { return cmp.Compare(a.id, b.id) })
	return engines
}
