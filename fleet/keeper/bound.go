package keeper

import (
	"maps"
	"math"
	"time"

	"balsamknot.org/fleet/engine"
)

type pool struct {
	cfg PoolConfig
	// engines counts the endpoints that take work, at all keepers.
	engines int
	// others holds the loads heard of endpoints that other nodes keep, and met those that requests met.
	others, met map[engine.ID]heard
}

type heard struct {
	load float64
	at   time.Time
}

// sample takes in the loads that still count, those met before those heard.
func (p *pool) sample(now time.Time, into *estimate, counts func(engine.ID) bool) {
	for id, h := range p.others {
		_, isMet := p.met[id]
		if !isMet && counts(id) && now.Sub(h.at) <= heardLifetime {
			into.add(h.load)
		}
	}
	for id, h := range p.met {
		if counts(id) {
			into.add(h.load)
		}
	}
}

// forget drops what no longer counts.
func (p *pool) forget(now time.Time) {
	maps.DeleteFunc(p.others, func(_ engine.ID, h heard) bool { return now.Sub(h.at) > heardLifetime })
	maps.DeleteFunc(p.met, func(_ engine.ID, h heard) bool { return now.Sub(h.at) > metLifetime })
}

// limit returns how many requests the endpoint may hold now.
func (k *Keeper) limit(now time.Time, s *seat) int {
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
	return min(limit, k.bound(now, s.pool))
}

// bound returns LoadFactor times the mean load of the pool with one more request, rounded up.
func (k *Keeper) bound(now time.Time, name string) int {
	p := k.pool(name)
	var known estimate
	for _, s := range k.engines {
		if s.pool == name && !s.withdrawn {
			s.settle(now)
			known.add(s.average)
		}
	}
	p.sample(now, &known, func(id engine.ID) bool {
		s := k.engines[id]
		return s == nil || s.withdrawn
	})
	engines := max(known.n, p.engines, 1)
	factor := max(1, float64(p.cfg.LoadFactor))
	return max(1, int(math.Ceil(factor*(known.mean(engines)+1/float64(engines)))))
}
