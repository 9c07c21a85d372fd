package pool

import (
	"slices"
	"time"

	"balsamknot.org/fleet/chat"
	"balsamknot.org/fleet/endpoint"
)

// choice is the endpoint chosen for a request, and the engine from which it can fetch missing parts of the prompt.
type choice struct {
	target *endpointState
	// missingTokens is how many tokens of the prompt's shared parts target does not cache.
	missingTokens int
	// source caches at least minFetchTokens more of the prompt than target; nil when there is none.
	source              *endpointState
	sourceMissingTokens int
	// awaited is the engine for whose next slot the request had better wait, although target is free; nil if there is none.
	awaited *endpointState
	// paced is true if there is no target, but would be one if its requests were not paced.
	paced bool
	// beyond is true if target has got as many requests as a cold endpoint may get.
	beyond bool
}

// minFetchTokens is the smallest number of tokens for which one engine fetches from the cache of another.
const minFetchTokens = 64

// scan is the comparison of endpoints for a request.
type scan struct {
	now     time.Time
	request SlotRequested
	// isEngine is true when the service's endpoints are model engines, false when they are runners of a plain service.
	isEngine      bool
	loadLimit     int
	rendezvousKey uint64
	// paced is true once an endpoint had a free slot, but its pace did not allow the request.
	paced bool
	// service is that of the endpoints, and grants is coldBound.grants.
	service *service
	grants  int
	// share is the share of the endpoints that the keeper may use for the request.
	share float64
	// unlimited is the mean load of the endpoints without a limiter, if there are limiters.
	unlimited load
	// own is the expected work of the request, speeds are those of the service's engines, and engineCost is the cost of the request at one.
	own        work
	speeds     speeds
	engineCost engineCost

	best     choice
	bestCost cost
	// awaited is the engine without a free slot where waiting for one costs the least, at awaitedCost; nil if there is none.
	awaited     *endpointState
	awaitedCost float64
	// awaitLimitMs is the longest expected wait for a certain engine.
	awaitLimitMs float64
	// lastEndpoint is the request's LastEndpoint, if it has a free slot and is not suspect.
	lastEndpoint *endpointState
	// bestCached is the endpoint that caches the most of the prompt, among those that are not suspect.
	// bestCachedMissingTokens is how many tokens of the prompt's shared parts it does not cache.
	bestCached              *endpointState
	bestCachedMissingTokens int
	// leastMissingTokens is how many tokens of the shared parts no engine caches that may serve them; what another one lacks more is read again.
	leastMissingTokens int
}

// chooseAmong returns the endpoint with the lowest cost among those with a free slot that it compares: the engines that are known to cache the
// prompt, and the group to which its prefix falls, or further groups if these have none. ok is false when there is none in the whole service.
// Suspect endpoints are chosen only when there is no other. When no endpoint is known to cache the prompt's last shared
// part, the LastEndpoint of the request is preferred. waited is how long the request has waited.
func (s *service) chooseAmong(now time.Time, e SlotRequested, waited time.Duration) (c choice, ok bool) {
	sc := scan{now: now, request: e, awaitLimitMs: awaitLimitMs(e, waited), isEngine: s.engine != nil, loadLimit: s.loadLimit(), rendezvousKey: rendezvousKey(e.Prompt), share: s.share(e), service: s}
	sc.own, sc.speeds, sc.engineCost = s.expect(e), s.speeds, s.placing.cost
	sc.grants = s.cold.grants(s.reachableShare, e.KeeperUnconfirmed || s.starting(now))
	if len(s.limiters) > 0 {
		sc.unlimited = s.unlimitedLoad(now)
	}
	if sc.isEngine {
		s.considerCaching(&sc)
	}
	s.groups.forEach(groupKey(e), func(g *group) bool {
		for _, st := range g.members {
			sc.considerTarget(st)
		}
		return !sc.settled()
	})
	c = sc.best
	switch {
	case c.target == nil:
		return choice{paced: sc.paced}, false
	case !sc.isEngine:
		return c, true
	case sc.awaits():
		c.awaited = sc.awaited
		return c, true
	case sc.lastEndpoint != nil && (sc.bestCached == nil || sc.bestCachedMissingTokens >= e.Prompt.LastSharedPartTokens()):
		return choice{target: sc.lastEndpoint}, true
	}
	if s.engine.CacheTransfer && sc.bestCached != nil && sc.bestCachedMissingTokens <= c.missingTokens-minFetchTokens {
		c.source, c.sourceMissingTokens = sc.bestCached, sc.bestCachedMissingTokens
	}
	return c, true
}

// groupKey returns the key from which the groups for a request follow. Requests without a shared prefix are spread over all groups.
func groupKey(e SlotRequested) uint64 {
	if key := rendezvousKey(e.Prompt); key != 0 {
		return key
	}
	return e.Ticket.Number
}

// considerCaching compares the engines that are known to cache shared parts of the prompt, and the one that the entry names.
func (s *service) considerCaching(sc *scan) {
	shared := sc.request.Prompt.SharedParts()
	for _, part := range shared {
		sc.leastMissingTokens += part.Tokens
		for _, st := range s.caching[part.ID] {
			sc.considerSource(st)
		}
	}
	if sc.bestCached != nil {
		sc.leastMissingTokens = sc.bestCachedMissingTokens
	}
	for _, part := range slices.Backward(shared) {
		for _, st := range s.caching[part.ID] {
			if !sc.considerTarget(st) && s.placing.awaits {
				s.considerAwaiting(sc, st)
			}
		}
	}
	st := s.endpoints[sc.request.LastEndpoint]
	if st == nil {
		return
	}
	if sc.considerTarget(st) && !st.suspect(sc.now) {
		sc.lastEndpoint = st
	}
}

// settled reports whether no further group needs to be compared.
func (sc *scan) settled() bool {
	return sc.best.target != nil && !sc.bestCost.suspect && !sc.bestCost.beyond
}

// considerSource compares an engine with the one that caches the most of the prompt so far. An engine that is leaving or evacuated can
// still serve its cache to others; a suspect one may not respond.
func (sc *scan) considerSource(st *endpointState) {
	if st.suspect(sc.now) {
		return
	}
	missingTokens := st.missingTokens(sc.now, sc.request.Prompt)
	if sc.bestCached == nil || missingTokens < sc.bestCachedMissingTokens {
		sc.bestCached, sc.bestCachedMissingTokens = st, missingTokens
	}
}

// considerTarget compares an endpoint with the best so far, and reports whether the request may get it without a look at the others.
func (sc *scan) considerTarget(st *endpointState) bool {
	if !st.hasFreeSlot(sc.now, sc.loadLimit, st.capacity(sc.share, sc.isEngine)) || !sc.request.accepts(st.record) {
		return false
	}
	c := cost{suspect: st.suspect(sc.now)}
	if st.isPaced() {
		allowed, beyond := sc.service.paceAllows(sc.now, st, sc.request, sc.grants)
		if !allowed {
			sc.paced = true
			return false
		}
		c.beyond = beyond
	}
	// Most endpoints are ruled out by their load alone, which costs less than looking up what they cache.
	if c.amount = sc.endpointCost(st, 0); !sc.better(c) {
		return !c.beyond
	}
	missingTokens := 0
	if sc.isEngine {
		missingTokens = st.missingTokens(sc.now, sc.request.Prompt)
		c.amount = sc.endpointCost(st, missingTokens)
	}
	if sc.better(c) {
		sc.best, sc.bestCost = choice{target: st, missingTokens: missingTokens, beyond: c.beyond}, c
	}
	return !c.beyond
}

// better reports whether a cost is the least so far.
func (sc *scan) better(c cost) bool { return sc.best.target == nil || c.less(sc.bestCost) }

// endpointCost returns the request's cost at an endpoint: in milliseconds for engines, in running requests for the runners of a
// plain service.
func (sc *scan) endpointCost(st *endpointState, missingTokens int) float64 {
	if sc.isEngine {
		return sc.engineCost(sc, st, missingTokens)
	}
	return st.runnerCost(sc.now, sc.request)
}

// loadLimit returns how many requests an endpoint may run: LoadFactor times the number of running requests per endpoint that
// takes requests, plus loadMargin. In this mean, an endpoint with a limit counts as limitedWeight endpoints.
func (s *service) loadLimit() int {
	if s.available == 0 {
		return 0
	}
	available := float64(s.available) - (1-limitedWeight)*float64(s.limited)
	return int(s.cfg.LoadFactor*float64(s.running)/available + loadMargin)
}

// limitedWeight is how much an endpoint with a limit counts in the mean load. It takes less than the others, but must count for something:
// else the bound of the only endpoint without a limit, which may only not have stated it yet, would grow with its own load.
const limitedWeight = 0.5

// lastEndpoint returns the endpoint that last served the prompt's shared prefix, may still cache it and is not evacuated; empty if none.
func (s *service) lastEndpoint(now time.Time, p chat.Prompt) endpoint.ID {
	prefix := p.SharedPrefix()
	if prefix == 0 {
		return ""
	}
	for _, st := range s.caching[prefix] {
		if !st.evacuated && now.Sub(st.cachedParts[prefix].usedAt) < partLifetime {
			return st.record.Instance.ID
		}
	}
	return ""
}

// cost orders the endpoints for a request: suspect ones last, before them those that have got as many requests as a cold one may get, then by
// amount, which is the result of endpointCost.
type cost struct {
	suspect, beyond bool
	amount          float64
}

func (c cost) less(d cost) bool {
	if c.suspect != d.suspect {
		return d.suspect
	}
	if c.beyond != d.beyond {
		return d.beyond
	}
	return c.amount < d.amount
}

// rendezvousKey returns the key that determines the rendezvous order of the endpoints for a prompt.
func rendezvousKey(p chat.Prompt) uint64 { return uint64(p.SharedPrefix()) }
