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

// placer obtains a slot, the right to run at an endpoint, for each request of this host. It requests slots from the keeper of
// the service, the host that assigns the service's requests to endpoints, and is itself the keeper of some services. It is
// safe for concurrent use.
type placer struct {
	n *Node
	// runCtx is cancelled when the node stops; Run sets it.
	runCtx context.Context
	// startedAt is when the process started, by the boot clock.
	startedAt time.Time

	mu               sync.Mutex
	keeper           *pool.Keeper
	lastTicketNumber uint64
	// replies holds the channel of each request of this host that waits for a keeper's reply, by the number of its ticket.
	replies map[uint64]chan pool.Command
	// heldSlots holds the slots of this host's requests.
	heldSlots map[pool.Ticket]heldSlot
}

// heldSlot is a slot that a request of this host holds.
type heldSlot struct {
	slot pool.SlotHeld
	// keeper is the host that granted the slot.
	keeper host.ID
}

const (
	// requestRetryInterval is the time after which an unanswered slot request is sent again. A keeper that has not replied
	// within keeperReplyTimeout is given up.
	requestRetryInterval = 15 * time.Millisecond
	keeperReplyTimeout   = 40 * time.Millisecond
	// maxKeeperAttempts is how often a slot is requested from a keeper before the request's own host decides.
	maxKeeperAttempts = 2
	// queuePollInterval is how often a queued request is repeated; the keeper replies to each repetition. A keeper that has not
	// replied for queueReplyTimeout is given up.
	queuePollInterval = 250 * time.Millisecond
	queueReplyTimeout = 700 * time.Millisecond
	// slotRenewalInterval is how often a host reports the slots that it holds to their keepers.
	slotRenewalInterval = time.Second
	// maxSlotsPerDatagram limits the slots reported in one datagram.
	maxSlotsPerDatagram = 12
	// maxCacheEntriesPerDatagram limits the entries of a cache update, one per shared prefix, in one datagram.
	maxCacheEntriesPerDatagram = 32
	// replyBufferSize is how many replies to one request are buffered; further ones are dropped.
	replyBufferSize = 4
)

func newPlacer(n *Node) *placer {
	return &placer{
		// Keepers may still have slots of the host's previous process. A random first number keeps the tickets of the two
		// processes apart.
		lastTicketNumber: rand.Uint64() >> 1,
		n:                n, runCtx: context.Background(), startedAt: timer.BootClock(), replies: make(map[uint64]chan pool.Command), heldSlots: make(map[pool.Ticket]heldSlot),
		keeper: pool.New(poolConfig(n.cfg)),
	}
}

// update passes an event to the local keeper and executes the resulting commands.
func (p *placer) update(now time.Time, e pool.Event) {
	p.mu.Lock()
	commands := p.keeper.Update(now, e)
	p.mu.Unlock()
	p.execute(commands)
}

// tick lets the local keeper enforce its time-outs and send cache updates.
func (p *placer) tick(now time.Time) { p.update(now, pool.Tick{}) }

// execute carries out commands of the local keeper: replies go to the requests that wait for them, here or on other hosts.
func (p *placer) execute(commands []pool.Command) {
	for _, c := range commands {
		switch c := c.(type) {
		case pool.UpdateStandbys:
			p.updateStandbys(c)
			continue
		case pool.ListCaches:
			p.n.wg.Go(func() { p.listCaches(c) })
			continue
		}
		ticket, answer := toAnswer(c)
		if ticket.Host == p.n.cfg.Host {
			p.deliverReply(ticket.Number, c)
			continue
		}
		p.n.members.send(ticket.Host, peer.Datagram{SlotReplies: []peer.SlotReply{answer}})
	}
}

// updateStandbys sends cache contents to the service's standbys, the hosts that take over from its keeper. A host that
// another one outranks as keeper sends nothing.
func (p *placer) updateStandbys(update pool.UpdateStandbys) {
	ranked := p.n.members.keeperAndStandbys(update.Service)
	if len(ranked) == 0 || ranked[0] != p.n.cfg.Host {
		return
	}
	for cached := range slices.Chunk(update.Cached, maxCacheEntriesPerDatagram) {
		cacheUpdate := peer.FromCachedParts(update.Service, cached)
		for _, standby := range ranked[1:] {
			p.n.members.send(standby, peer.Datagram{CacheUpdates: []peer.CacheUpdate{cacheUpdate}})
		}
	}
}

// toAnswer translates a keeper's reply for the wire. It also returns the ticket of the request to which the reply belongs.
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

// deliverReply passes a keeper's reply to the request that waits for it; it reports false when none does.
func (p *placer) deliverReply(ticketNumber uint64, reply pool.Command) bool {
	p.mu.Lock()
	ch := p.replies[ticketNumber]
	p.mu.Unlock()
	if ch == nil {
		return false
	}
	select {
	case ch <- reply:
	default:
	}
	return true
}

// handle processes the slot messages of a datagram from another host.
func (p *placer) handle(now time.Time, d peer.Datagram) {
	for _, request := range d.SlotRequests {
		event := request.ToPool(d.From)
		event.KeeperUnconfirmed = p.justStarted()
		p.update(now, event)
	}
	for _, release := range d.SlotReleases {
		p.update(now, pool.SlotReleased{Ticket: pool.Ticket{Host: d.From, Number: release.Number}, Service: release.Service, Result: release.Result})
	}
	for _, held := range d.HeldSlots {
		p.update(now, held.ToPool(d.From))
	}
	for _, cacheUpdate := range d.CacheUpdates {
		p.update(now, cacheUpdate.ToPool())
	}
	for _, answer := range d.SlotReplies {
		p.n.members.recordAnswer(d.From)
		p.handleAnswer(d.From, answer)
	}
}

// handleAnswer processes a keeper's reply. A granted slot is released at once if the request no longer waits for it, unless the
// reply only repeats a grant that the request already uses.
func (p *placer) handleAnswer(from host.ID, a peer.SlotReply) {
	ticket := pool.Ticket{Host: p.n.cfg.Host, Number: a.Number}
	var command pool.Command
	switch a.Kind {
	case peer.Granted:
		record, known := p.endpointRecord(endpoint.Instance{ID: a.Endpoint, StartedAt: a.StartedAt})
		if !known {
			record = endpoint.Record{Instance: endpoint.Instance{ID: a.Endpoint, StartedAt: a.StartedAt}}
		}
		command = pool.Grant{Ticket: ticket, Endpoint: record, Fetch: a.Fetch, Decision: a.Decision.ToPool()}
	case peer.Queued:
		command = pool.Queue{Ticket: ticket}
	default:
		command = pool.Refuse{Ticket: ticket, Reason: a.Reason, RetryAfter: time.Duration(a.RetryAfterMs) * time.Millisecond}
	}
	if p.deliverReply(a.Number, command) || a.Kind != peer.Granted || p.holds(ticket, from) {
		return
	}
	p.n.members.send(from, peer.Datagram{SlotReleases: []peer.SlotRelease{{Number: a.Number}}})
}

// holds reports whether the slot of a ticket is in use here and was granted by keeper.
func (p *placer) holds(ticket pool.Ticket, keeper host.ID) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	held, ok := p.heldSlots[ticket]
	return ok && held.keeper == keeper
}

// endpointRecord returns the registration of an instance; false if it is not the one registered now.
func (p *placer) endpointRecord(instance endpoint.Instance) (endpoint.Record, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.keeper.Record(instance)
}

// addSlot records a granted slot. The local keeper gets slots that another host granted too, so that it has them in its counts
// if it has to decide when the service's keeper is unreachable.
func (p *placer) addSlot(request pool.SlotRequested, grant pool.Grant, keeper host.ID) {
	held := heldSlot{keeper: keeper, slot: pool.SlotHeld{
		Ticket: request.Ticket, Service: request.Service, ID: grant.Endpoint.Instance.ID, Prompt: request.Prompt,
	}}
	p.mu.Lock()
	p.heldSlots[request.Ticket] = held
	p.mu.Unlock()
	if keeper != p.n.cfg.Host {
		p.update(timer.BootClock(), held.slot)
	}
}

// releaseSlot releases a slot here, at the host that granted it, and at the service's keeper if that is another host by now.
func (p *placer) releaseSlot(ticket pool.Ticket, service site.ServiceName, result pool.Result) {
	now := timer.BootClock()
	p.mu.Lock()
	held, ok := p.heldSlots[ticket]
	delete(p.heldSlots, ticket)
	p.mu.Unlock()
	p.update(now, pool.SlotReleased{Ticket: ticket, Service: service, Result: result})
	if !ok {
		return
	}
	keeper := p.n.members.keeper(now, service)
	for _, id := range []host.ID{held.keeper, keeper} {
		if id != p.n.cfg.Host {
			p.n.members.send(id, peer.Datagram{SlotReleases: []peer.SlotRelease{{Number: ticket.Number, Service: service, Result: result}}})
		}
		if held.keeper == keeper {
			return
		}
	}
}

// renewSlots reports the slots that this host holds to the current keepers of their services: a new keeper adds them to its
// counts, and a keeper that has them does not let them expire.
func (p *placer) renewSlots(now time.Time) {
	p.mu.Lock()
	batches := make(map[host.ID][]peer.HeldSlot)
	for _, held := range p.heldSlots {
		keeper := p.n.members.keeper(now, held.slot.Service)
		batches[keeper] = append(batches[keeper], peer.FromSlotHeld(held.slot))
	}
	p.mu.Unlock()
	for keeper, slots := range batches {
		for len(slots) > 0 {
			chunk := slots[:min(len(slots), maxSlotsPerDatagram)]
			slots = slots[len(chunk):]
			if keeper == p.n.cfg.Host {
				p.handle(now, peer.Datagram{From: keeper, HeldSlots: chunk})
				continue
			}
			p.n.members.send(keeper, peer.Datagram{HeldSlots: chunk})
		}
	}
	p.renewSlotsLocally(now)
}

// renewSlotsLocally renews all slots of this host at the local keeper, those granted by other keepers included.
func (p *placer) renewSlotsLocally(now time.Time) {
	p.mu.Lock()
	slots := make([]pool.SlotHeld, 0, len(p.heldSlots))
	for _, held := range p.heldSlots {
		slots = append(slots, held.slot)
	}
	p.mu.Unlock()
	for _, slot := range slots {
		p.update(now, slot)
	}
}

// registeredInstance returns the instance with which an endpoint is registered now; false if it is not registered.
func (p *placer) registeredInstance(id endpoint.ID) (endpoint.Instance, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.keeper.RegisteredInstance(id)
}

// endpointAddress returns the ip:port of an endpoint; empty when it is not registered.
func (p *placer) endpointAddress(id endpoint.ID) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.keeper.Address(id)
}

// usable reports whether a request may still be sent to an instance: it is registered and not leaving.
func (p *placer) usable(instance endpoint.Instance) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.keeper.Usable(instance)
}

// counts returns how many requests hold a slot, and how many are queued for one, at the local keeper.
func (p *placer) counts() (running, waiting int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.keeper.Running(), p.keeper.Waiting()
}
