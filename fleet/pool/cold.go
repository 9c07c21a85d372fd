package pool

import (
	"slices"
	"time"

	"balsamknot.org/fleet/endpoint"
	"balsamknot.org/fleet/site"
)

const (
	// coldWindow is the time over which the requests to a cold endpoint are bounded.
	coldWindow = time.Second
	// takeoverPause is how long a keeper must not have granted slots to start anew. It is longer than the bound itself may keep it from granting.
	takeoverPause = 2 * coldWindow
	// coldReserve is how many requests of the bound are left for hosts that decide alone, and for requests that arrive closer together than they
	// were granted; at most one of coldReserveShare.
	coldReserve      = 2
	coldReserveShare = 4
	// restartDoubt is how long after a connection to an endpoint broke, or could not be established, it may have restarted, cold, without that its
	// registration says so: that comes up to two seconds late.
	restartDoubt = 4 * time.Second
	// coldOpenShare is the part of the bound that may be sent to an endpoint at the same moment by hosts that decide alone, on average.
	coldOpenShare = 0.25
)

// coldBound is the bound on the requests to the cold endpoints of a service.
type coldBound struct {
	// perSecond is what a cold endpoint takes; 0 if the service has no bound.
	perSecond float64
	// most is how many requests all hosts together may send to a cold endpoint within coldWindow.
	most int
	// duration is how long an endpoint is cold that does not say for how long.
	duration time.Duration
}

func newColdBound(cfg Config, c site.Service) coldBound {
	if c.ColdRate <= 0 {
		return coldBound{}
	}
	return coldBound{perSecond: c.ColdRate, most: int(c.ColdRate*cfg.ColdFactor + cfg.ColdSlack), duration: c.ColdTime}
}

// burst returns how many slots a keeper grants at an endpoint without a pause, and gap the time between further ones, so that requests under lasting
// load come one after another.
func (b coldBound) burst() (n int, gap time.Duration) {
	most := max(b.most, 1)
	return max(most/2, 1), coldWindow / time.Duration(most)
}

// grants returns how many slots a keeper may grant at an endpoint within coldWindow, if it may use a share of the bound. While it starts to grant, it
// leaves a burst to the keeper before it, whose grants it may not know. The result is 1 at least, so that warm endpoints serve.
func (b coldBound) grants(share float64, starting bool) int {
	n := int(float64(b.most)*share) - min(coldReserve, b.most/coldReserveShare)
	if starting {
		burst, _ := b.burst()
		n -= burst
	}
	return max(n, 1)
}

// arrivals holds when the last slots at an endpoint were granted. Any endpoint of a service may become cold at any moment, which its registration
// states only later; therefore the bound on cold endpoints is kept at all of them.
type arrivals struct {
	// times is a ring, and next the index of the oldest.
	times []time.Time
	next  int
	// turns are those of this host while it decides alone.
	turns turns
}

func newArrivals(id endpoint.ID, most int) *arrivals {
	return &arrivals{times: make([]time.Time, max(most, 1)), turns: newTurns(id)}
}

// resize keeps as many grants as another bound needs.
func (a *arrivals) resize(most int) {
	times := slices.Concat(make([]time.Time, max(most, 1)), a.times[a.next:], a.times[:a.next])
	a.times, a.next = times[len(times)-max(most, 1):], 0
}

// fewer reports whether fewer than n slots were granted within the last coldWindow. n is 1 at least, and the size of the ring at most.
func (a *arrivals) fewer(now time.Time, n int) bool {
	nth := a.times[(a.next-n+len(a.times))%len(a.times)]
	return now.Sub(nth) > coldWindow
}

// allow reports whether a keeper may grant one more slot now, if it may grant n within coldWindow.
func (a *arrivals) allow(now time.Time, bound coldBound, n int) bool {
	if !a.fewer(now, n) {
		return false
	}
	burst, gap := bound.burst()
	return a.fewer(now, burst) || now.Sub(a.newest()) >= gap
}

// newest returns when the last slot was granted.
func (a *arrivals) newest() time.Time { return a.times[(a.next-1+len(a.times))%len(a.times)] }

// count returns the number of slots granted within the last coldWindow.
func (a *arrivals) count(now time.Time) int {
	n := 0
	for n < len(a.times) && !a.fewer(now, n+1) {
		n++
	}
	return n
}

// add records n slots that were granted a moment ago.
func (a *arrivals) add(now time.Time, n int) {
	for range min(n, len(a.times)) {
		a.times[a.next] = now
		a.next = (a.next + 1) % len(a.times)
	}
}

// ColdChanged reports that an endpoint is cold, for Left from now on as far as is known, or no longer is.
type ColdChanged struct {
	Service  site.ServiceName
	Instance endpoint.Instance
	Cold     bool
	Left     time.Duration
}

func (ColdChanged) command() {}

// setCold applies a change of the bound on cold endpoints, or of the service's configuration.
func (s *service) setCold(now time.Time, bound coldBound) {
	if bound == s.cold {
		return
	}
	s.cold = bound
	for _, a := range s.arrivals {
		a.resize(bound.most)
	}
	for _, l := range s.limiters {
		if l.cold != nil {
			l.cold = &pace{perSecond: bound.perSecond, endsAt: l.cold.endsAt}
		}
		if bound.perSecond == 0 {
			l.cold = nil
		}
	}
	for _, st := range s.sorted {
		st.arrivals = s.arrivalsOf(st.record.Instance.ID)
		s.coldFor(now, st, st.record.WarmUpLeft)
	}
}

// arrivalsOf returns the arrivals at an endpoint; nil if the service has no bound on cold endpoints.
func (s *service) arrivalsOf(id endpoint.ID) *arrivals {
	if s.cold.perSecond == 0 {
		return nil
	}
	a := s.arrivals[id]
	if a == nil {
		a = newArrivals(id, s.cold.most)
		s.arrivals[id] = a
	}
	return a
}

// coldFor records that an endpoint is cold for a time from now on, unless it is known to be so for longer.
func (s *service) coldFor(now time.Time, st *endpointState, d time.Duration) {
	if s.cold.perSecond == 0 || d <= 0 {
		return
	}
	l := s.limiters[st.record.Instance]
	if l == nil {
		l = newLimiter(now, st.record.Instance.ID)
		s.limiters[st.record.Instance] = l
	}
	until := now.Add(d)
	if l.cold != nil && until.Before(l.cold.endsAt) {
		return
	}
	l.refill(now, s.reachableShare)
	l.cold = &pace{perSecond: s.cold.perSecond, endsAt: until}
	s.setLimiter(st, l)
}

// assumeCold records that an endpoint may have become cold a moment ago.
func (s *service) assumeCold(now time.Time, st *endpointState) { s.coldFor(now, st, s.cold.duration) }

// registerCold records what a registration tells of an endpoint's cold time. An instance that was not registered before is taken to be cold while
// requests run, also if it does not say so: it may have been registered before it began to count.
func (s *service) registerCold(now time.Time, st *endpointState, isNew bool) {
	s.coldFor(now, st, st.record.WarmUpLeft)
	if isNew && s.running > 0 {
		s.assumeCold(now, st)
	}
}

// starting reports whether this host has granted slots of the service for less than coldWindow, so that another keeper may have granted some that it
// does not know of.
func (s *service) starting(now time.Time) bool {
	return now.Sub(s.grantingSince) <= coldWindow || now.Sub(s.grantedAt) > takeoverPause
}

// recordArrival counts a slot that was granted to the request at an endpoint.
func (s *service) recordArrival(now time.Time, st *endpointState, e SlotRequested) {
	if st.limiter != nil {
		st.limiter.take(now, e, s.reachableShare)
	}
	if st.arrivals != nil {
		st.arrivals.add(now, 1)
	}
	if !st.isPaced() {
		return
	}
	st.unshared.n++
	if e.BudgetShare > 0 {
		st.unshared.alone = true
		s.endTurn(now, st, e)
		return
	}
	if now.Sub(s.grantedAt) > takeoverPause {
		s.grantingSince = now
	}
	s.grantedAt = now
}

// endTurn notes that this host, which decides alone, has used its turn at an endpoint.
func (s *service) endTurn(now time.Time, st *endpointState, e SlotRequested) {
	if st.arrivals != nil {
		st.arrivals.turns.last = s.coldTurn(now, st, e).number
	}
}

// coldTurn returns the turn of a host that decides alone at an endpoint that is not known to be cold.
func (s *service) coldTurn(now time.Time, st *endpointState, e SlotRequested) turn {
	most := float64(max(s.cold.most, 1))
	return st.arrivals.turns.at(now, e, most, coldOpenShare*most)
}

// isPaced reports whether the endpoint may have free slots that requests must not get yet.
func (st *endpointState) isPaced() bool { return st.limiter != nil || st.arrivals != nil }

// paceAllows reports whether what the endpoint states, and its cold time, allow the request now. beyond is true if the endpoint would then get more
// requests than a cold one may, so that it gets them only if no other has room. One that is cold, or may have restarted, never does. grants is
// coldBound.grants.
func (s *service) paceAllows(now time.Time, st *endpointState, e SlotRequested, grants int) (allowed, beyond bool) {
	if st.limiter != nil && !st.limiter.allows(now, e, s.reachableShare) {
		return false, false
	}
	if st.arrivals == nil || s.withinColdBound(now, st, e, grants) {
		return true, false
	}
	return s.cfg.ColdBound != ColdBoundAll && !st.limiter.isCold(now) && !now.Before(st.doubtedUntil), true
}

// withinColdBound reports whether the endpoint would get no more requests than a cold one may, if it got this one.
func (s *service) withinColdBound(now time.Time, st *endpointState, e SlotRequested, grants int) bool {
	if s.cold.most < 1 && st.limiter.isCold(now) {
		return false
	}
	if e.BudgetShare > 0 {
		return st.limiter != nil || st.arrivals.turns.free(s.coldTurn(now, st, e))
	}
	return st.arrivals.allow(now, s.cold, grants)
}

// coldChanges returns which endpoints have become cold, or no longer are, since the last call.
func (s *service) coldChanges(now time.Time) []Command {
	var commands []Command
	for _, st := range s.sorted {
		cold := st.limiter.isCold(now)
		if cold == st.coldTold {
			continue
		}
		st.coldTold = cold
		c := ColdChanged{Service: s.name, Instance: st.record.Instance, Cold: cold}
		if cold {
			c.Left = st.limiter.cold.endsAt.Sub(now)
		}
		commands = append(commands, c)
	}
	return commands
}

// drainPaced grants slots to queued requests that time alone has made room for.
func (s *service) drainPaced(now time.Time) []Command {
	if !s.headPaced || s.cold.perSecond == 0 {
		return nil
	}
	return s.drainQueue(now)
}

// deleteArrivals removes the arrivals at endpoints that are no longer registered.
func (s *service) deleteArrivals(now time.Time) {
	for id, a := range s.arrivals {
		if s.endpoints[id] == nil && a.fewer(now, 1) {
			delete(s.arrivals, id)
		}
	}
}

// ColdCount returns the number of endpoints that are cold as far as this keeper knows.
func (k *Keeper) ColdCount(now time.Time) int {
	n := 0
	for _, s := range k.services {
		for _, st := range s.sorted {
			if st.limiter.isCold(now) {
				n++
			}
		}
	}
	return n
}

// Paced returns how many requests this keeper queued since an endpoint with a free slot was paced: it stated a limit, was cold, or had got as many
// requests within a second as a cold one may get.
func (k *Keeper) Paced() int {
	n := 0
	for _, s := range k.services {
		n += s.pacedRequests
	}
	return n
}
