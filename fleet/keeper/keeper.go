// Package keeper decides which requests an endpoint takes. The keeper of an endpoint is the one node through
// which all its requests pass, so its count is exact while the nodes' views agree.
//
// The load bound follows Mirrokni, Thorup and Zadimoghaddam, "Consistent Hashing with Bounded Loads", 2018,
// with a mean that is learned from the other keepers.
package keeper

import (
	"cmp"
	"slices"
	"time"

	"balsamknot.org/fleet/engine"
	"balsamknot.org/fleet/outcome"
)

// Ticket names one request's stay at a keeper.
type Ticket uint64

// LoadFactor is the highest allowed ratio of an engine's load to its pool's mean; at least 1.
type LoadFactor float64

// PoolConfig is what the accepted set says about a pool.
type PoolConfig struct {
	LoadFactor LoadFactor
	// ReuseWait is how long a chat waits for the endpoint that holds its prefix before it goes to another.
	// Source: Zaharia et al., "Delay Scheduling", 2010.
	ReuseWait time.Duration
	// Capacity bounds the running requests of an endpoint; 0 leaves it to the endpoint's own report.
	Capacity int
	// QueueLimit bounds the requests that wait at one endpoint.
	QueueLimit int
	// QueueWait bounds how long a request waits.
	QueueWait time.Duration
	// Bounded is false for plain services without a load bound.
	Bounded bool
	// Unlimited lets every request through, for baselines of measurements that leave queueing to the endpoint.
	Unlimited bool
}

const (
	// heardLifetime is how long another keeper's load counts; afterwards it counts as zero, which tightens the bound.
	heardLifetime = 5 * time.Second
	// metLifetime is how long a load that a request met goes before what was heard.
	metLifetime = 300 * time.Millisecond
	// reportLifetime is how long a load report speaks for the requests of other keepers.
	reportLifetime = 10 * time.Second
	// unreportedLimit bounds the running requests of an endpoint that has not reported yet.
	unreportedLimit = 1
	// defaultAge is the assumed lag of a report that does not tell its age.
	defaultAge = time.Second
	// minimumRetryAfter is the shortest advice given to a refused caller.
	minimumRetryAfter = time.Second
)

// Keeper is the decision state of one node for the endpoints that it keeps. It is not safe for concurrent use.
type Keeper struct {
	pools   map[string]*pool
	engines map[engine.ID]*seat
	tickets map[Ticket]*place
}

// New returns a keeper without endpoints.
func New() *Keeper {
	return &Keeper{
		pools:   make(map[string]*pool),
		engines: make(map[engine.ID]*seat),
		tickets: make(map[Ticket]*place),
	}
}

// Update applies one event at time now and returns the commands that follow from it.
func (k *Keeper) Update(now time.Time, event Event) []Command {
	switch e := event.(type) {
	case RequestArrived:
		return k.admit(now, e)
	case RequestEnded:
		return k.release(now, e.Ticket)
	case RequestAbandoned:
		return k.release(now, e.Ticket)
	case LoadReported:
		return k.noteLoad(now, e)
	case LoadHeard:
		return k.noteHeard(now, e)
	case LoadMet:
		k.pool(e.Pool).met[e.Engine] = heard{load: e.Load, at: now}
		return k.drainPool(now, e.Pool)
	case PoolSized:
		k.pool(e.Pool).engines = e.Engines
		return k.drainPool(now, e.Pool)
	case CacheEvicted:
		k.noteEvicted(e)
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
		p = &pool{others: make(map[engine.ID]heard), met: make(map[engine.ID]heard)}
		k.pools[name] = p
	}
	return p
}

func (k *Keeper) configure(now time.Time, e PoolConfigured) []Command {
	k.pool(e.Pool).cfg = e.Config
	return k.drainPool(now, e.Pool)
}

func (k *Keeper) assign(e EngineAssigned) {
	if s := k.engines[e.Engine]; s != nil {
		s.withdrawn = false
		return
	}
	k.engines[e.Engine] = newSeat(e.Engine, e.Pool)
}

func (k *Keeper) withdraw(id engine.ID) []Command {
	s := k.engines[id]
	if s == nil {
		return nil
	}
	s.withdrawn = true
	commands := s.rejectQueue(NotKeeper, k.tickets)
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
	return s.rejectQueue(Leaving, k.tickets)
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
	if redirect, ok := s.followMemory(e); ok {
		return []Command{redirect}
	}
	if s.queue.len() == 0 && k.fits(now, s, e) {
		return k.start(now, s, e)
	}
	if s.waitsForReuse(cfg, e) {
		e.patience = cfg.ReuseWait
		return k.enqueue(now, s, e)
	}
	if !e.MayQueue && !s.runs(e.Fingerprint) {
		return k.sendOn(now, s, e)
	}
	return k.enqueue(now, s, e)
}

// sendOn declines a request because of the bound, and remembers that its chat went elsewhere.
func (k *Keeper) sendOn(now time.Time, s *seat, e RequestArrived) []Command {
	s.overflowed(e.Chat)
	return []Command{Redirect{Ticket: e.Ticket, Reason: OverBound, Load: s.load(now)}}
}

func (k *Keeper) start(now time.Time, s *seat, e RequestArrived) []Command {
	s.start(now, e)
	k.tickets[e.Ticket] = &place{seat: s, request: e, started: now}
	return []Command{Admit{e.Ticket}}
}

// fits reports whether one more request keeps the endpoint within the bound and its capacity.
func (k *Keeper) fits(now time.Time, s *seat, e RequestArrived) bool {
	if s.alone || (e.Alone && s.running > 0) || s.runs(e.Fingerprint) {
		return false
	}
	return s.load(now) < k.limit(now, s)
}

func (k *Keeper) enqueue(now time.Time, s *seat, e RequestArrived) []Command {
	cfg := k.pool(s.pool).cfg
	wait := s.expectedWait(k.limit(now, s))
	if e.patience > 0 && (wait > cfg.QueueWait || s.queue.len() >= cfg.QueueLimit) {
		return k.sendOn(now, s, e)
	}
	tooLong := wait > cfg.QueueWait && !e.Alone
	if cfg.QueueLimit == 0 || tooLong || now.Add(wait).After(e.Deadline) {
		code := outcome.CodeOverloaded
		if now.Add(wait).After(e.Deadline) {
			code = outcome.CodeDeadline
		}
		return []Command{Refuse{e.Ticket, code, max(wait, minimumRetryAfter)}}
	}
	s.queue.push(now, e)
	k.tickets[e.Ticket] = &place{seat: s, request: e, queued: true}
	if s.queue.len() <= cfg.QueueLimit {
		return nil
	}
	dropped := s.queue.dropLargest()
	delete(k.tickets, dropped.Ticket)
	return []Command{Refuse{dropped.Ticket, outcome.CodeOverloaded, max(wait, minimumRetryAfter)}}
}

func (k *Keeper) release(now time.Time, ticket Ticket) []Command {
	p := k.tickets[ticket]
	if p == nil {
		return nil
	}
	delete(k.tickets, ticket)
	if p.queued {
		p.seat.queue.remove(ticket)
		return nil
	}
	p.seat.end(now, p.started, p.request)
	if p.seat.withdrawn && p.seat.running == 0 && k.engines[p.seat.id] == p.seat {
		delete(k.engines, p.seat.id)
		return nil
	}
	return k.drain(now, p.seat)
}

// drain admits queued requests while they fit.
func (k *Keeper) drain(now time.Time, s *seat) []Command {
	var commands []Command
	for s.queue.len() > 0 && !s.withdrawn && k.fits(now, s, s.queue.first()) {
		next := s.queue.pop()
		commands = append(commands, k.start(now, s, next)...)
	}
	return commands
}

func (k *Keeper) drainPool(now time.Time, name string) []Command {
	var commands []Command
	for _, s := range k.sorted() {
		if s.pool == name {
			commands = append(commands, k.drain(now, s)...)
		}
	}
	return commands
}

func (k *Keeper) noteLoad(now time.Time, e LoadReported) []Command {
	s := k.engines[e.Engine]
	if s == nil {
		return nil
	}
	s.report(now, e.Report)
	return k.drain(now, s)
}

func (k *Keeper) noteHeard(now time.Time, e LoadHeard) []Command {
	p := k.pool(e.Pool)
	old, known := p.others[e.Engine]
	if known && !e.At.After(old.at) {
		return nil
	}
	p.others[e.Engine] = heard{load: e.Load, at: e.At}
	if e.Load <= old.load {
		return nil
	}
	return k.drainPool(now, e.Pool)
}

func (k *Keeper) noteEvicted(e CacheEvicted) {
	if s := k.engines[e.Engine]; s != nil {
		s.chats.Remove(e.Chat)
	}
}

// tick refuses queued requests whose wait or deadline has passed, and forgets loads heard long ago.
func (k *Keeper) tick(now time.Time) []Command {
	var commands []Command
	for _, p := range k.pools {
		p.forget(now)
	}
	for _, s := range k.sorted() {
		cfg := k.pool(s.pool).cfg
		for _, e := range s.queue.expired(now, cfg.QueueWait) {
			delete(k.tickets, e.Ticket)
			if e.patience > 0 && now.Before(e.Deadline) {
				commands = append(commands, k.sendOn(now, s, e)...)
				continue
			}
			code := outcome.CodeOverloaded
			if !now.Before(e.Deadline) {
				code = outcome.CodeDeadline
			}
			commands = append(commands, Refuse{e.Ticket, code, minimumRetryAfter})
		}
		commands = append(commands, k.drain(now, s)...)
	}
	return commands
}

func (k *Keeper) sorted() []*seat {
	seats := make([]*seat, 0, len(k.engines))
	for _, s := range k.engines {
		seats = append(seats, s)
	}
	slices.SortFunc(seats, func(a, b *seat) int { return cmp.Compare(a.id, b.id) })
	return seats
}
