package connection

import (
	"context"
	"sync"
	"time"

	"balsamknot.org/fleet/timer"
)

const (
	// sentinelLifetime is how long a sentinel stays open after the last answer that it guards, and sentinelDialTimeout how long it may take to
	// connect.
	sentinelLifetime    = 10 * time.Second
	sentinelDialTimeout = time.Second
)

// sentinel is a connection to an endpoint over which nothing is sent. It ends with the process that accepted it, so that it tells that process
// from another one at the same address. An endpoint whose answers are not framed leaves no other connection that could.
type sentinel struct {
	mu sync.Mutex
	// conn is nil until it is established.
	conn *pooledConn
	// endedAt is when the endpoint ended the connection, by timer.BootClock; zero before.
	endedAt time.Time
	// failed is true if it could not be established, or something came over it.
	failed bool
	// guards are those that wait until it is established.
	guards []*Guard
	// usedAt is when an answer needed it last.
	usedAt time.Time
}

// Guard observes through a sentinel whether the process that writes one answer goes on.
type Guard struct {
	x *Exchange
	s *sentinel
	// valid is true if the sentinel was established while the answer had not ended.
	valid bool
}

// Guard returns a guard for the exchange's answer. It connects to the endpoint if there is no sentinel yet.
func (x *Exchange) Guard() *Guard {
	p := x.pool
	p.mu.Lock()
	s := p.sentinels[x.conn.address]
	isNew := s == nil || s.over()
	if isNew {
		s = &sentinel{}
		p.sentinels[x.conn.address] = s
	}
	p.mu.Unlock()
	g := &Guard{x: x, s: s}
	s.add(g)
	if isNew {
		go p.connectSentinel(x.conn.address, s)
	}
	return g
}

// add adds a guard, which is valid at once if the sentinel is established.
func (s *sentinel) add(g *Guard) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.usedAt = timer.BootClock()
	if s.conn == nil {
		s.guards = append(s.guards, g)
		return
	}
	g.valid = g.x.conn.peerState() == peerOpen
}

// over reports whether the sentinel is of no more use.
func (s *sentinel) over() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.failed || !s.endedAt.IsZero()
}

// connectSentinel establishes a sentinel and waits until the endpoint ends it.
func (p *Pool) connectSentinel(address string, s *sentinel) {
	ctx, cancel := context.WithTimeout(context.Background(), sentinelDialTimeout)
	c, err := p.dial(ctx, address)
	cancel()
	if !s.established(c, err) {
		return
	}
	var buf [1]byte
	n, err := c.Read(buf[:])
	s.mu.Lock()
	s.failed = n > 0 || !endedByPeer(err)
	s.endedAt = timer.BootClock()
	s.mu.Unlock()
	_ = c.Conn.Close()
}

// established notes the result of the attempt to connect and returns whether there is a connection that can be observed.
func (s *sentinel) established(c *pooledConn, err error) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	guards := s.guards
	s.guards = nil
	// The end of a connection through another host arrives only with that host's help.
	if err != nil || c.relay != "" {
		s.failed = true
		if err == nil {
			_ = c.Conn.Close()
		}
		return false
	}
	s.conn = c
	for _, g := range guards {
		g.valid = g.x.conn.peerState() == peerOpen
	}
	return true
}

// GuardState is what a Guard has seen.
type GuardState int

const (
	// GuardAbsent means that there was no connection to observe.
	GuardAbsent GuardState = iota
	// GuardOpen means that the process goes on.
	GuardOpen
	// GuardEnded means that its connection ended no earlier than a time.
	GuardEnded
)

// State returns what the guard has seen. A sentinel that ended before since says nothing.
func (g *Guard) State(since time.Time) GuardState {
	g.s.mu.Lock()
	defer g.s.mu.Unlock()
	switch {
	case !g.valid, g.s.failed, !g.s.endedAt.IsZero() && g.s.endedAt.Before(since):
		return GuardAbsent
	case g.s.endedAt.IsZero():
		return GuardOpen
	}
	return GuardEnded
}

// sweepSentinels closes the sentinels that no answer has needed for sentinelLifetime. p.mu must be held.
func (p *Pool) sweepSentinels(now time.Time) {
	for address, s := range p.sentinels {
		s.mu.Lock()
		old := now.Sub(s.usedAt) > sentinelLifetime
		s.mu.Unlock()
		if old || s.over() {
			p.closeSentinel(address)
		}
	}
}

// closeSentinel closes the sentinel of an address, if there is one. p.mu must be held.
func (p *Pool) closeSentinel(address string) {
	s := p.sentinels[address]
	if s == nil {
		return
	}
	delete(p.sentinels, address)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failed = true
	if s.conn != nil {
		_ = s.conn.Conn.Close()
	}
}
