package node

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"balsamknot.org/entry/peer"
	"balsamknot.org/fleet/endpoint"
	"balsamknot.org/fleet/host"
	"balsamknot.org/fleet/pool"
	"balsamknot.org/fleet/site"
	"balsamknot.org/fleet/timer"
)

// places asks the keeper of a service for places, and is that keeper for some services.
type places struct {
	n *Node
	// life ends with the node.
	life context.Context
	// started is when the process started.
	started time.Time

	mu     sync.Mutex
	keeper *pool.Keeper
	next   uint64
	// answers holds who waits here for a keeper's word, by the number of the ticket.
	answers map[uint64]chan pool.Command
	// held holds this host's own places.
	held map[pool.Ticket]holding
}

// holding is a place that a request of this host has.
type holding struct {
	place pool.SlotHeld
	// keeper gave the place.
	keeper host.ID
}

const (
	// askAgain is after how long an unanswered question is sent again; it is given up after askLimit.
	askAgain = 15 * time.Millisecond
	askLimit = 40 * time.Millisecond
	// keepersAsked is how many hosts are asked for a request's place before its own host decides.
	keepersAsked = 2
	// queueAgain is how often a host that waits for a place asks whether it still does, and queueLimit how long it goes
	// without an answer.
	queueAgain = 250 * time.Millisecond
	queueLimit = 700 * time.Millisecond
	// holdInterval is how often a host tells keepers which places it holds.
	holdInterval = time.Second
	// holdsPerDatagram bounds the places told in one datagram.
	holdsPerDatagram = 12
	// cachedPerDatagram bounds what is told of caches in one datagram.
	cachedPerDatagram = 32
	// answerRoom is how many words of a keeper may wait to be read.
	answerRoom = 4
)

func newPlaces(n *Node) *places {
	return &places{
		// The process before may have left places behind: its tickets must not come again.
		next: rand.Uint64() >> 1,
		n:    n, life: context.Background(), started: timer.BootClock(), answers: make(map[uint64]chan pool.Command), held: make(map[pool.Ticket]holding),
		keeper: pool.New(poolConfig(n.cfg)),
	}
}

// update tells the keeper an event and carries out its commands.
func (p *places) update(now time.Time, e pool.Event) {
	p.mu.Lock()
	commands := p.keeper.Update(now, e)
	p.mu.Unlock()
	p.carry(commands)
}

func (p *places) tick(now time.Time) { p.update(now, pool.Tick{}) }

// carry gives a keeper's words to those who wait, here or on other hosts.
func (p *places) carry(commands []pool.Command) {
	for _, c := range commands {
		switch c := c.(type) {
		case pool.UpdateStandbys:
			p.tell(c)
			continue
		case pool.ListCaches:
			p.n.work.Go(func() { p.list(c) })
			continue
		}
		ticket, answer := toAnswer(c)
		if ticket.Host == p.n.cfg.Host {
			p.hear(ticket.Number, c)
			continue
		}
		p.n.members.send(ticket.Host, peer.Datagram{SlotReplies: []peer.SlotReply{answer}})
	}
}

// tell lets the hosts that would keep a service next know what its endpoints' caches hold.
func (p *places) tell(t pool.UpdateStandbys) {
	ranked := p.n.members.keepers(t.Service)
	if len(ranked) == 0 || ranked[0] != p.n.cfg.Host {
		return
	}
	for cached := range slices.Chunk(t.Cached, cachedPerDatagram) {
		learned := peer.FromCachedParts(t.Service, cached)
		for _, deputy := range ranked[1:] {
			p.n.members.send(deputy, peer.Datagram{CacheUpdates: []peer.CacheUpdate{learned}})
		}
	}
}

func toAnswer(c pool.Command) (pool.Ticket, peer.SlotReply) {
	switch c := c.(type) {
	case pool.Grant:
		return c.Ticket, peer.SlotReply{
			Number: c.Ticket.Number, Kind: peer.Granted, Endpoint: c.Endpoint.Instance.ID, StartedAt: c.Endpoint.Instance.StartedAt,
			Fetch: c.Fetch, Decision: peer.FromDecision(c.Decision),
		}
	case pool.Queue:
		return c.Ticket, peer.SlotReply{Number: c.Ticket.Number, Kind: peer.Queued}
	case pool.Refuse:
		return c.Ticket, peer.SlotReply{
			Number: c.Ticket.Number, Kind: peer.Refused, Reason: c.Reason, RetryAfterMs: c.RetryAfter.Milliseconds(),
		}
	}
	return pool.Ticket{}, peer.SlotReply{}
}

// hear gives a keeper's word to the request that waits for it.
func (p *places) hear(number uint64, c pool.Command) bool {
	p.mu.Lock()
	ch := p.answers[number]
	p.mu.Unlock()
	if ch == nil {
		return false
	}
	select {
	case ch <- c:
	default:
	}
	return true
}

// handle takes what other hosts say of places.
func (p *places) handle(now time.Time, d peer.Datagram) {
	for _, ask := range d.SlotRequests {
		e := ask.ToPool(d.From)
		e.KeeperUnconfirmed = p.young()
		p.update(now, e)
	}
	for _, end := range d.SlotReleases {
		p.update(now, pool.SlotReleased{Ticket: pool.Ticket{Host: d.From, Number: end.Number}, Service: end.Service, Result: end.Result})
	}
	for _, hold := range d.HeldSlots {
		p.update(now, hold.ToPool(d.From))
	}
	for _, learned := range d.CacheUpdates {
		p.update(now, learned.ToPool())
	}
	for _, answer := range d.SlotReplies {
		p.n.members.answered(d.From)
		p.answer(d.From, answer)
	}
}

// answer takes a keeper's answer. A place that nobody waits for any more is given back.
func (p *places) answer(from host.ID, a peer.SlotReply) {
	ticket := pool.Ticket{Host: p.n.cfg.Host, Number: a.Number}
	var c pool.Command
	switch a.Kind {
	case peer.Granted:
		record, known := p.record(endpoint.Instance{ID: a.Endpoint, StartedAt: a.StartedAt})
		if !known {
			record = endpoint.Record{Instance: endpoint.Instance{ID: a.Endpoint, StartedAt: a.StartedAt}}
		}
		c = pool.Grant{Ticket: ticket, Endpoint: record, Fetch: a.Fetch, Decision: a.Decision.ToPool()}
	case peer.Queued:
		c = pool.Queue{Ticket: ticket}
	default:
		c = pool.Refuse{Ticket: ticket, Reason: a.Reason, RetryAfter: time.Duration(a.RetryAfterMs) * time.Millisecond}
	}
	if p.hear(a.Number, c) || a.Kind != peer.Granted || p.holds(ticket, from) {
		return
	}
	p.n.members.send(from, peer.Datagram{SlotReleases: []peer.SlotRelease{{Number: a.Number}}})
}

func (p *places) holds(ticket pool.Ticket, keeper host.ID) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	h, ok := p.held[ticket]
	return ok && h.keeper == keeper
}

func (p *places) record(instance endpoint.Instance) (endpoint.Record, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.keeper.Record(instance)
}

// hold notes a place. This host's own keeper hears of it too, so that it can decide when the service's keeper is lost.
func (p *places) hold(e pool.SlotRequested, c pool.Grant, keeper host.ID) {
	h := holding{keeper: keeper, place: pool.SlotHeld{
		Ticket: e.Ticket, Service: e.Service, ID: c.Endpoint.Instance.ID, Prompt: e.Prompt,
	}}
	p.mu.Lock()
	p.held[e.Ticket] = h
	p.mu.Unlock()
	if keeper != p.n.cfg.Host {
		p.update(timer.BootClock(), h.place)
	}
}

// end gives a place up, with its keeper and here.
func (p *places) end(ticket pool.Ticket, service site.ServiceName, result pool.Result) {
	now := timer.BootClock()
	p.mu.Lock()
	h, ok := p.held[ticket]
	delete(p.held, ticket)
	p.mu.Unlock()
	p.update(now, pool.SlotReleased{Ticket: ticket, Service: service, Result: result})
	if !ok {
		return
	}
	keeper := p.n.members.keeper(now, service)
	for _, id := range []host.ID{h.keeper, keeper} {
		if id != p.n.cfg.Host {
			p.n.members.send(id, peer.Datagram{SlotReleases: []peer.SlotRelease{{Number: ticket.Number, Service: service, Result: result}}})
		}
		if h.keeper == keeper {
			return
		}
	}
}

// remind tells the keepers which places this host holds: a new keeper learns them, an old one keeps them.
func (p *places) remind(now time.Time) {
	p.mu.Lock()
	batches := make(map[host.ID][]peer.HeldSlot)
	for _, h := range p.held {
		keeper := p.n.members.keeper(now, h.place.Service)
		batches[keeper] = append(batches[keeper], peer.FromSlotHeld(h.place))
	}
	p.mu.Unlock()
	for keeper, holds := range batches {
		for len(holds) > 0 {
			part := holds[:min(len(holds), holdsPerDatagram)]
			holds = holds[len(part):]
			if keeper == p.n.cfg.Host {
				p.handle(now, peer.Datagram{From: keeper, HeldSlots: part})
				continue
			}
			p.n.members.send(keeper, peer.Datagram{HeldSlots: part})
		}
	}
	p.renew(now)
}

// renew keeps this host's places with its own keeper.
func (p *places) renew(now time.Time) {
	p.mu.Lock()
	own := make([]pool.SlotHeld, 0, len(p.held))
	for _, h := range p.held {
		own = append(own, h.place)
	}
	p.mu.Unlock()
	for _, held := range own {
		p.update(now, held)
	}
}

// registered returns the instance of an endpoint that is registered.
func (p *places) registered(id endpoint.ID) (endpoint.Instance, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.keeper.RegisteredInstance(id)
}

// address returns where an endpoint is reached; empty when it isn't registered.
func (p *places) address(id endpoint.ID) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.keeper.Address(id)
}

func (p *places) usable(instance endpoint.Instance) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.keeper.Usable(instance)
}

// counts returns how many requests hold a place that this host keeps, and how many wait for one.
func (p *places) counts() (running, waiting int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.keeper.Running(), p.keeper.Waiting()
}
