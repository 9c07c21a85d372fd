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
	// listers is how many engines are asked for their lists at the same time, and listsLimit how long this goes on. What is
	// not listed by then is found out by use: a large group of engines must not keep its keeper from placing requests.
	listers    = 10
	listsLimit = 500 * time.Millisecond
)

// list asks engines what their caches hold.
func (p *places) list(c pool.ListCaches) {
	ctx, cancel := context.WithTimeout(p.life, listsLimit)
	defer cancel()
	open := make(chan endpoint.Record)
	var work sync.WaitGroup
	for range min(listers, len(c.Endpoints)) {
		work.Go(func() {
			for e := range open {
				p.listOne(ctx, c.Service, e)
			}
		})
	}
	for _, e := range c.Endpoints {
		open <- e
	}
	close(open)
	work.Wait()
}

// listOne asks one engine, or passes it over when the time for all of them is up.
func (p *places) listOne(ctx context.Context, service site.ServiceName, e endpoint.Record) {
	var parts []chat.PartID
	err := ctx.Err()
	if err == nil {
		parts, err = p.n.engines.CachedParts(ctx, e.Instance, e.Address)
	}
	p.update(timer.BootClock(), pool.CacheListed{Service: service, Instance: e.Instance, Parts: parts})
	level := zerolog.InfoLevel
	if err != nil {
		level = zerolog.WarnLevel
	}
	event.LogText(p.n.log, level, event.CacheListed).Str("Endpoint", string(e.Instance.ID)).Str("Service", string(service)).
		Int("Parts", len(parts)).Err(err).Send()
}
