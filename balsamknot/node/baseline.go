package node

import (
	"time"

	"balsamknot.org/balsamknot/settings"
	"balsamknot.org/fleet/engine"
	"balsamknot.org/fleet/keeper"
)

// baselines holds the policies of choice that measurements compare with. No product node uses them.
type baselines struct {
	n *Node
}

// baseline takes the load bound out of a pool's settings where a measurement asks for it.
func (n *Node) baseline(cfg *keeper.PoolConfig) {
	if n.cfg.Routing == settings.RoutingBalsamknot {
		return
	}
	cfg.Unlimited = true
	cfg.ReuseWait = 0
}

// leastLoaded returns the engine whose last report, as this entry read it, is lowest.
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

// pollEndpoints reads every endpoint's report on every entry, as the least-loaded baseline does.
func (b *baselines) pollEndpoints(time.Time) {
	if b.n.cfg.Routing != settings.RoutingLeastLoaded {
		return
	}
	for id, record := range b.n.documents.inForce().endpoints {
		b.n.work.Go(func() {
			if report, err := b.n.keeper.fetchLoad(record.Address, 0); err == nil {
				b.n.keeper.recordPolledLoad(id, report.Running)
			}
		})
	}
}
