package node

import (
	"maps"
	"time"

	"balsamknot.org/entry/peer"
	"balsamknot.org/fleet/host"
	"balsamknot.org/fleet/pool"
)

const (
	// abilitiesTTL is how long a host is taken to know demands after it last said so: it may have been replaced by one of an earlier release.
	abilitiesTTL = 10 * time.Second
	// abilitiesInterval is how often a host says so to one that sends it slot requests.
	abilitiesInterval = 3 * time.Second
	// ignoredTTL is how long a host that left a demand without a reply gets no request that can only be sent as one.
	ignoredTTL = 3 * time.Second
)

// abilities tracks which hosts know peer.SlotDemand. It is not safe for concurrent use.
type abilities struct {
	// heardAt holds when each host last said so, and toldAt when this host last told each of the others.
	heardAt, toldAt map[host.ID]time.Time
	// ignoredAt holds when each host last left demands without a reply that was not known to know them.
	ignoredAt map[host.ID]time.Time
}

func newAbilities() *abilities {
	return &abilities{heardAt: make(map[host.ID]time.Time), toldAt: make(map[host.ID]time.Time), ignoredAt: make(map[host.ID]time.Time)}
}

// known reports whether a host knows demands.
func (a *abilities) known(now time.Time, id host.ID) bool {
	heardAt, heard := a.heardAt[id]
	return heard && now.Sub(heardAt) < abilitiesTTL
}

// hear notes that a host knows demands.
func (a *abilities) hear(now time.Time, id host.ID) {
	a.heardAt[id] = now
	delete(a.ignoredAt, id)
}

// noReply notes that a host did not reply to a slot request, and reports whether it may have been reached and not know demands: demand is true if
// the request was sent as one.
func (a *abilities) noReply(now time.Time, id host.ID, demand bool) (mayIgnore bool) {
	mayIgnore = demand && !a.known(now, id)
	if mayIgnore {
		a.ignoredAt[id] = now
	}
	delete(a.heardAt, id)
	return mayIgnore
}

// ignores reports whether a host left a demand without a reply a short time ago, and has not said since that it knows them.
func (a *abilities) ignores(now time.Time, id host.ID) bool {
	at, ignored := a.ignoredAt[id]
	return ignored && now.Sub(at) < ignoredTTL
}

// tell reports whether a host that has sent a slot request is to be told now, and notes that it is.
func (a *abilities) tell(now time.Time, id host.ID) bool {
	if toldAt, told := a.toldAt[id]; told && now.Sub(toldAt) < abilitiesInterval {
		return false
	}
	a.toldAt[id] = now
	return true
}

// expire forgets what is out of date.
func (a *abilities) expire(now time.Time) {
	forgetOlder(a.heardAt, now, abilitiesTTL)
	forgetOlder(a.ignoredAt, now, ignoredTTL)
	forgetOlder(a.toldAt, now, abilitiesTTL)
}

// forgetOlder deletes the times that are ttl or more ago.
func forgetOlder(times map[host.ID]time.Time, now time.Time, ttl time.Duration) {
	maps.DeleteFunc(times, func(_ host.ID, at time.Time) bool { return now.Sub(at) >= ttl })
}

// knowsDemands reports whether a host was heard to know demands a short time ago.
func (s *slotManager) knowsDemands(now time.Time, id host.ID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.abilities.known(now, id)
}

// ignoresDemands reports whether a host is likely to be one of an earlier release, which knows no demands.
func (s *slotManager) ignoresDemands(now time.Time, id host.ID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.abilities.ignores(now, id)
}

// recordNoReply records that a host did not reply to a request for a slot. It may have been replaced by one of an earlier release, and if the request
// could only be sent as a demand, that may be the reason: it then stays the keeper of other requests.
func (s *slotManager) recordNoReply(now time.Time, id host.ID, e pool.SlotRequested) {
	s.mu.Lock()
	mayIgnore := s.abilities.noReply(now, id, needsDemand(e))
	s.mu.Unlock()
	if !mayIgnore {
		s.n.membership.recordNoReply(now, id)
	}
}

// needsDemand reports whether a slot request can only be sent as a demand.
func needsDemand(e pool.SlotRequested) bool { return len(e.DataCentres) > 0 }

// handleAbilities records what the sender of a datagram knows, and tells one that requested slots what this host knows.
func (s *slotManager) handleAbilities(now time.Time, d peer.Datagram) {
	requests := len(d.SlotRequests) + len(d.Additions.BoundRequests) + len(d.Extensions.SlotDemands)
	s.mu.Lock()
	if a := d.Extensions.Abilities; a != nil && a.Demands {
		s.abilities.hear(now, d.From)
	}
	tell := requests > 0 && s.abilities.tell(now, d.From)
	s.mu.Unlock()
	if tell {
		s.n.membership.send(d.From, peer.Datagram{Extensions: peer.Extensions{Abilities: &peer.Abilities{Demands: true}}})
	}
}

// sweepAbilities forgets what is out of date.
func (s *slotManager) sweepAbilities(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.abilities.expire(now)
}
