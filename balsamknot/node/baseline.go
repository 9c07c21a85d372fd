package node

import (
	"time"

	"balsamknot.org/balsamknot/settings"
	"balsamknot.org/fleet/engine"
	"balsamknot.org/fleet/keeper"
)

// baselines implements the routing algorithms that benchmarks compare with RoutingBalsamknot. Nodes in production do not use
// them.
type baselines struct {
	n *Node
}

// applyBaseline removes the capacity limit, the load bound and the reuse wait from a pool's settings if a baseline
// algorithm is configured.
func (n *Node) applyBaseline(cfg *keeper.PoolConfig) {
	if n.cfg.Routing == settings.RoutingBalsamknot {
		return
	}
	cfg.Unlimited = true
	cfg.ReuseWait = 0
}

// leastLoaded returns the engine with the fewest running requests by the last report that this node polled. An engine that
// was never polled is taken to be idle.
func (b *baselines) leastLoaded(ids []engine.ID) []engine.ID {
	best, found := engine.ID(""), false
	least := 0
	for _, id := range ids {
		load := b.n.keeper.polledLoad(id)
		if !found || load < least {
			best, least, found = id, load, true
		}
	}
	if !found {
		return nil
	}
	return []engine.ID{best}
}

// pollEndpoints requests the load of every endpoint, kept here or not. It does nothing unless the algorithm is
// RoutingLeastLoaded.
func (b *baselines) pollEndpoints(time.Time) {
	if b.n.cfg.Routing != settings.RoutingLeastLoaded {
		return
	}
	for id, record := range b.n.documents.snapshot().endpoints {
		b.n.work.Go(func() {
			if report, err := b.n.keeper.fetchLoad(record.Address, 0); err == nil {
				b.n.keeper.recordPolledLoad(id, report.Running)
			}
		})
	}
}
