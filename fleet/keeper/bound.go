package keeper

import (
	"maps"
	"math"
	"time"

	"balsamknot.org/fleet/engine"
)

// pool holds the settings of an engine pool, its size, and the loads of its endpoints at other keepers.
type pool struct {
	cfg PoolConfig
	// engines is the number of endpoints in the pool that take new work, at all keepers.
	engines int
	// gossiped holds the loads of endpoints at other keepers that were received by gossip or with an answer. observed holds
	// those that were received with a request, from a keeper that had declined the request.
	gossiped, observed map[engine.ID]remoteLoad
}

// remoteLoad is the load of an endpoint at another keeper at a point in time.
type remoteLoad struct {
	load float64
	at   time.Time
}

// addLoads adds the current loads of the included endpoints to the estimate. An observed load replaces a gossiped one.
func (p *pool) addLoads(now time.Time, estimate *meanEstimate, include func(engine.ID) bool) {
	for id, remote := range p.gossiped {
		_, isObserved := p.observed[id]
		if !isObserved && include(id) && now.Sub(remote.at) <= gossipedLoadLifetime {
			estimate.add(remote.load)
		}
	}
	for id, remote := range p.observed {
		if include(id) {
			estimate.add(remote.load)
		}
	}
}

// expire deletes loads past their lifetime.
func (p *pool) expire(now time.Time) {
	maps.DeleteFunc(p.gossiped, func(_ engine.ID, remote remoteLoad) bool { return now.Sub(remote.at) > gossipedLoadLifetime })
	maps.DeleteFunc(p.observed, func(_ engine.ID, remote remoteLoad) bool { return now.Sub(remote.at) > observedLoadLifetime })
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
// The loads of this host's endpoints are averages, like those that other keepers send by gossip.
func (k *Keeper) loadBound(now time.Time, poolName string) int {
	p := k.pool(poolName)
	var estimate meanEstimate
	for _, s := range k.engines {
		if s.pool == poolName && !s.withdrawn {
			s.updateAverage(now)
			estimate.add(s.average)
		}
	}
	p.addLoads(now, &estimate, func(id engine.ID) bool {
		s := k.engines[id]
		return s == nil || s.withdrawn
	})
	engines := max(estimate.n, p.engines, 1)
	factor := max(1, float64(p.cfg.LoadFactor))
	return max(1, int(math.Ceil(factor*(estimate.mean(engines)+1/float64(engines)))))
}
