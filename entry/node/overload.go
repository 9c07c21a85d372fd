package node

import (
	"github.com/rs/zerolog"

	"balsamknot.org/balsamknot/event"
	"balsamknot.org/fleet/pool"
	"balsamknot.org/fleet/timer"
)

// logOverload logs the begin or end of an overload, if this host is the keeper of its service.
func (s *slotManager) logOverload(c pool.OverloadChanged) {
	if !s.keeps(timer.BootClock(), c.Service) {
		return
	}
	number := event.OverloadEnded
	if c.Overloaded {
		number = event.OverloadBegan
	}
	event.LogText(s.n.log, zerolog.InfoLevel, number).Str("Service", string(c.Service)).Int("Waiting", c.Waiting).Int("Slots", c.Slots).Send()
}
