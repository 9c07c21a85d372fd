package pool

import (
	"cmp"
	"math"
	"slices"
	"time"

	"balsamknot.org/fleet/admission"
	"balsamknot.org/fleet/chat"
	"balsamknot.org/fleet/endpoint"
	"balsamknot.org/fleet/forecast"
	"balsamknot.org/fleet/host"
	"balsamknot.org/fleet/site"
)

const (
	// loadMargin is added to LoadFactor times the mean number of running requests to get the load limit of an endpoint.
	loadMargin = 3
	// queuePerSlot is the length limit of a service's queue, per slot of its endpoints.
	queuePerSlot = 2
	// slotTimeout is how long a slot is held without renewal before it is released.
	slotTimeout = 4 * time.Second
	// minRetryAfter and maxRetryAfter bound the retry delay that a refusal suggests to the caller.
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = 2 * time.Second
)

// service is the scheduling state of one service: its endpoints, held slots, queue and retry budget.
type service struct {
	name      site.ServiceName
	cfg       Config
	site      site.Service
	engine    *site.Engine
	endpoints map[endpoint.ID]*endpointState
	// sorted holds the endpoints in order of ID, available counts those that take requests, limited those of these that state a limit,
	// and running is the number of slots held at all of them.
	sorted    []*endpointState
	available int
	limited   int
	running   int
	// groups divides sorted into groups of maxGroupSize, and caching finds the engines that cache a part of a prompt.
	groups       groups
	maxGroupSize int
	caching      cacheIndex
	// departed remembers the caches of engines that have left, and startedAt is when this host began to follow the services.
	departed  departedEngines
	startedAt time.Time
	// loadedAt is when the first endpoint was added, with all others of the first copy of the store, and createdAt is PastRead.CreatedAt.
	loadedAt  time.Time
	createdAt map[endpoint.Instance]int64
	// sessions holds the streams that were taken up and may have begun before this host started, the first one at firstTakenUpAt.
	sessions       map[sessionKey]*sessionStreams
	firstTakenUpAt time.Time
	heldSlots      map[Ticket]*heldSlot
	// runningSessions has the sessions of the requests with a slot, and versionSince when this host learned of the first engine of each version.
	runningSessions runningSessions
	versionSince    map[endpoint.Version]time.Time
	queue           requestQueue
	budget          retryBudget
	serial          serialRuns
	// sent holds the newest cache update for the standbys by shared prefix, and pending the updates to be sent at the
	// next tick.
	sent    map[chat.PartID]sentUpdate
	pending map[chat.PartID]CachedParts
	// lengths expects how long answers of engines will be, and speeds is how fast they come.
	lengths *forecast.Forecaster
	speeds  speeds
	// placing is how engines are compared.
	placing placing
	// drains counts the passes over the queue, and awaiting the requests that wait for a certain engine in the present one.
	drains, awaiting int
	listing          cacheListing
	// limiters holds the limiter of each endpoint that states a limit, or did so until a short time ago.
	limiters map[endpoint.Instance]*limiter
	// cold is the bound on requests to cold endpoints, and arrivals holds the newest grants at each endpoint if there is such a bound.
	cold     coldBound
	arrivals map[endpoint.ID]*arrivals
	// grantedAt is when this host granted the last slot as keeper, and grantingSince when it began to, without a takeoverPause since.
	grantedAt, grantingSince time.Time
	// statements holds what endpoints say of themselves in answers.
	statements map[endpoint.Instance]statement
	// reachableShare is FleetCounted.ReachableShare.
	reachableShare float64
	// evacuated is Keeper.evacuated.
	evacuated map[host.DataCentre]bool
	// perDataCentre counts the registered endpoints of each data centre.
	perDataCentre dataCentreCounts
	// roomLately is the result of room at roomAt.
	roomLately admission.Room
	roomAt     time.Time
	// headPaced is true while queued requests wait for the pace of endpoints, so that time alone makes room for them.
	headPaced bool
	// pacedRequests counts the requests for Keeper.Paced.
	pacedRequests int
	overload      overloadState
}

// heldSlot is a slot that a request holds at an endpoint.
type heldSlot struct {
	endpoint *endpointState
	// grant is kept so that it can be sent again when the first message was lost.
	grant     Grant
	grantedAt time.Time
	// renewedAt is when the holder last requested or reported the slot.
	renewedAt time.Time
	serial    SerialKey
	// session is the last part of the request's prompt, 0 if it has none, and version that of the endpoint when the slot was granted.
	session chat.PartID
	version endpoint.Version
	work    work
	class   admission.Class
	// workspace is empty for a slot that another keeper granted.
	workspace site.WorkspaceName
}

func newService(name site.ServiceName, cfg Config) *service {
	return &service{
		name: name, cfg: cfg, sent: make(map[chat.PartID]sentUpdate), pending: make(map[chat.PartID]CachedParts), endpoints: make(map[endpoint.ID]*endpointState), heldSlots: make(map[Ticket]*heldSlot), runningSessions: make(runningSessions), versionSince: make(map[endpoint.Version]time.Time), queue: newRequestQueue(),
		groups: newGroups(nil, maxGroupSize), maxGroupSize: maxGroupSize, caching: make(cacheIndex),
		budget: newRetryBudget(cfg), serial: make(serialRuns), limiters: make(map[endpoint.Instance]*limiter), statements: make(map[endpoint.Instance]statement), arrivals: make(map[endpoint.ID]*arrivals), reachableShare: 1,
		perDataCentre: make(dataCentreCounts),
		lengths:       forecast.New(), speeds: newSpeeds(), placing: placing{cost: expectedCost, awaits: true},
	}
}

func (s *service) configure(now time.Time, c site.Service) {
	s.engine, s.site = c.Engine, c
	s.setCold(now, newColdBound(s.cfg, c))
}

func (s *service) add(now time.Time, r endpoint.Record) []Command {
	if st := s.endpoints[r.Instance.ID]; st != nil && st.record.Instance == r.Instance {
		s.addToTotals(st, -1)
		s.perDataCentre.move(st.record.DataCentre, r.DataCentre)
		version := st.record.Version
		st.record, st.evacuated = r, s.evacuated[r.DataCentre]
		if version != r.Version {
			s.noteVersion(now, r.Version)
			s.forgetVersion(version)
		}
		s.applyStatement(st)
		s.addToTotals(st, 1)
		s.registerCold(now, st, false)
		return s.drainQueue(now)
	}
	s.remove(now, r.Instance.ID)
	s.departed.restore(r.Instance)
	st := newEndpointState(r)
	st.addedAt = now
	if s.loadedAt.IsZero() {
		s.loadedAt = now
	}
	st.limiter, st.arrivals, st.evacuated = s.limiters[r.Instance], s.arrivalsOf(r.Instance.ID), s.evacuated[r.DataCentre]
	st.limited = st.limiter.limited()
	s.applyStatement(st)
	s.endpoints[r.Instance.ID] = st
	s.perDataCentre.add(r.DataCentre)
	at, _ := searchEndpoint(s.sorted, r.Instance.ID)
	s.sorted = slices.Insert(s.sorted, at, st)
	s.noteVersion(now, r.Version)
	s.groups.add(st)
	s.regroup()
	s.addToTotals(st, 1)
	s.registerCold(now, st, true)
	return s.drainQueue(now)
}

func (s *service) remove(now time.Time, id endpoint.ID) {
	st := s.endpoints[id]
	if st == nil {
		return
	}
	delete(s.endpoints, id)
	if s.engine != nil {
		s.departed.add(now, st)
	}
	s.perDataCentre.remove(st.record.DataCentre)
	if at, found := searchEndpoint(s.sorted, id); found {
		s.sorted = slices.Delete(s.sorted, at, at+1)
	}
	s.forgetVersion(st.record.Version)
	s.groups.remove(st)
	s.regroup()
	for part := range st.cachedParts {
		s.caching.evicted(part, st)
	}
	s.addToTotals(st, -1)
}

// searchEndpoint returns the index of an endpoint in a list in order of ID, or where it would be inserted.
func searchEndpoint(sorted []*endpointState, id endpoint.ID) (at int, found bool) {
	return slices.BinarySearchFunc(sorted, id, func(st *endpointState, id endpoint.ID) int { return cmp.Compare(st.record.Instance.ID, id) })
}

// regroup divides the endpoints anew if the groups have grown too large, or so small that a choice among one of them would be poor.
func (s *service) regroup() {
	capacity := len(s.groups) * s.maxGroupSize
	if len(s.sorted) > capacity || len(s.groups) > 1 && len(s.sorted) < capacity/minGroupShare {
		s.groups = newGroups(s.sorted, s.maxGroupSize)
	}
}

// grantPart records that an engine gets a request with a part of a prompt, which it caches from then on.
func (s *service) grantPart(now time.Time, st *endpointState, id chat.PartID) {
	part, known := st.cachedParts[id]
	part.usedAt, part.granted = now, part.granted || !known
	s.putPart(now, st, id, part)
}

// putPart records what is known of a part that an engine caches.
func (s *service) putPart(now time.Time, st *endpointState, id chat.PartID, part cachedPart) {
	st.cachedParts[id] = part
	s.caching.used(id, st)
	if len(st.cachedParts) <= maxParts {
		return
	}
	for _, expired := range st.evictParts(now) {
		s.caching.evicted(expired, st)
	}
}

// addToTotals adds an endpoint to the totals of the service; a sign of -1 subtracts it.
func (s *service) addToTotals(st *endpointState, sign int) {
	s.running += sign * st.running
	if !st.takesRequests() {
		return
	}
	s.available += sign
	if st.limited {
		s.limited += sign
	}
}

// acquireSlot records a slot as held, for work whose prompt takes the endpoint readMs to read.
func (s *service) acquireSlot(now time.Time, h *heldSlot, p chat.Prompt, readMs float64) {
	st := h.endpoint
	h.grantedAt, h.renewedAt = now, now
	s.heldSlots[h.grant.Ticket] = h
	h.session, h.version = sessionOf(p), st.record.Version
	s.runningSessions.begin(h.session, h.version)
	s.serial.begin(h.serial, h.grant.Ticket)
	s.queue.order.Hold(now, h.workspace)
	st.begin(now, h.work, readMs)
	s.addRunning(st, 1)
	for _, part := range p.CachedParts() {
		s.grantPart(now, st, part.ID)
	}
	s.noteOwnPart(now, st, p)
}

// releaseSlot frees a held slot and records the result of the request at the endpoint.
func (s *service) releaseSlot(now time.Time, t Ticket, h *heldSlot, r Result) {
	delete(s.heldSlots, t)
	s.runningSessions.end(h.session, h.version)
	s.serial.end(now, h.serial, t, r)
	h.endpoint.end(now, h.work)
	h.endpoint.finish(now, r)
	s.addRunning(h.endpoint, -1)
	s.queue.order.Release(now, h.workspace)
}

// addRunning adjusts the running total, unless the endpoint has been removed or replaced: remove has subtracted its slots.
func (s *service) addRunning(st *endpointState, change int) {
	if s.endpoints[st.record.Instance.ID] == st {
		s.running += change
		st.group.running += change
	}
}

// request grants a slot, queues the request, or refuses it at once when no slot is expected to become free in time.
// A repeated request that holds a slot or is queued gets the same reply as before.
func (s *service) request(now time.Time, e SlotRequested) []Command {
	if h := s.heldSlots[e.Ticket]; h != nil {
		h.renewedAt = now
		return []Command{h.grant}
	}
	if s.queue.contains(e.Ticket) {
		return []Command{Queue{e.Ticket}}
	}
	if wait := s.serialWait(now, e.Serial); wait > 0 {
		return []Command{Refuse{e.Ticket, AwaitsCopy, wait}}
	}
	if !s.budget.allow(now, e, s.reachableShare) {
		return []Command{Refuse{e.Ticket, NoBudget, maxRetryAfter}}
	}
	if !s.anyAvailable(e) {
		return []Command{s.refuseWithoutEndpoint(e)}
	}
	e = s.bindToSession(e)
	commands := s.listCaches(now, e)
	commands = append(commands, s.drainPaced(now)...)
	if s.queue.unbound == 0 && !s.awaitsCacheLists(now) && !s.queue.holdsBack(now, e, s.recentRoom(now)) {
		c, ok := s.choose(now, e, 0)
		if ok && c.awaited == nil {
			s.queue.serve(now, e, s.recentRoom(now))
			return append(commands, s.grant(now, e, c, 0)...)
		}
		if c.paced {
			s.pacedRequests++
		}
	}
	if refusal, refused := s.queue.arrive(now, e, s.room(now, e.limitShare())); refused {
		return append(commands, refusal)
	}
	s.serial.begin(e.Serial, e.Ticket)
	commands = append(append(commands, Queue{e.Ticket}), s.drainQueue(now)...)
	return append(commands, s.expireQueue(now)...)
}

// assumedRetryAfter returns the retry delay to suggest when no endpoint is available, so that no wait can be estimated.
func assumedRetryAfter(e SlotRequested) time.Duration { return clampRetryAfter(e.TimeLeft / 4) }

func clampRetryAfter(d time.Duration) time.Duration { return min(max(d, minRetryAfter), maxRetryAfter) }

func (s *service) grant(now time.Time, e SlotRequested, c choice, waited time.Duration) []Command {
	grant := Grant{Ticket: e.Ticket, Endpoint: c.target.record, Decision: Decision{
		Running: c.target.running, Limit: s.loadLimit(), MissingTokens: c.missingTokens, Suspect: c.target.suspect(now), Waited: waited,
	}}
	if c.source != nil {
		grant.Fetch, grant.Decision.FetchedTokens = c.source.record.Instance.ID, c.missingTokens-c.sourceMissingTokens
	}
	w, readMs := s.expectAt(now, e, c)
	h := &heldSlot{endpoint: c.target, grant: grant, serial: e.Serial, work: w, class: e.class(), workspace: e.Workspace}
	s.acquireSlot(now, h, e.Prompt, readMs)
	s.recordCacheUpdate(now, c.target.record.Instance.ID, e.Prompt)
	s.recordArrival(now, c.target, e)
	return append(s.tellHolder(now, e.Ticket, c.target), grant)
}

// adoptSlot records a slot that another keeper granted, or renews the slot if it is recorded already.
func (s *service) adoptSlot(now time.Time, e SlotHeld) {
	if h := s.heldSlots[e.Ticket]; h != nil {
		h.renewedAt = now
		return
	}
	st := s.endpoints[e.ID]
	if st == nil {
		return
	}
	h := &heldSlot{endpoint: st, grant: Grant{Ticket: e.Ticket, Endpoint: st.record}, serial: e.Serial, work: work{weight: 1, slowdown: 1}}
	s.acquireSlot(now, h, e.Prompt, 0)
}

// release frees the slot of a ticket, or removes its request from the queue.
func (s *service) release(now time.Time, e SlotReleased) []Command {
	h := s.heldSlots[e.Ticket]
	if h == nil {
		s.queue.withdraw(e.Ticket)
		return nil
	}
	s.releaseSlot(now, e.Ticket, h, e.Result)
	s.learn(now, h, e.Run, e.Result)
	if e.Result == Completed {
		s.queue.order.Learn(h.class, now.Sub(h.grantedAt), e.Run.FirstAfter)
	}
	return s.drainQueue(now)
}

// releaseHost frees the slots of a removed host and drops its queued requests.
func (s *service) releaseHost(now time.Time, id host.ID) []Command {
	for ticket, h := range s.heldSlots {
		if ticket.Host == id {
			s.releaseSlot(now, ticket, h, Unknown)
		}
	}
	s.queue.withdrawHost(id)
	return s.drainQueue(now)
}

// tick releases slots that were not renewed, refuses queued requests that can't begin in time any more, and sends pending updates to other hosts.
func (s *service) tick(now time.Time) []Command {
	for ticket, h := range s.heldSlots {
		if now.Sub(h.renewedAt) > slotTimeout {
			s.releaseSlot(now, ticket, h, Unknown)
		}
	}
	s.deleteEndedSerialRuns(now)
	s.expireStatements(now)
	commands := append(s.tickLimits(now), s.cancelLateLists(now)...)
	commands = append(commands, s.requestLists(now, s.sorted)...)
	s.queue.order.ForgetIdle(now)
	commands = append(commands, s.overloadChanges(now)...)
	commands = append(commands, s.expireQueue(now)...)
	commands = append(commands, s.shareBudget(now)...)
	return append(append(commands, s.drainQueue(now)...), s.flushCacheUpdates(now)...)
}

// rate returns how many requests a second the endpoints that take requests can complete. Of those with a limit, that is a share of
// what it allows; if they are many, the load limit counts for the others, which are likely to reach it.
func (s *service) rate(now time.Time, share float64) float64 {
	rate, maxRunning := 0.0, math.MaxInt
	if s.paced() {
		maxRunning = s.loadLimit()
	}
	for _, st := range s.sorted {
		if !st.takesRequests() {
			continue
		}
		r := float64(min(st.capacity(s.reachableShare, s.engine != nil), maxRunning)) / s.queue.meanHoldTime().Seconds()
		if st.limiter != nil {
			r = min(r, st.limiter.rate(now)*s.reachableShare*share)
		}
		if st.arrivals != nil {
			r = min(r, float64(s.cold.grants(s.reachableShare*share, false))/coldWindow.Seconds())
		}
		rate += r
	}
	return rate
}

// totalSlots returns the number of slots of the endpoints that take requests.
func (s *service) totalSlots() int {
	total := 0
	for _, st := range s.sorted {
		if st.takesRequests() {
			total += st.slots(s.reachableShare)
		}
	}
	return total
}

// anyAvailable reports whether an endpoint takes requests that the request has not tried.
func (s *service) anyAvailable(e SlotRequested) bool {
	for _, st := range s.sorted {
		if st.takesRequests() && e.accepts(st.record) {
			return true
		}
	}
	return false
}

// accepts reports whether the request may be sent to an endpoint: it was not tried before, has the version that the request needs, and is in one
// of its data centres.
func (e SlotRequested) accepts(r endpoint.Record) bool {
	return (e.Version == "" || e.Version == r.Version) && (len(e.DataCentres) == 0 || slices.Contains(e.DataCentres, r.DataCentre)) &&
		!slices.Contains(e.Tried, r.Instance.ID)
}

// isBound reports whether only some of the endpoints may get the request, so that others behind it in the queue need not wait for it.
func (e SlotRequested) isBound() bool {
	return e.Version != "" || len(e.DataCentres) > 0 || len(e.Tried) > 0
}
