package node

import (
	"math"
	"strings"
	"time"

	"balsamknot.org/fleet/engine"
	"balsamknot.org/fleet/gossip"
	"balsamknot.org/fleet/keeper"
	"balsamknot.org/fleet/wire"
)

// gossipLoads publishes the loads of this node's endpoints, and which of them are down, and applies the loads received from other
// keepers. It also sets the size of each pool, which counts only endpoints that take new requests.
func (k *keeperController) gossipLoads(now time.Time) {
	k.mu.Lock()
	loads := k.admission.Loads(now)
	k.mu.Unlock()
	for _, load := range loads {
		if published, ok := k.n.members.row(now, k.n.self.ID, loadKeyPrefix+string(load.Engine)); ok && !shouldPublishLoad(now, published, load.Load) {
			continue
		}
		k.n.members.publish(gossip.Row{
			Origin: k.n.self.ID, Key: loadKeyPrefix + string(load.Engine), Version: uint64(now.UnixMilli()), At: now, A: int64(load.Load * loadScale),
		})
	}
	k.publishDown(now)
	current := k.n.documents.snapshot()
	for _, row := range k.n.members.rows(now, loadKeyPrefix) {
		id := engine.ID(strings.TrimPrefix(row.Key, loadKeyPrefix))
		if record, ok := current.endpoints[id]; ok && row.Origin != k.n.self.ID {
			k.update(keeper.LoadGossiped{Engine: id, Pool: record.Pool, Load: float64(row.A) / loadScale, At: row.At})
		}
	}
	down := k.downEndpoints(now)
	for pool, ids := range current.pools {
		k.update(keeper.PoolResized{Pool: pool, Engines: countAvailable(current, ids, down)})
	}
}

const (
	// A load is published again before loadRefreshInterval only if it changed by more than minLoadChange requests and by more
	// than the share loadChangeShare of the published load.
	loadChangeShare     = 0.25
	minLoadChange       = 0.5
	loadRefreshInterval = 3 * time.Second
	// loadScale converts loads to the integers of a gossip row: hundredths of a request.
	loadScale = 100
)

// shouldPublishLoad reports whether a load differs enough from the published one, or that one is too old.
func shouldPublishLoad(now time.Time, published gossip.Row, load float64) bool {
	previous := float64(published.A) / loadScale
	return math.Abs(load-previous) > max(minLoadChange, loadChangeShare*previous) || now.Sub(published.At) > loadRefreshInterval
}

// publishDown publishes which kept endpoints are down, so that entries leave them out before a request fails there.
func (k *keeperController) publishDown(now time.Time) {
	k.mu.Lock()
	var down []engine.ID
	for id, e := range k.endpoints {
		if e.probeFailures >= downThreshold {
			down = append(down, id)
		}
	}
	k.mu.Unlock()
	for _, id := range down {
		k.recordDown(id, now)
		k.n.members.publish(gossip.Row{Origin: k.n.self.ID, Key: downKeyPrefix + string(id), Version: uint64(now.UnixMilli()), At: now})
	}
}

// recordDown records that an endpoint was down at the given time, as its keeper reported. Older reports are ignored.
func (k *keeperController) recordDown(id engine.ID, at time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if at.After(k.downReportedAt[id]) {
		k.downReportedAt[id] = at
	}
}

// downEndpoints returns the endpoints that were reported down less than downReportLifetime ago, and deletes older reports.
func (k *keeperController) downEndpoints(now time.Time) map[engine.ID]bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	down := make(map[engine.ID]bool, len(k.downReportedAt))
	for id, at := range k.downReportedAt {
		if now.Sub(at) >= downReportLifetime {
			delete(k.downReportedAt, id)
			continue
		}
		down[id] = true
	}
	return down
}

// countAvailable returns how many of the endpoints take new requests: those neither leaving nor down.
func countAvailable(current *snapshot, ids []engine.ID, down map[engine.ID]bool) int {
	n := 0
	for _, id := range ids {
		if !current.endpoints[id].Leaving && !down[id] {
			n++
		}
	}
	return n
}

// recordAverageLoad applies the average load of an engine that came with the head of its answer.
func (k *keeperController) recordAverageLoad(head *wire.Head) {
	if record, ok := k.n.documents.snapshot().endpoints[engine.ID(head.GetEngine())]; ok {
		k.update(keeper.LoadGossiped{Engine: record.ID, Pool: record.Pool, Load: float64(head.GetLoad()), At: k.n.timers.Now()})
	}
}

// recordObservedLoads applies the loads that came with a request: those of the engines that have just declined it.
func (k *keeperController) recordObservedLoads(loads []*wire.EngineLoad) {
	current := k.n.documents.snapshot()
	for _, load := range loads {
		if record, ok := current.endpoints[engine.ID(load.GetEngine())]; ok {
			k.update(keeper.LoadObserved{Engine: record.ID, Pool: record.Pool, Load: float64(load.GetLoad())})
		}
	}
}
