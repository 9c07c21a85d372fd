package node

import (
	"context"

	"github.com/rs/zerolog"

	"balsamknot.org/balsamknot/event"
	"balsamknot.org/fleet/pool"
	"balsamknot.org/fleet/timer"
)

// listCache queries an engine for its cache contents and passes the reply, or that there is none, to this host's keeper.
func (s *slotManager) listCache(c pool.ListCache) {
	ctx, cancel := context.WithTimeout(s.runCtx, c.TimeLimit)
	defer cancel()
	instance := c.Endpoint.Instance
	parts, err := s.n.engines.CachedParts(ctx, instance, c.Endpoint.Address)
	s.update(timer.BootClock(), pool.CacheListed{Service: c.Service, Instance: instance, Failed: err != nil, Parts: parts})
	level := zerolog.InfoLevel
	if err != nil {
		level = zerolog.WarnLevel
	}
	event.LogText(s.n.log, level, event.CacheListed).Str("Endpoint", string(instance.ID)).Str("Service", string(c.Service)).
		Int("Parts", len(parts)).Err(err).Send()
}
