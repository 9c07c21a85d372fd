package pool

import (
	"math"
	"time"

	"balsamknot.org/fleet/endpoint"
	"balsamknot.org/fleet/site"
)

// StatementReported reports what an answer of an endpoint says of it, besides its limit (see LimitReported).
type StatementReported struct {
	Service  site.ServiceName
	Instance endpoint.Instance
	Leaving  bool
	Brittle  endpoint.Brittle
	// RestLeft is for how much longer the endpoint wants no requests from the host that got the answer; 0 if it asked for none. The endpoint is
	// avoided for as long by all hosts, unless there is no other.
	RestLeft time.Duration
	// ObservedAt is when the head of the answer was received. Of two reports, the one observed later holds; that an endpoint leaves holds
	// until its end.
	ObservedAt time.Time
}

func (StatementReported) event() {}

const (
	// brittlePause is how long a brittle endpoint that turned a request away gets no others: the time in which it counts those it turns away.
	brittlePause = time.Second
	// brittleMargin is how many slots of a brittle endpoint are left free, for requests that a keeper does not know of.
	brittleMargin = 1
)

// statement is what is known of an instance by its answers.
type statement struct {
	leaving    bool
	brittle    endpoint.Brittle
	observedAt time.Time
}

// reportStatement applies what an answer says of its endpoint.
func (s *service) reportStatement(now time.Time, e StatementReported) []Command {
	known := s.statements[e.Instance]
	known.leaving = known.leaving || e.Leaving
	if !e.ObservedAt.Before(known.observedAt) {
		known.brittle, known.observedAt = e.Brittle, e.ObservedAt
	}
	if !known.leaving && !known.brittle.Stated {
		delete(s.statements, e.Instance)
	} else {
		s.statements[e.Instance] = known
	}
	if st := s.endpoints[e.Instance.ID]; st != nil && st.record.Instance == e.Instance {
		s.addToTotals(st, -1)
		s.applyStatement(st)
		s.addToTotals(st, 1)
		st.suspectFor(now, e.RestLeft)
	}
	return s.drainQueue(now)
}

// applyStatement sets what is known of an endpoint by its answers. The totals must not include it meanwhile.
func (s *service) applyStatement(st *endpointState) {
	known := s.statements[st.record.Instance]
	st.record.Leaving = st.record.Leaving || known.leaving
	st.brittle = known.brittle
}

// expireStatements removes what is known of instances that have not been registered for limitLifetime.
func (s *service) expireStatements(now time.Time) {
	for instance, known := range s.statements {
		st := s.endpoints[instance.ID]
		registered := st != nil && st.record.Instance == instance
		if !registered && now.Sub(known.observedAt) > limitLifetime {
			delete(s.statements, instance)
		}
	}
}

// slots returns how many requests the endpoint may run for a keeper that may use a share of it, from 0 to 1. A share of less than all
// matters only if the endpoint is brittle: what others send it is not known.
func (st *endpointState) slots(share float64) int {
	if !st.brittle.Stated {
		return st.record.Slots
	}
	return max(int(float64(st.record.Slots-brittleMargin)*share), 1)
}

// runnerQueueShare is how many calls a runner of a plain service may have in its queue, as a share of its slots, so that it begins the next
// call when one ends: the keeper hears of an end, and the runner of a new call, only after their messages. Engines get no such calls, since
// they begin the next request at their next step anyway.
const runnerQueueShare = 0.5

// capacity returns how many requests the keeper may give to an endpoint at a time: as many as it runs, and a few more to a runner, unless it
// may fall if it has to turn some away.
func (st *endpointState) capacity(share float64, isEngine bool) int {
	slots := st.slots(share)
	if isEngine || st.brittle.Stated {
		return slots
	}
	return slots + int(math.Ceil(runnerQueueShare*float64(slots)))
}

// share returns the share of the endpoints of a host that processes the request.
func (s *service) share(e SlotRequested) float64 {
	return min(e.limitShare(), s.reachableShare)
}

// Statements returns what this keeper knows of endpoints by their answers, in order of services and instances.
func (k *Keeper) Statements() []StatementReported {
	var statements []StatementReported
	for _, name := range sortedKeys(k.services) {
		s := k.services[name]
		for _, instance := range sortedInstances(s.statements) {
			statements = append(statements, s.statementOf(instance))
		}
	}
	return statements
}

func (s *service) statementOf(instance endpoint.Instance) StatementReported {
	known := s.statements[instance]
	return StatementReported{Service: s.name, Instance: instance, Leaving: known.leaving, Brittle: known.brittle, ObservedAt: known.observedAt}
}

// Statement returns what this keeper knows of an endpoint by its answers.
func (k *Keeper) Statement(name site.ServiceName, instance endpoint.Instance) StatementReported {
	return k.service(name).statementOf(instance)
}

// Candidates returns the endpoints that a request may get, in order of ID: those that are registered and take requests, were not tried before,
// and have the version that it needs.
func (k *Keeper) Candidates(e SlotRequested) []endpoint.Instance {
	var instances []endpoint.Instance
	for _, st := range k.service(e.Service).sorted {
		if st.takesRequests() && e.accepts(st.record) {
			instances = append(instances, st.record.Instance)
		}
	}
	return instances
}
