package site

import (
	"context"
	"sync"

	"balsamknot.org/soak/checker"
)

// surgeFactor is how many callers a surge adds for each one of the site.
const surgeFactor = 3

// surge lets further callers send requests for streams, more than engines have slots, until a time, and returns once these are answered.
func (s *Site) surge(ctx context.Context, end checker.Time) {
	s.surges.Add(1)
	defer s.surges.Add(-1)
	var wg sync.WaitGroup
	for range surgeFactor * s.cfg.Callers {
		c := s.newCaller(s.cfg.Callers + int(s.surgeCallers.Add(1)))
		c.streams = true
		wg.Go(func() { c.runUntil(ctx, end) })
	}
	wg.Wait()
}

// runUntil is run until a time. A request that is being answered then is not abandoned.
func (c *caller) runUntil(ctx context.Context, end checker.Time) {
	defer c.transport.CloseIdleConnections()
	for c.site.Now() < end && c.think(ctx) {
		c.sendNext(ctx)
	}
}
