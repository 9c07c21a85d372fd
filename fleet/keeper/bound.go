package keeper

import (
	"maps"
	"math"
	"time"

	"balsamknot.org/fleet/engine"
)

// pool holds what the load bound of an engine pool needs beyond the endpoints kept here.
type pool struct {
	cfg PoolConfig
	// engines is the number of endpoints in the pool that take new work, at all keepers.
	engines int
	// gossiped holds loads of endpoints at other keepers as received by gossip or with an answer, observed those that a
	// request brought along after such an endpoint declined it.
	gossiped, observed map[engine.ID]remoteLoad
}

// remoteLoad is the load of an endpoint at another keeper at a point in time.
type remoteLoad struct {
	load float64
	at   time.Time
}

// addLoads adds the current loads of the included endpoints to the estimate. An observed load replaces a gossiped one.
func (p *pool) addLoads(now time.Time, estimate *meanEstimate, include func(engine.ID) bool) {
	for id, h := range p.gossiped {
		_, isObserved := p.observed[id]
		if !isObserved && include(id) && now.Sub(h.at) <= gossipedLoadLifetime {
			estimate.add(h.load)
		}
	}
	for id, h := range p.observed {
		if include(id) {
			estimate.add(h.load)
		}
	}
}

// expire deletes loads past their lifetime.
func (p *pool) expire(now time.Time) {
	maps.DeleteFunc(p.gossiped, func(_ engine.ID, h remoteLoad) bool { return now.Sub(h.at) > gossipedLoadLifetime })
	maps.DeleteFunc(p.observed, func(_ engine.ID, h remoteLoad) bool { return now.Sub(h.at) > observedLoadLifetime })
}

// limit returns how many requests the endpoint may run now: its capacity and, in a bounded pool, the load bound.
func (k *Keeper) limit(now time.Time, s *engineState) int {
	p := k.pool(s.pool)
	if p.cfg.Unlimited {
		return math.MaxInt
	}
	limit := s.capacity(p.cfg)
	if !s.hasReport {
		limit = min(limit, unreportedLimit)
	}
	if !p.cfg.Bounded {
		return limit
	}
	return min(limit, k.loadBound(now, s.pool))
}

// loadBound returns LoadFactor times the mean load that the pool would have with one more request, rounded up; at least 1.
// Loads of endpoints kept here are averages, like those that other keepers send by gossip.
func (k *Keeper) loadBound(now time.Time, poolName string) int {
	p := k.pool(poolName)
	var known meanEstimate
	for _, s := range k.engines {
		if s.pool == poolName && !s.withdrawn {
			s.updateAverage(now)
			known.add(s.average)
		}
	}
	p.addLoads(now, &known, func(id engine.ID) bool {
		s := k.engines[id]
		return s == nil || s.withdrawn
	})
	engines := max(known.n, p.engines, 1)
	factor := max(1, float64(p.cfg.LoadFactor))
	return max(1, int(math.Ceil(factor*(known.mean(engines)+1/float64(engines)))))
}
