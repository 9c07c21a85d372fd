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

// applyBaseline changes a pool's settings if a baseline algorithm is configured: the capacity limit and the load bound no longer
// apply, and chats are not queued to wait for an engine that has their prefix cached (ReuseWait).
func (n *Node) applyBaseline(cfg *keeper.PoolConfig) {
	if n.cfg.Routing == settings.RoutingBalsamknot {
		return
	}
	cfg.Unlimited = true
	cfg.ReuseWait = 0
}

// leastLoaded returns the engine that had the fewest running requests when this node last polled it, and nil if ids is empty.
// An engine that was never polled is assumed to be idle.
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

// pollEndpoints requests the load of every endpoint, whichever node is its keeper. It does nothing unless the algorithm is
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
