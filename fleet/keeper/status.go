package keeper

import (
	"time"

	"balsamknot.org/fleet/engine"
)

// AverageLoad returns the exponential average of an endpoint's load with a time constant of one second. It is 0 for an
// endpoint of which this host is not the keeper.
func (k *Keeper) AverageLoad(now time.Time, id engine.ID) float64 {
	if s := k.engines[id]; s != nil {
		s.updateAverage(now)
		return s.average
	}
	return 0
}

// Loads returns the average load of each endpoint of this keeper that takes new work, ordered by ID, to be sent to the other
// keepers.
func (k *Keeper) Loads(now time.Time) []LoadGossiped {
	var loads []LoadGossiped
	for _, s := range k.sortedEngines() {
		if !s.withdrawn && !s.leaving {
			s.updateAverage(now)
			loads = append(loads, LoadGossiped{Engine: s.id, Pool: s.pool, Load: s.average, At: now})
		}
	}
	return loads
}

// EngineLoad is the state of one endpoint of this keeper, for the operator's status page and metrics.
type EngineLoad struct {
	Engine                        engine.ID
	Pool                          string
	Running, Queued, Limit, Chats int
	Leaving                       bool
}

// Engines returns the state of each endpoint of this keeper, ordered by ID.
func (k *Keeper) Engines(now time.Time) []EngineLoad {
	var loads []EngineLoad
	for _, s := range k.sortedEngines() {
		loads = append(loads, EngineLoad{
			Engine: s.id, Pool: s.pool, Running: s.running, Queued: s.queue.len(),
			Limit: k.limit(now, s), Chats: s.chats.Len(), Leaving: s.leaving,
		})
	}
	return loads
}
