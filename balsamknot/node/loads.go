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

// exchangeLoads tells the other keepers the loads of this node's endpoints, and takes in theirs.
func (k *keeping) exchangeLoads(now time.Time) {
	k.mu.Lock()
	loads := k.machine.Loads(now)
	k.mu.Unlock()
	for _, load := range loads {
		if told, ok := k.n.members.row(now, k.n.self.ID, loadKey+string(load.Engine)); ok && !worthTelling(now, told, load.Load) {
			continue
		}
		k.n.members.tell(gossip.Row{
			Origin: k.n.self.ID, Key: loadKey + string(load.Engine), Version: uint64(now.UnixMilli()), At: now, A: int64(load.Load * loadScale),
		})
	}
	k.tellDown(now)
	current := k.n.documents.snapshot()
	for _, row := range k.n.members.rows(now, loadKey) {
		id := engine.ID(strings.TrimPrefix(row.Key, loadKey))
		if record, ok := current.endpoints[id]; ok && row.Origin != k.n.self.ID {
			k.update(keeper.LoadGossiped{Engine: id, Pool: record.Pool, Load: float64(row.A) / loadScale, At: row.At})
		}
	}
	down := k.down(now)
	for pool, ids := range current.pools {
		k.update(keeper.PoolResized{Pool: pool, Engines: working(current, ids, down)})
	}
}

const (
	// loadChange is the share, and loadStep the least number of requests, by which a load must change to be told
	// before loadRefresh.
	loadChange  = 0.25
	loadStep    = 0.5
	loadRefresh = 3 * time.Second
	// loadScale is the unit of a load in gossip, as parts of a request.
	loadScale = 100
)

// worthTelling reports whether a load differs enough from what the peers were told.
func worthTelling(now time.Time, told gossip.Row, load float64) bool {
	before := float64(told.A) / loadScale
	return math.Abs(load-before) > max(loadStep, loadChange*before) || now.Sub(told.At) > loadRefresh
}

// tellDown tells the entries which endpoints answer no probe, so that they are left out at once.
func (k *keeping) tellDown(now time.Time) {
	k.mu.Lock()
	var down []engine.ID
	for id, e := range k.kept {
		if e.failures >= downAfter {
			down = append(down, id)
		}
	}
	k.mu.Unlock()
	for _, id := range down {
		k.noteDown(id, now)
		k.n.members.tell(gossip.Row{Origin: k.n.self.ID, Key: downKey + string(id), Version: uint64(now.UnixMilli()), At: now})
	}
}

// noteDown takes in that an endpoint was down at a time, as its keeper tells.
func (k *keeping) noteDown(id engine.ID, at time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if at.After(k.lastDown[id]) {
		k.lastDown[id] = at
	}
}

// down returns the endpoints that were lately told to be down.
func (k *keeping) down(now time.Time) map[engine.ID]bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	down := make(map[engine.ID]bool, len(k.lastDown))
	for id, at := range k.lastDown {
		if now.Sub(at) >= downLifetime {
			delete(k.lastDown, id)
			continue
		}
		down[id] = true
	}
	return down
}

// working counts the endpoints that take new work.
func working(current *snapshot, ids []engine.ID, down map[engine.ID]bool) int {
	n := 0
	for _, id := range ids {
		if !current.endpoints[id].Leaving && !down[id] {
			n++
		}
	}
	return n
}

// hearAverage takes in what travelled with an answer: the average load of the engine that gives it.
func (k *keeping) hearAverage(head *wire.Head) {
	if record, ok := k.n.documents.snapshot().endpoints[engine.ID(head.GetEngine())]; ok {
		k.update(keeper.LoadGossiped{Engine: record.ID, Pool: record.Pool, Load: float64(head.GetLoad()), At: k.n.timers.Now()})
	}
}

// hearLoads takes in what travelled with a request: the loads of the engines that declined it just before.
func (k *keeping) hearLoads(loads []*wire.EngineLoad) {
	current := k.n.documents.snapshot()
	for _, load := range loads {
		if record, ok := current.endpoints[engine.ID(load.GetEngine())]; ok {
			k.update(keeper.LoadObserved{Engine: record.ID, Pool: record.Pool, Load: float64(load.GetLoad())})
		}
	}
}
