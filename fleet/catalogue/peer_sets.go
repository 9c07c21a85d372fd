package catalogue

import (
	"maps"
	"slices"
	"time"

	"balsamknot.org/fleet/host"
	"balsamknot.org/fleet/site"
)

// PeerSetsConfig holds the limits of a PeerSets.
type PeerSetsConfig struct {
	// Confirmations is how many hosts with a set in force, none of them a newer one, a host that starts must have heard before it uses its own
	// set at once; fewer if fewer hosts are live.
	Confirmations int
	// DiscoveryTime is the age of a process from which it uses its own set without these, and LoneDiscoveryTime that of one that has met no other
	// host: hosts that knew it before it restarted send it heartbeats within that time.
	DiscoveryTime, LoneDiscoveryTime time.Duration
	// FetchDelay is how long a host that has a set in force waits for a newer one to arrive with its copy before it fetches it from a host that
	// announced it.
	FetchDelay time.Duration
	// FailureBackoff is how long nothing is fetched from a host after a fetch failed.
	FailureBackoff time.Duration
	// Lifetime is how long an announcement counts.
	Lifetime time.Duration
	// RecheckInterval is the wait until the next call of Next while something is pending.
	RecheckInterval time.Duration
}

// PeerSets decides what a host does about the sets that other hosts announce. Their versions rise with each write of the operator, also after
// the store returned from an older copy, so that the highest one is the newest, whatever its position in the store. It is not safe for
// concurrent use.
type PeerSets struct {
	cfg   PeerSetsConfig
	peers map[host.ID]peerSet
	// retryAt holds the hosts from which a fetch failed, with the time from which they are asked again.
	retryAt map[host.ID]time.Time
}

// SetState is what a host announces of its newest set.
type SetState struct {
	// Version is 0 while the host has no set.
	Version site.Version
	// InForce is false while the host has just started and does not use the set yet.
	InForce bool
}

// peerSet is the last announcement of a host.
type peerSet struct {
	state   SetState
	heardAt time.Time
	// since is when the host first announced this version.
	since time.Time
}

// NewPeerSets returns a PeerSets that has heard of no host.
func NewPeerSets(cfg PeerSetsConfig) *PeerSets {
	return &PeerSets{cfg: cfg, peers: make(map[host.ID]peerSet), retryAt: make(map[host.ID]time.Time)}
}

// Announced records an announcement of another host. It reports whether Next is to be called at once.
func (p *PeerSets) Announced(now time.Time, from host.ID, state SetState, own SetState) (next bool) {
	earlier, known := p.peers[from]
	since := now
	if known && earlier.state.Version == state.Version {
		since = earlier.since
	}
	p.peers[from] = peerSet{state: state, heardAt: now, since: since}
	return state.Version > own.Version || !own.InForce
}

// FetchFailed records that the set of a host could not be fetched.
func (p *PeerSets) FetchFailed(now time.Time, from host.ID) {
	p.retryAt[from] = now.Add(p.cfg.FailureBackoff)
}

// Surroundings is what a host that starts knows of the others.
type Surroundings struct {
	// Age is that of the host's process.
	Age time.Duration
	// Others is how many other hosts are live.
	Others int
	// Seeds holds the seeds but this host, if there are any and all of them are live; otherwise it is empty.
	Seeds []host.ID
}

// SetStep is the next action of a host: to fetch the set of the host Fetch, to put its own first set in force if Use is true, or else to call
// Next again after Wait or the next announcement. Wait is 0 if only an announcement matters.
type SetStep struct {
	Fetch host.ID
	Use   bool
	Wait  time.Duration
}

// Next returns the next step of a host with a newest set of its own. A host without one gets it with its copy of the store.
func (p *PeerSets) Next(now time.Time, own SetState, around Surroundings) SetStep {
	p.forget(now)
	if own.Version == 0 {
		return SetStep{}
	}
	newest, pending := p.newest(now, own)
	switch {
	case newest != "":
		return SetStep{Fetch: newest}
	case !own.InForce && p.mayUse(around):
		return SetStep{Use: true}
	case pending, !own.InForce:
		return SetStep{Wait: p.cfg.RecheckInterval}
	}
	return SetStep{}
}

// newest returns the host from which to fetch now: that with the newest set of those with a newer one. pending reports whether there are any.
func (p *PeerSets) newest(now time.Time, own SetState) (newest host.ID, pending bool) {
	highest := own.Version
	for _, id := range slices.Sorted(maps.Keys(p.peers)) {
		version := p.peers[id].state.Version
		pending = pending || version > own.Version
		if version > highest && p.fetchable(now, id, own) {
			newest, highest = id, version
		}
	}
	return newest, pending
}

// mayUse reports whether a host that starts, and can fetch no newer set, may use its own. Hosts that start together meet all seeds at once, and
// need not wait for hosts that run.
func (p *PeerSets) mayUse(around Surroundings) bool {
	running := 0
	for _, peer := range p.peers {
		if peer.state.InForce {
			running++
		}
	}
	switch {
	case running > 0 && running >= min(p.cfg.Confirmations, around.Others):
		return true
	case len(around.Seeds) > 0 && p.heardAll(around.Seeds):
		return true
	case around.Others == 0:
		return around.Age >= p.cfg.LoneDiscoveryTime
	}
	return around.Age >= p.cfg.DiscoveryTime
}

// heardAll reports whether all of these hosts have announced their sets.
func (p *PeerSets) heardAll(ids []host.ID) bool {
	return !slices.ContainsFunc(ids, func(id host.ID) bool {
		_, heard := p.peers[id]
		return !heard
	})
}

// fetchable reports whether the set of a host is to be fetched now.
func (p *PeerSets) fetchable(now time.Time, id host.ID, own SetState) bool {
	return !now.Before(p.retryAt[id]) && (!own.InForce || now.Sub(p.peers[id].since) >= p.cfg.FetchDelay)
}

// forget drops what is out of date.
func (p *PeerSets) forget(now time.Time) {
	maps.DeleteFunc(p.peers, func(_ host.ID, peer peerSet) bool { return now.Sub(peer.heardAt) > p.cfg.Lifetime })
	maps.DeleteFunc(p.retryAt, func(_ host.ID, at time.Time) bool { return !now.Before(at) })
}

// Adopt puts a set that another host has in force if its version is higher than that of the copy's own. era is that of the read that contained
// it. The age of the copy stays the same, since that read may have been sent long ago.
func (c *Catalogue) Adopt(set *site.Set, era Era) bool {
	if set == nil || c.set != nil && set.Version <= c.set.Version {
		return false
	}
	c.set, c.setEra = set, era
	return true
}

// SetVersion returns the version of the newest set, and the era of the read that contained it; both are 0 before the first one.
func (c *Catalogue) SetVersion() (site.Version, Era) {
	if c.set == nil {
		return 0, 0
	}
	return c.set.Version, c.setEra
}
