package node

import (
	"time"

	"github.com/rs/zerolog"

	"balsamknot.org/balsamknot/event"
	"balsamknot.org/fleet/pool"
	"balsamknot.org/fleet/timer"
)

// logCold logs that an endpoint is cold or no longer is, if this host is the keeper of its service.
func (s *slotManager) logCold(c pool.ColdChanged) {
	if !s.keeps(timer.BootClock(), c.Service) {
		return
	}
	number := event.EndpointWarm
	if c.Cold {
		number = event.EndpointCold
	}
	event.LogText(s.n.log, zerolog.InfoLevel, number).Str("Endpoint", string(c.Instance.ID)).Str("Service", string(c.Service)).Dur("LeftMs", c.Left).Send()
}

// maxSlotAge is how long after a grant a request may be sent to an endpoint whose requests are bounded within each second. A host that was paused
// would otherwise send what it was granted before at one moment, beside what the keeper grants by then.
const maxSlotAge = 300 * time.Millisecond

// slotExpired reports whether the slot may have been granted more than maxSlotAge ago, at an endpoint of a service with a cold rate.
func (q *request) slotExpired(now time.Time, grant pool.Grant) bool {
	return q.set.Services[q.service].ColdRate > 0 && now.Sub(q.slotRequestedAt)-grant.Decision.Waited > maxSlotAge
}

// coldCounts returns how many endpoints are cold, and how many requests the local keeper queued for the pace of endpoints.
func (s *slotManager) coldCounts() (cold, paced int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.keeper.ColdCount(timer.BootClock()), s.keeper.Paced()
}
