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
	"balsamknot.org/fleet/pool"
	"balsamknot.org/fleet/timer"
)

const (
	// limitRepeatInterval is how often this host repeats to the keepers that an endpoint states the same limit as before.
	limitRepeatInterval = time.Second
	// maxLimitsPerDatagram limits the reports of limits in one datagram.
	maxLimitsPerDatagram = 16
)

// sentLimit is the last limit of an endpoint that this host told the keepers of its service.
type sentLimit struct {
	limit endpoint.Limit
	at    time.Time
}

// recordLimit passes what the head of an answer says about its endpoint's limit to the local keeper. If that is new, or was last sent
// limitRepeatInterval ago, it tells the service's keeper and standbys. An answer without the request's ID may come from something in
// front of the endpoint, so that it does not show the end of a limit.
func (s *slotManager) recordLimit(q *request, x *connection.Exchange) {
	limit := x.Answer.Statement.Limit
	if limit.State == endpoint.Unlimited && x.Answer.ID == "" {
		return
	}
	now := timer.BootClock()
	s.mu.Lock()
	known := s.keeper.Limit(q.service, q.instance)
	s.mu.Unlock()
	if limit.State == endpoint.Unlimited && known.State == endpoint.Unlimited {
		return
	}
	e := pool.LimitReported{Service: q.service, Instance: q.instance, Limit: limit, ObservedAt: now}
	s.update(now, e)
	if known != limit {
		s.logLimit(q, limit)
	}
	if s.mustSendLimit(now, q.instance, limit) {
		s.shareLimits(pool.ShareLimits{Service: q.service, Limits: []pool.LimitReported{e}})
	}
}

// mustSendLimit reports whether the keepers must be told of a limit, and notes that they are.
func (s *slotManager) mustSendLimit(now time.Time, instance endpoint.Instance, limit endpoint.Limit) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if limit.State == endpoint.Unlimited {
		delete(s.sentLimits, instance)
		return true
	}
	if sent := s.sentLimits[instance]; sent.limit == limit && now.Sub(sent.at) < limitRepeatInterval {
		return false
	}
	s.sentLimits[instance] = sentLimit{limit: limit, at: now}
	return true
}

// sweepLimits forgets what was sent about endpoints that have not stated a limit for a while.
func (s *slotManager) sweepLimits(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	maps.DeleteFunc(s.sentLimits, func(_ endpoint.Instance, sent sentLimit) bool { return now.Sub(sent.at) > 2*limitRepeatInterval })
}

func (s *slotManager) logLimit(q *request, limit endpoint.Limit) {
	number := event.EndpointLimited
	if limit.State == endpoint.Unlimited {
		number = event.EndpointLimitEnded
	}
	q.logEvent(s.n.log, zerolog.InfoLevel, number).Str("Endpoint", string(q.instance.ID)).Float64("PerSecond", limit.PerSecond).
		Bool("Unreadable", limit.State == endpoint.LimitUnreadable).Send()
}

// shareLimits sends limits to the host that the command names, or to the service's keeper and standbys.
func (s *slotManager) shareLimits(c pool.ShareLimits) {
	to := []host.ID{c.To}
	if c.To == "" {
		to = s.n.membership.keeperAndStandbys(c.Service)
	}
	now := timer.BootClock()
	for chunk := range slices.Chunk(c.Limits, maxLimitsPerDatagram) {
		var reports []peer.LimitReport
		for _, limit := range chunk {
			reports = append(reports, peer.FromLimitReported(now, limit))
		}
		for _, id := range to {
			s.n.membership.send(id, peer.Datagram{Additions: peer.Additions{LimitReports: reports}})
		}
	}
}

// limitedCount returns the number of endpoints whose requests the local keeper paces.
func (s *slotManager) limitedCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.keeper.Limits())
}

// sendLimitsTo tells a host that has just joined of all limits that this host knows.
func (s *slotManager) sendLimitsTo(id host.ID) {
	s.mu.Lock()
	limits := s.keeper.Limits()
	s.mu.Unlock()
	s.shareLimits(pool.ShareLimits{To: id, Limits: limits})
}
