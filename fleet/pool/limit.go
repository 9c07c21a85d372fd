package pool

import (
	"time"

	"balsamknot.org/fleet/endpoint"
	"balsamknot.org/fleet/host"
	"balsamknot.org/fleet/site"
)

// LimitReported reports what an answer of an endpoint says about its limit, and the requests that another keeper of the service
// granted at the endpoint.
type LimitReported struct {
	Service  site.ServiceName
	Instance endpoint.Instance
	Limit    endpoint.Limit
	// ObservedAt is when the head of the answer was received. Of two reports, the one observed later holds.
	ObservedAt time.Time
	// Grants is the number of slots that the sender granted at the endpoint since its last report.
	Grants int
}

// FleetCounted reports which part of the fleet this host reaches.
type FleetCounted struct {
	// ReachableShare is the number of live hosts, divided by that of the hosts known from the last minute that did not leave; above 0.
	// A keeper that reaches only some of the hosts uses this share of each limit, since the others may have a keeper of their own.
	ReachableShare float64
}

// ShareLimits tells other hosts of limits: the host To, or the service's keeper and standbys if To is empty.
type ShareLimits struct {
	Service site.ServiceName
	To      host.ID
	Limits  []LimitReported
}

func (LimitReported) event() {}
func (FleetCounted) event()  {}
func (ShareLimits) command() {}

const (
	// unreadableLimit, in requests a second, is used for a limit that can't be read if there was none before.
	unreadableLimit = 1.0
	// limitShareInterval is how often a keeper tells the others how many slots it granted at endpoints with limits.
	limitShareInterval = 500 * time.Millisecond
	// limitLifetime is how long the limit of an endpoint that is not registered is kept.
	limitLifetime = time.Minute
	// maxPacedWait is how long a request is queued if many endpoints have limits, and maxFirstPacedWait how long if it is the first of the
	// queue. With a longer queue all would be late under lasting overload, and no more would be served.
	maxPacedWait      = 150 * time.Millisecond
	maxFirstPacedWait = 400 * time.Millisecond
	// maxPacedRetryAfter bounds the retry delay that a refusal suggests then.
	maxPacedRetryAfter = 5 * time.Second
)

// reportLimit applies a report about an endpoint's limit.
func (s *service) reportLimit(now time.Time, e LimitReported) []Command {
	if a := s.arrivals[e.Instance.ID]; a != nil {
		a.add(now, e.Grants)
	}
	l := s.limiters[e.Instance]
	if l == nil {
		if e.Limit.State == endpoint.Unlimited {
			return nil
		}
		l = newLimiter(now, e.Instance.ID)
		s.limiters[e.Instance] = l
	}
	l.refill(now, s.reachableShare)
	l.tokens -= float64(e.Grants)
	if e.ObservedAt.Before(l.observedAt) {
		return nil
	}
	l.observe(now, e)
	l.refill(now, s.reachableShare)
	if st := s.registered(e.Instance); st != nil {
		s.setLimiter(st, l)
	}
	return s.drainQueue(now)
}

// registered returns the state of an endpoint if it is registered with this instance, else nil.
func (s *service) registered(instance endpoint.Instance) *endpointState {
	st := s.endpoints[instance.ID]
	if st == nil || st.record.Instance != instance {
		return nil
	}
	return st
}

// setLimiter sets the limiter of a registered endpoint, nil for none.
func (s *service) setLimiter(st *endpointState, l *limiter) {
	s.addToTotals(st, -1)
	st.limiter, st.limited = l, l.limited()
	s.addToTotals(st, 1)
}

// tickLimits removes limiters that are no longer needed, and tells the other keepers of the grants since the last time.
func (s *service) tickLimits(now time.Time) []Command {
	for _, instance := range sortedInstances(s.limiters) {
		s.tickLimiter(now, instance, s.limiters[instance])
	}
	s.deleteArrivals(now)
	return append(s.shareGrants(now), s.coldChanges(now)...)
}

// tickLimiter removes a limiter that is no longer needed. An endpoint that had one then counts as loaded as the others, so that it does not get
// all new requests until it is.
func (s *service) tickLimiter(now time.Time, instance endpoint.Instance, l *limiter) {
	st := s.registered(instance)
	switch ended := l.dropEnded(now); {
	case st == nil:
		if ended || l.cold == nil && now.Sub(l.observedAt) > limitLifetime {
			delete(s.limiters, instance)
		}
	case ended:
		delete(s.limiters, instance)
		s.setLimiter(st, nil)
		st.recentLoad, st.loadUpdatedAt = max(st.currentLoad(now), s.unlimitedLoad(now).recent), now
	case st.limited != l.limited():
		s.setLimiter(st, l)
	}
}

// unsharedGrants counts the slots that this host granted at an endpoint since at, when it last told the other keepers.
type unsharedGrants struct {
	n  int
	at time.Time
	// alone is true if this host granted some of them while it decided alone.
	alone bool
}

// shareGrants tells the other keepers of the grants at endpoints with limits, and at those at which many were granted.
func (s *service) shareGrants(now time.Time) []Command {
	share := ShareLimits{Service: s.name}
	for _, st := range s.sorted {
		if st.unshared.n == 0 || now.Sub(st.unshared.at) < s.shareInterval(st) || !s.sharesGrants(now, st) {
			continue
		}
		share.Limits = append(share.Limits, s.shareOf(st.record.Instance, st.unshared.n))
		st.unshared = unsharedGrants{at: now}
	}
	if len(share.Limits) == 0 {
		return nil
	}
	return []Command{share}
}

// shareInterval returns how often the grants at an endpoint are told. Those of services with a bound on cold endpoints are told at each tick.
func (s *service) shareInterval(st *endpointState) time.Duration {
	if st.arrivals != nil {
		return 0
	}
	return limitShareInterval
}

// sharesGrants reports whether the other keepers must know how many slots were granted at the endpoint. If not, it forgets those that no longer count.
func (s *service) sharesGrants(now time.Time, st *endpointState) bool {
	if st.limiter != nil || st.unshared.alone {
		return true
	}
	if st.arrivals == nil {
		st.unshared.n = 0
		return false
	}
	granted := st.arrivals.count(now)
	st.unshared.n = min(st.unshared.n, granted)
	burst, _ := s.cold.burst()
	return granted >= burst
}

// unlimitedLoad returns the mean load of the endpoints without a limiter; zero if there is none.
func (s *service) unlimitedLoad(now time.Time) load {
	var mean load
	n := 0.0
	for _, st := range s.sorted {
		if st.limiter == nil && st.takesRequests() {
			own := st.load(now)
			mean.running += own.running
			mean.recent += own.recent
			n++
		}
	}
	if n == 0 {
		return load{}
	}
	return load{running: mean.running / n, recent: mean.recent / n}
}

// shareOf returns the report about an endpoint's limit and the grants there for other hosts.
func (s *service) shareOf(instance endpoint.Instance, grants int) LimitReported {
	share := LimitReported{Service: s.name, Instance: instance, Grants: grants}
	if l := s.limiters[instance]; l != nil {
		share.Limit, share.ObservedAt = l.state(), l.observedAt
	}
	return share
}

// tellHolder returns the command that tells the host of a granted request of the endpoint's limit, so that it recognises the end of the
// limit in the answer.
func (s *service) tellHolder(now time.Time, t Ticket, st *endpointState) []Command {
	if !st.limiter.limited() || !st.limiter.stated.inForce(now) {
		return nil
	}
	return []Command{ShareLimits{Service: s.name, To: t.Host, Limits: []LimitReported{s.shareOf(st.record.Instance, 0)}}}
}

// paced reports whether half of the endpoints or more have limits, so that the service can serve much less than its slots suggest.
func (s *service) paced() bool { return s.limited > 0 && 2*s.limited >= s.available }

// limitShare returns the share of limits that the host which processes the request may use.
func (e SlotRequested) limitShare() float64 {
	if e.BudgetShare > 0 {
		return e.BudgetShare
	}
	return 1
}

// Limits returns what this keeper knows of the limits of endpoints, in order of services and instances.
func (k *Keeper) Limits() []LimitReported {
	var limits []LimitReported
	for _, name := range sortedKeys(k.services) {
		s := k.services[name]
		for _, instance := range sortedInstances(s.limiters) {
			if s.limiters[instance].limited() {
				limits = append(limits, s.shareOf(instance, 0))
			}
		}
	}
	return limits
}

// Limit returns the limit of an endpoint that is in force as far as this keeper knows.
func (k *Keeper) Limit(name site.ServiceName, instance endpoint.Instance) endpoint.Limit {
	if l := k.service(name).limiters[instance]; l != nil {
		return l.state()
	}
	return endpoint.Limit{}
}
