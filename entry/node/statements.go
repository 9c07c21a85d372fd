package node

import (
	"maps"
	"slices"
	"time"

	"github.com/rs/zerolog"

	"balsamknot.org/balsamknot/event"
	"balsamknot.org/entry/connection"
	"balsamknot.org/entry/peer"
	"balsamknot.org/fleet/endpoint"
	"balsamknot.org/fleet/host"
	"balsamknot.org/fleet/interruption"
	"balsamknot.org/fleet/pool"
	"balsamknot.org/fleet/timer"
	"balsamknot.org/platform"
)

const (
	// statementRepeatInterval is how often this host repeats to the keepers what an endpoint says.
	statementRepeatInterval = time.Second
	// leavingMemory is how long a host that was told that an endpoint leaves is not told so again, but for leavingRepeats.
	leavingMemory = time.Minute
	// maxStatementsPerDatagram limits the reports in one datagram.
	maxStatementsPerDatagram = 16
)

// leavingRepeats returns when a host is told again that an endpoint leaves, after the first time.
func leavingRepeats() []time.Duration {
	return []time.Duration{200 * time.Millisecond, 600 * time.Millisecond, 1200 * time.Millisecond}
}

// sentStatement is what this host last told the keepers about an endpoint.
type sentStatement struct {
	leaving bool
	brittle endpoint.Brittle
	at      time.Time
}

// recordStatement applies what the head of an answer says of its endpoint, and tells the hosts that it helps.
func (s *slotManager) recordStatement(q *request, x *connection.Exchange) {
	if x.Answer.Misdirected {
		return
	}
	s.recordLimit(q, x)
	said := x.Answer.Statement
	if said.Rest > 0 {
		s.recordRest(q, x.Relay(), said.Rest)
	}
	now := timer.BootClock()
	s.mu.Lock()
	known := s.keeper.Statement(q.service, q.instance)
	s.mu.Unlock()
	if !tells(x.Answer, known) {
		return
	}
	e := pool.StatementReported{
		Service: q.service, Instance: q.instance, Leaving: said.Leaving, Brittle: said.Brittle, RestLeft: said.Rest, ObservedAt: now,
	}
	if x.Answer.ID == "" && !said.Brittle.Stated {
		e.Brittle = known.Brittle
	}
	s.update(now, e)
	s.logStatement(q, known, e)
	if said.Leaving && !known.Leaving {
		s.recordLeaving(now, q.instance)
	}
	to := s.tellWhom(q, x.Relay())
	if untold := s.announceLeaving(now, e, to); !s.mustSendStatement(now, e) {
		to = untold
	}
	s.sendStatements(to, []pool.StatementReported{e})
}

// announceLeaving returns those of the hosts that were not told yet that an endpoint leaves, if it does.
func (s *slotManager) announceLeaving(now time.Time, e pool.StatementReported, to []host.ID) []host.ID {
	if !e.Leaving {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leavings.Announce(now, e.Instance, to)
}

// repeatLeavings tells hosts again which endpoints leave.
func (s *slotManager) repeatLeavings(now time.Time) {
	s.mu.Lock()
	due := s.leavings.Due(now)
	var statements []pool.StatementReported
	if len(due) > 0 {
		statements = s.keeper.Statements()
	}
	s.mu.Unlock()
	for _, a := range due {
		i := slices.IndexFunc(statements, func(e pool.StatementReported) bool { return e.Instance == a.Instance })
		if i >= 0 {
			s.sendStatements([]host.ID{a.To}, statements[i:i+1])
		}
	}
}

// tellWhom returns the hosts to which it matters what an endpoint says: the service's keeper and standbys, and the relay, which can't read it.
func (s *slotManager) tellWhom(q *request, relay host.ID) []host.ID {
	to := s.n.membership.keeperAndStandbys(q.service)
	if relay != "" && !slices.Contains(to, relay) {
		to = append(to, relay)
	}
	return to
}

// tells reports whether an answer says anything, or shows the end of a time in which its endpoint was brittle. One without the request's ID
// shows no end: it may come from something in front of the endpoint.
func tells(a platform.Answer, known pool.StatementReported) bool {
	said := a.Statement
	return said.Leaving || said.Brittle.Stated || said.Rest > 0 || (known.Brittle.Stated && a.ID != "")
}

// recordLeaving tells the crash tracker that the end of an endpoint is no crash.
func (s *slotManager) recordLeaving(now time.Time, instance endpoint.Instance) {
	if record, known := s.endpointRecord(instance); known {
		s.n.crashes.update(now, interruption.Registered{Record: record})
	}
}

// saidLeaving reports whether an endpoint has said in an answer that it leaves.
func (s *slotManager) saidLeaving(r endpoint.Record) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.keeper.Statement(r.Service, r.Instance).Leaving
}

func (s *slotManager) logStatement(q *request, known, e pool.StatementReported) {
	if e.Leaving && !known.Leaving {
		q.logEvent(s.n.log, zerolog.InfoLevel, event.EndpointSaidLeaving).Str("Endpoint", string(q.instance.ID)).Send()
	}
	if e.Brittle != known.Brittle {
		q.logEvent(s.n.log, zerolog.InfoLevel, event.EndpointBrittle).Str("Endpoint", string(q.instance.ID)).Bool("Brittle", e.Brittle.Stated).
			Int("TurnedAway", e.Brittle.TurnedAway).Send()
	}
}

// mustSendStatement reports whether the keepers must be told of a statement, and notes that they are.
func (s *slotManager) mustSendStatement(now time.Time, e pool.StatementReported) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if e.RestLeft > 0 {
		return true
	}
	next := sentStatement{leaving: e.Leaving, brittle: e.Brittle, at: now}
	if sent, ok := s.sentStatements[e.Instance]; ok && sent.leaving == next.leaving && sent.brittle == next.brittle && now.Sub(sent.at) < statementRepeatInterval {
		return false
	}
	s.sentStatements[e.Instance] = next
	return true
}

// sendStatements sends what endpoints said to hosts.
func (s *slotManager) sendStatements(to []host.ID, statements []pool.StatementReported) {
	now := timer.BootClock()
	for chunk := range slices.Chunk(statements, maxStatementsPerDatagram) {
		var reports []peer.StatementReport
		for _, e := range chunk {
			reports = append(reports, peer.FromStatementReported(now, e))
		}
		for _, id := range to {
			s.n.membership.send(id, peer.Datagram{Extras: peer.Extras{Statements: reports}})
		}
	}
}

// sendStatementsTo tells a host that has just joined what this host knows of endpoints by their answers.
func (s *slotManager) sendStatementsTo(id host.ID) {
	s.mu.Lock()
	statements := s.keeper.Statements()
	s.mu.Unlock()
	s.sendStatements([]host.ID{id}, statements)
}

// handleStatements processes what another host was told by endpoints.
func (s *slotManager) handleStatements(now time.Time, extras peer.Extras) {
	for _, report := range extras.Statements {
		e := report.ToPool(now)
		s.update(now, e)
		if e.Leaving {
			s.recordLeaving(now, e.Instance)
		}
	}
	for _, rest := range extras.Rests {
		if rest.Host == s.n.cfg.Host {
			s.askRest(rest.Instance(), now.Add(time.Duration(rest.LeftMs)*time.Millisecond))
			continue
		}
		s.n.endpointConns.DropThrough(rest.Host)
	}
}

// recordRest records that an endpoint wants no requests from this host for a time. If the answer came through a relay, the endpoint asked the
// relay, which can't read it, so that all hosts are told: they may have tunnels there as well.
func (s *slotManager) recordRest(q *request, relay host.ID, rest time.Duration) {
	q.logEvent(s.n.log, zerolog.InfoLevel, event.EndpointAskedRest).Str("Endpoint", string(q.instance.ID)).Str("Relay", string(relay)).Dur("RestMs", rest).Send()
	s.askRest(q.instance, timer.BootClock().Add(rest))
	if relay == "" {
		return
	}
	s.n.endpointConns.DropThrough(relay)
	s.n.membership.broadcast(peer.Datagram{Extras: peer.Extras{Rests: []peer.RestReport{{
		Endpoint: q.instance.ID, StartedAt: q.instance.StartedAt, Host: relay, LeftMs: rest.Milliseconds(),
	}}}})
}

func (s *slotManager) askRest(instance endpoint.Instance, until time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rests.Ask(instance, until)
}

// restLeft returns for how much longer an endpoint wants no requests from this host; 0 if it takes them.
func (s *slotManager) restLeft(now time.Time, instance endpoint.Instance) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rests.Left(now, instance)
}

// resting reports whether an endpoint wants no requests from this host now.
func (s *slotManager) resting(now time.Time, id endpoint.ID) bool {
	instance, registered := s.registeredInstance(id)
	return registered && s.restLeft(now, instance) > 0
}

// avoidResting adds the endpoints that asked this host for rest to those that a request must not get. If no other is left, it returns how
// long the first of them still rests.
func (s *slotManager) avoidResting(now time.Time, e *pool.SlotRequested) (wait time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.rests.Len() == 0 {
		return 0
	}
	var resting []endpoint.ID
	candidates := s.keeper.Candidates(*e)
	for _, instance := range candidates {
		left := s.rests.Left(now, instance)
		if left == 0 {
			continue
		}
		resting = append(resting, instance.ID)
		if wait == 0 || left < wait {
			wait = left
		}
	}
	if len(resting) < len(candidates) {
		wait = 0
	}
	e.Tried = slices.Concat(e.Tried, resting)
	return wait
}

// sweepStatements forgets what is over, or was sent a while ago.
func (s *slotManager) sweepStatements(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rests.Expire(now)
	maps.DeleteFunc(s.sentStatements, func(_ endpoint.Instance, sent sentStatement) bool {
		return now.Sub(sent.at) > 2*statementRepeatInterval
	})
}
