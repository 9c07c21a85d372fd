package node

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"balsamknot.org/balsamknot/event"
	"balsamknot.org/fleet/chat"
	"balsamknot.org/fleet/endpoint"
	"balsamknot.org/fleet/pool"
	"balsamknot.org/fleet/site"
	"balsamknot.org/fleet/timer"
)

const (
	// listWorkers is how many engines are queried at the same time, and listTimeout the time limit for all of them. A keeper with
	// many engines must not wait for all lists before it grants slots: it learns the cache contents of the remaining engines from
	// the requests that they get.
	listWorkers = 10
	listTimeout = 500 * time.Millisecond
)

// listCaches queries engines for their cache contents and passes the replies to this host's keeper.
func (s *slotManager) listCaches(c pool.ListCaches) {
	ctx, cancel := context.WithTimeout(s.runCtx, listTimeout)
	defer cancel()
	pending := make(chan endpoint.Record)
	var workers sync.WaitGroup
	for range min(listWorkers, len(c.Endpoints)) {
		workers.Go(func() {
			for e := range pending {
				s.listCache(ctx, c.Service, e)
			}
		})
	}
	for _, e := range c.Endpoints {
		pending <- e
	}
	close(pending)
	workers.Wait()
}

// listCache queries one engine. If that fails, or ctx has ended, the keeper gets an empty list, so that it does not wait for this
// engine.
func (s *slotManager) listCache(ctx context.Context, service site.ServiceName, e endpoint.Record) {
	var parts []chat.Part
	err := ctx.Err()
	if err == nil {
		parts, err = s.n.engines.CachedParts(ctx, e.Instance, e.Address)
	}
	s.update(timer.BootClock(), pool.CacheListed{Service: service, Instance: e.Instance, Parts: parts})
	level := zerolog.InfoLevel
	if err != nil {
		level = zerolog.WarnLevel
	}
	event.LogText(s.n.log, level, event.CacheListed).Str("Endpoint", string(e.Instance.ID)).Str("Service", string(service)).
		Int("Parts", len(parts)).Err(err).Send()
}
