package node

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"balsamknot.org/entry/peer"
	"balsamknot.org/fleet/announcement"
	"balsamknot.org/fleet/endpoint"
	"balsamknot.org/fleet/host"
	"balsamknot.org/fleet/pool"
	"balsamknot.org/fleet/rest"
	"balsamknot.org/fleet/site"
	"balsamknot.org/fleet/timer"
)

// slotManager obtains a slot, the right to run at an endpoint, for each request of this host. It requests slots from the keeper
// of the service, the host that assigns the service's requests to endpoints, and is itself the keeper of some services. It is
// safe for concurrent use.
type slotManager struct {
	n *Node
	// runCtx is cancelled when the node stops; Run sets it.
	runCtx context.Context
	// startedAt is when the process started, by the boot clock.
	startedAt time.Time
	// process tells this process from earlier ones of the host.
	process uint64
	// listedAfterStart is true once listAfterStart has done its work. Only tick uses it.
	listedAfterStart bool

	mu     sync.Mutex
	keeper *pool.Keeper
	// cancelLists ends the list of an engine that is being read.
	cancelLists      map[endpoint.Instance]context.CancelFunc
	lastTicketNumber uint64
	// replies holds the channel of each request of this host that waits for a keeper's reply, by the number of its ticket.
	replies map[uint64]chan pool.Command
	// heldSlots holds the slots of this host's requests.
	heldSlots map[pool.Ticket]heldSlot
	// sentLimits holds the newest limit of each endpoint that this host told the keepers of its service.
	sentLimits map[endpoint.Instance]sentLimit
	// sentStatements holds what else this host told them last about each endpoint, and rests what endpoints asked this host for.
	sentStatements map[endpoint.Instance]sentStatement
	rests          *rest.Table
	// leavings are this host's announcements of endpoints that said that they leave.
	leavings *announcement.Schedule
	// abilities holds which hosts know which messages.
	abilities *abilities
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
	// maxKeeperAttempts is how many times a request tries to get a slot from a keeper, resends not counted, before its own host
	// decides.
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

func newSlotManager(n *Node) *slotManager {
	return &slotManager{
		// Keepers may still have slots of the host's previous process. A random first number keeps the tickets of the two
		// processes apart.
		lastTicketNumber: rand.Uint64() >> 1, process: rand.Uint64(),
		n: n, runCtx: context.Background(), startedAt: timer.BootClock(), replies: make(map[uint64]chan pool.Command), heldSlots: make(map[pool.Ticket]heldSlot),
		keeper: pool.New(poolConfig(n.cfg)), cancelLists: make(map[endpoint.Instance]context.CancelFunc), sentLimits: make(map[endpoint.Instance]sentLimit),
		sentStatements: make(map[endpoint.Instance]sentStatement), rests: rest.NewTable(), abilities: newAbilities(),
		leavings: announcement.NewSchedule(announcement.Config{Repeats: leavingRepeats(), Memory: leavingMemory}),
	}
}

// update passes an event to the local keeper and executes the resulting commands.
func (s *slotManager) update(now time.Time, e pool.Event) {
	s.mu.Lock()
	commands := s.keeper.Update(now, e)
	s.mu.Unlock()
	s.execute(commands)
}

// tick lets the local keeper enforce its time-outs and send cache updates, and repeats which endpoints leave.
func (s *slotManager) tick(now time.Time) {
	s.update(now, pool.Tick{})
	s.listAfterStart(now)
	s.repeatLeavings(now)
}

// execute carries out commands of the local keeper: replies go to the requests that wait for them, here or on other hosts.
func (s *slotManager) execute(commands []pool.Command) {
	for _, c := range commands {
		switch c := c.(type) {
		case pool.UpdateStandbys:
			s.updateStandbys(c)
		case pool.ShareBudget:
			s.shareBudget(c)
		case pool.ShareLimits:
			s.shareLimits(c)
		case pool.ListCache:
			ctx := s.beginList(c)
			s.n.wg.Go(func() { s.listCache(ctx, c) })
		case pool.CancelList:
			s.cancelList(c.Instance)
		case pool.ColdChanged:
			s.logCold(c)
		case pool.OverloadChanged:
			s.logOverload(c)
		default:
			s.reply(c)
		}
	}
}

// reply passes a reply of the local keeper on to the host whose request it answers.
func (s *slotManager) reply(c pool.Command) {
	ticket, reply := toSlotReply(c)
	if ticket.Host == s.n.cfg.Host {
		s.deliverReply(ticket.Number, c)
		return
	}
	s.n.membership.send(ticket.Host, peer.Datagram{SlotReplies: []peer.SlotReply{reply}})
}

// keeps reports whether this host is the keeper of a service.
func (s *slotManager) keeps(now time.Time, service site.ServiceName) bool {
	return s.n.membership.keeper(now, service) == s.n.cfg.Host
}

// updateStandbys sends cache contents to the service's standbys, the hosts that take over from its keeper. A host that
// another one outranks as keeper sends nothing.
func (s *slotManager) updateStandbys(update pool.UpdateStandbys) {
	ranked := s.n.membership.keeperAndStandbys(update.Service)
	if len(ranked) == 0 || ranked[0] != s.n.cfg.Host {
		return
	}
	for cached := range slices.Chunk(update.Cached, maxCacheEntriesPerDatagram) {
		cacheUpdate := peer.FromCachedParts(update.Service, cached)
		for _, standby := range ranked[1:] {
			s.n.membership.send(standby, peer.Datagram{CacheUpdates: []peer.CacheUpdate{cacheUpdate}})
		}
	}
}

// toSlotReply converts a keeper's reply to a message. It also returns the ticket of the request to which the reply belongs.
func toSlotReply(c pool.Command) (pool.Ticket, peer.SlotReply) {
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
func (s *slotManager) deliverReply(ticketNumber uint64, reply pool.Command) bool {
	s.mu.Lock()
	ch := s.replies[ticketNumber]
	s.mu.Unlock()
	if ch == nil {
		return false
	}
	select {
	case ch <- reply:
	default:
	}
	return true
}

// handle processes the slot messages of a datagram: one from another host, or this host's own report of the slots that it holds.
func (s *slotManager) handle(now time.Time, d peer.Datagram) {
	for _, request := range d.SlotRequests {
		event := request.ToPool(d.From)
		event.KeeperUnconfirmed = s.justStarted()
		s.update(now, event)
	}
	for _, request := range d.Additions.BoundRequests {
		event := request.ToPool(d.From)
		event.KeeperUnconfirmed = s.justStarted()
		s.update(now, event)
	}
	for _, demand := range d.Extensions.SlotDemands {
		event := demand.ToPool(d.From)
		event.KeeperUnconfirmed = s.justStarted()
		s.update(now, event)
	}
	s.handleAbilities(now, d)
	s.handleBudgets(now, d)
	for _, release := range d.SlotReleases {
		s.update(now, pool.SlotReleased{Ticket: pool.Ticket{Host: d.From, Number: release.Number}, Service: release.Service, Result: release.Result})
	}
	for _, end := range d.Extensions.SlotEnds {
		s.update(now, end.ToPool(d.From))
	}
	for _, held := range d.HeldSlots {
		s.update(now, held.ToPool(d.From))
	}
	for _, cacheUpdate := range d.CacheUpdates {
		s.update(now, cacheUpdate.ToPool())
	}
	for _, report := range d.Additions.LimitReports {
		s.update(now, report.ToPool(now))
	}
	s.handleStatements(now, d.Extras)
	for _, reply := range d.SlotReplies {
		s.n.membership.recordReply(d.From)
		s.handleReply(d.From, reply)
	}
}

// handleReply processes a keeper's reply. A granted slot is released at once if the request no longer waits for it, unless the
// reply only repeats a grant that the request already uses.
func (s *slotManager) handleReply(from host.ID, reply peer.SlotReply) {
	ticket := pool.Ticket{Host: s.n.cfg.Host, Number: reply.Number}
	var command pool.Command
	switch reply.Kind {
	case peer.Granted:
		record, known := s.endpointRecord(endpoint.Instance{ID: reply.Endpoint, StartedAt: reply.StartedAt})
		if !known {
			record = endpoint.Record{Instance: endpoint.Instance{ID: reply.Endpoint, StartedAt: reply.StartedAt}}
		}
		command = pool.Grant{Ticket: ticket, Endpoint: record, Fetch: reply.Fetch, Decision: reply.Decision.ToPool()}
	case peer.Queued:
		command = pool.Queue{Ticket: ticket}
	default:
		command = pool.Refuse{Ticket: ticket, Reason: reply.Reason, RetryAfter: time.Duration(reply.RetryAfterMs) * time.Millisecond}
	}
	if s.deliverReply(reply.Number, command) || reply.Kind != peer.Granted || s.holds(ticket, from) {
		return
	}
	s.n.membership.send(from, peer.Datagram{SlotReleases: []peer.SlotRelease{{Number: reply.Number}}})
}

// holds reports whether the slot of a ticket is in use here and was granted by keeper.
func (s *slotManager) holds(ticket pool.Ticket, keeper host.ID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	held, ok := s.heldSlots[ticket]
	return ok && held.keeper == keeper
}

// endpointRecord returns the registration of an instance; false if it is not the one registered now.
func (s *slotManager) endpointRecord(instance endpoint.Instance) (endpoint.Record, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.keeper.Record(instance)
}

// addSlot records a granted slot. The local keeper gets slots that another host granted too, so that it has them in its counts
// if it has to decide when the service's keeper is unreachable.
func (s *slotManager) addSlot(request pool.SlotRequested, grant pool.Grant, keeper host.ID) {
	held := heldSlot{keeper: keeper, slot: pool.SlotHeld{
		Ticket: request.Ticket, Service: request.Service, ID: grant.Endpoint.Instance.ID, Prompt: request.Prompt, Serial: request.Serial,
	}}
	s.mu.Lock()
	s.heldSlots[request.Ticket] = held
	s.mu.Unlock()
	if keeper != s.n.cfg.Host {
		s.update(timer.BootClock(), held.slot)
	}
}

// releaseSlot releases a slot here, at the host that granted it, and at the service's keeper if that is another host by now.
func (s *slotManager) releaseSlot(e pool.SlotReleased) {
	now := timer.BootClock()
	ticket, service := e.Ticket, e.Service
	s.mu.Lock()
	held, ok := s.heldSlots[ticket]
	delete(s.heldSlots, ticket)
	s.mu.Unlock()
	s.update(now, e)
	if !ok {
		return
	}
	keeper := s.n.membership.keeper(now, service)
	for _, id := range []host.ID{held.keeper, keeper} {
		if id != s.n.cfg.Host {
			s.n.membership.send(id, peer.ReleaseMessage(e, s.knowsDemands(now, id)))
		}
		if held.keeper == keeper {
			return
		}
	}
}

// renewSlots reports the slots that this host holds to the current keepers of their services: a new keeper adds them to its
// counts, and a keeper that already has them keeps them from expiring.
func (s *slotManager) renewSlots(now time.Time) {
	s.mu.Lock()
	batches := make(map[host.ID][]peer.HeldSlot)
	for _, held := range s.heldSlots {
		keeper := s.n.membership.keeper(now, held.slot.Service)
		batches[keeper] = append(batches[keeper], peer.FromSlotHeld(held.slot))
	}
	s.mu.Unlock()
	for keeper, slots := range batches {
		for len(slots) > 0 {
			chunk := slots[:min(len(slots), maxSlotsPerDatagram)]
			slots = slots[len(chunk):]
			if keeper == s.n.cfg.Host {
				s.handle(now, peer.Datagram{From: keeper, HeldSlots: chunk})
				continue
			}
			s.n.membership.send(keeper, peer.Datagram{HeldSlots: chunk})
		}
	}
	s.renewSlotsLocally(now)
}

// renewSlotsLocally renews all slots of this host at the local keeper, those granted by other keepers included.
func (s *slotManager) renewSlotsLocally(now time.Time) {
	s.mu.Lock()
	slots := make([]pool.SlotHeld, 0, len(s.heldSlots))
	for _, held := range s.heldSlots {
		slots = append(slots, held.slot)
	}
	s.mu.Unlock()
	for _, slot := range slots {
		s.update(now, slot)
	}
}

// registeredInstance returns the instance with which an endpoint is registered now; false if it is not registered.
func (s *slotManager) registeredInstance(id endpoint.ID) (endpoint.Instance, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.keeper.RegisteredInstance(id)
}

// endpointAddress returns the ip:port of an endpoint; empty when it is not registered.
func (s *slotManager) endpointAddress(id endpoint.ID) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.keeper.Address(id)
}

// usable reports whether a request may still be sent to an instance: it is registered and not leaving, and its data centre is not evacuated.
func (s *slotManager) usable(instance endpoint.Instance) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.keeper.Usable(instance)
}

// evacuated returns the data centres that the operator evacuates, in order.
func (s *slotManager) evacuated() []host.DataCentre {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.keeper.EvacuatedDataCentres()
}

// isEvacuated reports whether the operator evacuates a data centre.
func (s *slotManager) isEvacuated(dc host.DataCentre) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.keeper.IsEvacuated(dc)
}

// counts returns how many requests hold a slot, and how many are queued for one, at the local keeper.
func (s *slotManager) counts() (running, waiting int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.keeper.Running(), s.keeper.Queued()
}
