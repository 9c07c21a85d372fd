package connection

import (
	"context"
	"maps"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"balsamknot.org/fleet/endpoint"
	"balsamknot.org/fleet/timer"
)

const (
	// sentinelLifetime is how long a sentinel stays open after the last answer that it guards, and sentinelDialTimeout how long it may take to
	// connect.
	sentinelLifetime    = 10 * time.Second
	sentinelDialTimeout = time.Second
	// minSentinelLife is how long a sentinel must have been open for another one to take its place while its answers come.
	minSentinelLife = 200 * time.Millisecond
	// sentinelRetryInterval is the least time between two attempts where the endpoint did not take a sentinel, or reset it.
	sentinelRetryInterval = time.Second
	// sentinelSettleTime is the time in which all connections of a process that has ended are seen to end.
	sentinelSettleTime = 20 * time.Millisecond
	// staleAfter is the time after which a sentinel that was not heard is asked at the begin of an answer, and sentinelAnswerTime that in which it must
	// answer then.
	staleAfter         = time.Second
	sentinelAnswerTime = 200 * time.Millisecond
	// outlivedChecks is how often is looked for connections that outlived a sentinel: those with unread bytes can't show it each time.
	outlivedChecks = 5
)

// sentinel is a connection to an endpoint that ends with the process that accepted it, so that it tells that process from another one at the same
// address. An endpoint whose answers are not framed leaves no other connection that could. Nothing is sent over it but questions whether the process
// goes on; see Guard.Ask.
type sentinel struct {
	// instance is the endpoint that is asked.
	instance endpoint.ID

	mu sync.Mutex
	// triedAt is when the attempt to connect began, by timer.BootClock.
	triedAt time.Time
	// conn is nil until it is established.
	conn *pooledConn
	// endedAt is when the connection ended or could not be established, by timer.BootClock; zero before.
	endedAt time.Time
	// failed is true if it could not be established, was closed here, did not answer, or did not end in order.
	failed bool
	// idled is true if the endpoint ended it as it ends idle connections.
	idled bool
	// guards are those of the answers that it guards. The value is true if the process that took the connection is known to be the one that
	// writes the answer.
	guards map[*Guard]bool
	// usedAt is when guards changed last.
	usedAt time.Time
	// retired is true if it guards no further answers, so that it is closed after the last one.
	retired bool
	// question is what was asked and answered over it.
	question question
	// idleTime and askedIdleTime are the times after which the endpoint ended a sentinel that other connections outlived: one that was never asked,
	// since it was established, and one that was, since its last answer; 0 if it ended none so. They are shared by the sentinels of an address.
	idleTime, askedIdleTime *atomic.Int64
}

// Guard observes through a sentinel whether the process that writes one answer goes on.
type Guard struct {
	x *Exchange

	mu sync.Mutex
	// s is another one than at first if that one did not answer at the begin of the answer, or ended while it came.
	s *sentinel
	// askedAt is when Ask was called, by timer.BootClock; zero before.
	askedAt time.Time
	// moved is true after moveTo, and released after release.
	moved, released bool
}

// follows reports whether the answer's connection was open when the sentinel was already there: when the request began, or now. Both lead to the
// endpoint the same way, directly or through the same host, so that their ends arrive together. s.mu must be held.
func (g *Guard) follows(s *sentinel) bool {
	sentinel, answer := s.conn, g.x.conn
	wasThere := !sentinel.connectedAt.After(g.x.beganAt)
	return sentinel.relay == answer.relay && (wasThere || answer.notEnded())
}

// notEnded reports whether the endpoint has not ended the connection, as far as this host has received. What comes through another host is known
// only when it is read.
func (c *pooledConn) notEnded() bool {
	state := c.peerState()
	return state == peerOpen || c.relay != "" && state == peerUnknown
}

// Guard returns a guard for the exchange's answer, until Finish or Abort. It connects to the endpoint if there is no sentinel yet. One that was not heard
// for long may be silent: it is asked, and replaced if it does not answer.
func (x *Exchange) Guard() *Guard {
	p, now := x.pool, timer.BootClock()
	p.mu.Lock()
	s := p.sentinels[x.conn.address]
	isNew := s == nil || s.replaceable(now)
	if isNew {
		s = s.next(now, x.instance.ID)
		p.sentinels[x.conn.address] = s
	}
	p.mu.Unlock()
	g := &Guard{x: x, s: s}
	s.add(g)
	x.guard = g
	switch {
	case isNew:
		go p.connectSentinel(x.conn.address, s)
	case s.stale(now):
		go p.testSentinel(x.conn.address, s)
	}
	return g
}

// add adds a guard, which is valid at once if the sentinel is established.
func (s *sentinel) add(g *Guard) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.usedAt = timer.BootClock()
	s.guards[g] = s.conn != nil && !s.failed && g.follows(s)
}

// release notes that the answer has ended. It has no effect on nil.
func (g *Guard) release() {
	if g == nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.released = true
	g.s.mu.Lock()
	defer g.s.mu.Unlock()
	delete(g.s.guards, g)
	g.s.usedAt = timer.BootClock()
	if g.s.retired && len(g.s.guards) == 0 {
		g.s.close()
	}
}

// moveTo lets another sentinel guard the answer.
func (g *Guard) moveTo(s *sentinel) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.released {
		g.s, g.moved = s, true
		s.add(g)
	}
}

// replaceable reports whether another sentinel is to be connected in place of this one: at once after its process ended, and not too soon after this
// attempt if it failed.
func (s *sentinel) replaceable(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.failed {
		return now.Sub(s.triedAt) >= sentinelRetryInterval
	}
	return !s.endedAt.IsZero()
}

// connectSentinel establishes a sentinel and waits until the endpoint ends it.
func (p *Pool) connectSentinel(address string, s *sentinel) {
	if p.isClosed() {
		s.established(nil, net.ErrClosed)
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), sentinelDialTimeout)
	c, err := p.dial(ctx, address)
	cancel()
	if !s.established(c, err) {
		return
	}
	err = s.readAnswers()
	s.mu.Lock()
	s.endedAt = timer.BootClock()
	s.failed = s.failed || !s.tellsEnd(err)
	s.idled = !s.failed && (s.question.last || s.endedIdle())
	tells := !s.failed && !s.idled
	s.mu.Unlock()
	_ = c.Conn.Close()
	if tells {
		p.noteOutlived(address, s)
	}
	if guards := s.unguarded(); len(guards) > 0 {
		p.succeed(address, s, guards)
	}
}

// unguarded removes and returns the guards of a sentinel that ended in order although the process goes on, whose answers still come.
func (s *sentinel) unguarded() []*Guard {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.endedAt.Sub(s.conn.connectedAt) < minSentinelLife {
		return nil
	}
	var guards []*Guard
	for g := range s.guards {
		goesOn := s.idled || g.x.conn.outlived.Load() == s
		if goesOn && !s.failed && g.x.conn.notEnded() {
			guards = append(guards, g)
			delete(s.guards, g)
		}
	}
	return guards
}

// succeed connects another sentinel in place of one that tells nothing any more, for the answers of guards and for the next ones.
func (p *Pool) succeed(address string, s *sentinel, guards []*Guard) {
	next := s.next(timer.BootClock(), s.instance)
	p.mu.Lock()
	if p.sentinels[address] == s {
		p.sentinels[address] = next
	} else {
		next.retired = true
	}
	p.mu.Unlock()
	for _, g := range guards {
		g.moveTo(next)
	}
	p.connectSentinel(address, next)
}

func (p *Pool) isClosed() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.closed
}

// noteOutlived marks the connections in use that stay open after the end of a sentinel, so that no process of theirs ended with it.
func (p *Pool) noteOutlived(address string, s *sentinel) {
	for range outlivedChecks {
		time.Sleep(sentinelSettleTime)
		p.mu.Lock()
		conns := slices.Collect(maps.Keys(p.inUse[address]))
		p.mu.Unlock()
		for _, c := range conns {
			if c.goesOn() && c.connectedAt.Before(s.endedAt) {
				c.outlived.Store(s)
				s.noteIdleTime()
			}
		}
	}
}

// next returns a sentinel for the same address; nil stands for the first one. instance is the endpoint that is registered there.
func (s *sentinel) next(now time.Time, instance endpoint.ID) *sentinel {
	next := &sentinel{triedAt: now, instance: instance, guards: make(map[*Guard]bool), idleTime: new(atomic.Int64), askedIdleTime: new(atomic.Int64)}
	if s != nil {
		next.idleTime, next.askedIdleTime = s.idleTime, s.askedIdleTime
	}
	return next
}

// idle returns for how long nothing had come over the sentinel when it ended, and the endpoint's idle time for such connections. s.mu must be held.
func (s *sentinel) idle() (idle time.Duration, limit *atomic.Int64) {
	if s.question.answeredAt.IsZero() {
		return s.endedAt.Sub(s.conn.connectedAt), s.idleTime
	}
	return s.endedAt.Sub(s.question.answeredAt), s.askedIdleTime
}

// endedIdle reports whether the sentinel ended at the age at which the endpoint ends connections over which nothing comes. s.mu must be held.
func (s *sentinel) endedIdle() bool {
	idle, known := s.idle()
	limit := time.Duration(known.Load())
	return limit > 0 && (idle-limit).Abs() <= idleTolerance(limit)
}

// idleLimit returns the least time after which the endpoint at an address was found to end idle connections, less idleTolerance; 0 if it was not. p.mu must
// be held.
func (p *Pool) idleLimit(address string) time.Duration {
	s := p.sentinels[address]
	if s == nil {
		return 0
	}
	limit := time.Duration(0)
	for _, learnt := range []*atomic.Int64{s.idleTime, s.askedIdleTime} {
		if d := time.Duration(learnt.Load()); d > 0 && (limit == 0 || d < limit) {
			limit = d
		}
	}
	return limit - idleTolerance(limit)
}

// idleTolerance is by how much the idle time of a connection may differ from the endpoint's limit.
func idleTolerance(limit time.Duration) time.Duration {
	if limit == 0 {
		return 0
	}
	return sentinelSettleTime + limit/20
}

// noteIdleTime learns the endpoint's idle time from a sentinel that other connections outlived.
func (s *sentinel) noteIdleTime() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.question.unanswered() {
		return
	}
	idle, limit := s.idle()
	limit.Store(int64(idle))
}

// established notes the result of the attempt to connect and returns whether there is a connection that can be observed.
func (s *sentinel) established(c *pooledConn, err error) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	// It may have been closed meanwhile.
	if err != nil || s.failed {
		if err == nil {
			_ = c.Conn.Close()
		}
		s.failed, s.endedAt = true, timer.BootClock()
		return false
	}
	s.conn = c
	for g := range s.guards {
		s.guards[g] = g.follows(s)
	}
	s.sendQuestion()
	return true
}

// GuardState is what a Guard has seen.
type GuardState int

const (
	// GuardAbsent means that there was no connection to observe.
	GuardAbsent GuardState = iota
	// GuardOpen means that the end of its connection has not arrived.
	GuardOpen
	// GuardSilent means that its connection did not answer and did not end in order either.
	GuardSilent
	// GuardAlive means that the process has answered since Ask was called.
	GuardAlive
	// GuardEnded means that its connection ended, and that the answer's did not stay open after it.
	GuardEnded
)

// State returns what the guard has seen. A sentinel that the answer's connection outlived says nothing. When the end of the answer is read does not
// matter: with a caller that reads slowly, that is long after it arrived.
func (g *Guard) State() GuardState {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.s
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case !s.guards[g] && g.moved, s.guards[g] && s.failed && s.question.unanswered():
		return GuardSilent
	case !s.guards[g]:
		return GuardAbsent
	case s.question.answeredSince(g.askedAt):
		return GuardAlive
	case s.failed, s.idled, g.x.conn.outlived.Load() == s:
		return GuardAbsent
	case s.endedAt.IsZero():
		return GuardOpen
	}
	return GuardEnded
}

// sweepSentinels closes the sentinels that no answer has needed for sentinelLifetime and that guard none. p.mu must be held.
func (p *Pool) sweepSentinels(now time.Time) {
	for address, s := range p.sentinels {
		s.mu.Lock()
		old := len(s.guards) == 0 && now.Sub(s.usedAt) > sentinelLifetime
		s.mu.Unlock()
		if old {
			p.closeSentinel(address)
		}
	}
}

// dropSentinel closes the sentinel of an address, if there is one and it guards no answer. p.mu must be held.
func (p *Pool) dropSentinel(address string) {
	s := p.sentinels[address]
	if s == nil {
		return
	}
	s.mu.Lock()
	active := len(s.guards)
	s.mu.Unlock()
	if active == 0 {
		p.closeSentinel(address)
	}
}

// retireSentinel removes the sentinel of an address, if there is one. It stays open for the answers that it guards. p.mu must be held.
func (p *Pool) retireSentinel(address string) {
	s := p.sentinels[address]
	if s == nil {
		return
	}
	delete(p.sentinels, address)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.retired = true
	if len(s.guards) == 0 {
		s.close()
	}
}

// closeSentinel closes the sentinel of an address. p.mu must be held.
func (p *Pool) closeSentinel(address string) {
	s := p.sentinels[address]
	delete(p.sentinels, address)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.close()
}

// close closes the connection. What the guards of a sentinel that has ended have seen stays. s.mu must be held.
func (s *sentinel) close() {
	s.failed = s.failed || s.endedAt.IsZero()
	if s.conn != nil {
		_ = s.conn.Conn.Close()
	}
}
