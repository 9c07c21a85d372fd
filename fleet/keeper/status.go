package keeper

import (
	"time"

	"balsamknot.org/fleet/engine"
)

// Average returns a kept endpoint's load over about a second, 0 for one that is not kept.
func (k *Keeper) Average(now time.Time, id engine.ID) float64 {
	if s := k.engines[id]; s != nil {
		s.settle(now)
		return s.average
	}
	return 0
}

// Loads returns the load of each kept endpoint that takes work, to tell the other keepers, in order of ID.
func (k *Keeper) Loads(now time.Time) []LoadHeard {
	var loads []LoadHeard
	for _, s := range k.sorted() {
		if !s.withdrawn && !s.leaving {
			s.settle(now)
			loads = append(loads, LoadHeard{Engine: s.id, Pool: s.pool, Load: s.average, At: now})
		}
	}
	return loads
}

// EngineLoad is one kept endpoint's state, for status and metrics.
type EngineLoad struct {
	Engine                        engine.ID
	Pool                          string
	Running, Queued, Limit, Chats int
	Leaving                       bool
}

// Engines returns the state of each kept endpoint, in order of ID.
func (k *Keeper) Engines(now time.Time) []EngineLoad {
	var loads []EngineLoad
	for _, s := range k.sorted() {
		loads = append(loads, EngineLoad{
			Engine: s.id, Pool: s.pool, Running: s.running, Queued: s.queue.len(),
			Limit: k.limit(now, s), Chats: s.chats.Len(), Leaving: s.leaving,
		})
	}
	return loads
}
