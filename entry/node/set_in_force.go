package node

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"balsamknot.org/balsamknot/event"
	"balsamknot.org/fleet/site"
)

// set returns the set in force, nil before the first one, and whether its lease allows its use.
func (v *storeView) set(now time.Time) (*site.Set, bool) {
	v.mu.RLock()
	defer v.mu.RUnlock()
	return v.inForce, v.inForce != nil && v.catalogue.Valid(now)
}

// awaitFirstSet blocks until the first set is in force, ctx ends or d has passed.
func (v *storeView) awaitFirstSet(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-v.loaded:
	case <-t.C:
	case <-ctx.Done():
	}
}

// setVersion returns the version of the set in force; 0 before the first one.
func (v *storeView) setVersion() site.Version {
	v.mu.RLock()
	defer v.mu.RUnlock()
	if v.inForce != nil {
		return v.inForce.Version
	}
	return 0
}

// valid reports whether there is a set that may be used.
func (v *storeView) valid(now time.Time) bool {
	_, ok := v.set(now)
	return ok
}

// putInForce replaces the set in force, or if there is none the set with which followSets begins. applying must be held.
func (v *storeView) putInForce(now time.Time, set *site.Set) {
	v.mu.Lock()
	starting := v.inForce == nil
	if starting {
		v.firstSet = set
	} else {
		v.inForce = set
	}
	v.mu.Unlock()
	if starting {
		v.wakeSets()
		return
	}
	v.logInForce(now, set)
}

// useFirstSet puts the first set of this process in force.
func (v *storeView) useFirstSet(now time.Time) {
	v.applying.Lock()
	defer v.applying.Unlock()
	v.mu.Lock()
	set := v.firstSet
	v.inForce, v.firstSet = set, nil
	v.mu.Unlock()
	v.logInForce(now, set)
	close(v.loaded)
}

func (v *storeView) logInForce(now time.Time, set *site.Set) {
	event.LogText(v.n.log, zerolog.InfoLevel, event.DocumentAccepted).Int64("Version", int64(set.Version)).
		Dur("BeliefMs", v.age(now)).Send()
	v.n.logHomeless(set)
}
