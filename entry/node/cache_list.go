package node

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"balsamknot.org/balsamknot/event"
	"balsamknot.org/fleet/endpoint"
	"balsamknot.org/fleet/pool"
	"balsamknot.org/fleet/site"
	"balsamknot.org/fleet/timer"
)

// listCache queries an engine for its cache contents and passes the reply, or that there is none, to this host's keeper.
func (s *slotManager) listCache(ctx context.Context, c pool.ListCache) {
	instance := c.Endpoint.Instance
	parts, err := s.n.engines.CachedParts(ctx, instance, c.Endpoint.Address)
	s.cancelList(instance)
	s.update(timer.BootClock(), pool.CacheListed{Service: c.Service, Instance: instance, Failed: err != nil, Parts: parts})
	level := zerolog.InfoLevel
	if err != nil {
		level = zerolog.WarnLevel
	}
	event.LogText(s.n.log, level, event.CacheListed).Str("Endpoint", string(instance.ID)).Str("Service", string(c.Service)).
		Int("Parts", len(parts)).Err(err).Send()
}

// listAfterStart lets this host, once after its start, list the caches of the engines whose keeper it is, where these have several versions: the sooner
// that is, the more engines list what they cache before they leave or get requests again.
func (s *slotManager) listAfterStart(now time.Time) {
	if s.listedAfterStart || s.justStarted() || !s.n.streams.knowsEngines(now) {
		return
	}
	s.listedAfterStart = true
	for _, service := range s.services() {
		if s.keeps(now, service) {
			s.update(now, pool.ListsNeeded{Service: service})
		}
	}
}

// services returns the names of all services.
func (s *slotManager) services() []site.ServiceName {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.keeper.Services()
}

// beginList returns the context of a request for a list, which ends after its time limit or with cancelList.
func (s *slotManager) beginList(c pool.ListCache) context.Context {
	ctx, cancel := context.WithTimeout(s.runCtx, c.TimeLimit)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cancelLists[c.Endpoint.Instance] = cancel
	return ctx
}

// cancelList ends the request for an engine's list, if there is one.
func (s *slotManager) cancelList(instance endpoint.Instance) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if cancel := s.cancelLists[instance]; cancel != nil {
		cancel()
		delete(s.cancelLists, instance)
	}
}
