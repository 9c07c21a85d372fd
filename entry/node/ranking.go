package node

import (
	"cmp"
	"slices"
	"time"

	"balsamknot.org/fleet/host"
	"balsamknot.org/fleet/placement"
	"balsamknot.org/fleet/site"
	"balsamknot.org/fleet/stream"
)

// hostBackoff describes a host that does not reply to slot requests.
type hostBackoff struct {
	// until is the time until which no slot is requested from the host.
	until time.Time
	// failures is how many backoffs the host has had since its last reply.
	failures int
}

const (
	// minHostBackoff is how long no slot is requested from a host that did not reply. It doubles with each further failure, up
	// to maxHostBackoff.
	minHostBackoff = time.Second
	maxHostBackoff = 8 * time.Second
)

// keeper returns the keeper of a service as far as this host can tell: the first host of the ranking that has no backoff. This
// host itself never has one, and is returned if all others have.
func (m *membership) keeper(now time.Time, service site.ServiceName) host.ID {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, id := range m.rankKeepers(service) {
		if id == m.n.cfg.Host || !now.Before(m.backoffs[id].until) {
			return id
		}
	}
	return m.n.cfg.Host
}

// rankKeepers returns the candidates for keeper of a service, the keeper first and its standbys after it. Hosts that have just
// started come last, since they have not yet received the cache contents of the service's endpoints. mu must be held.
func (m *membership) rankKeepers(service site.ServiceName) []host.ID {
	ids := placement.Rank(string(service), m.highCapacity, maxKeeperCandidates)
	slices.SortStableFunc(ids, func(a, b host.ID) int {
		return cmp.Compare(m.startupRank(a), m.startupRank(b))
	})
	return ids
}

// startupRank returns 1 for a host that has just started and 0 for all others. mu must be held.
func (m *membership) startupRank(id host.ID) int {
	if m.roster.HasSentHeartbeats(id, minKeeperHeartbeats) {
		return 0
	}
	return 1
}

// keeperAndStandbys returns the keeper of a service, followed by its standbys. Hosts in backoff are included.
func (m *membership) keeperAndStandbys(service site.ServiceName) []host.ID {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.rankKeepers(service)
}

// hasRunFor reports whether a host's process has run for d, as far as this host has received its heartbeats.
func (m *membership) hasRunFor(id host.ID, d time.Duration) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.roster.HasSentHeartbeats(id, startupRounds+uint64(d/heartbeatInterval))
}

const (
	// maxKeeperCandidates limits the keeper and standbys of a service.
	maxKeeperCandidates = 10
	// minKeeperHeartbeats is how many heartbeats a host must have sent to be ranked before hosts that have just started: those of
	// its startup, and 30 regular ones. The latter take 9 s, longer than a keeper takes to send its standbys all cache contents
	// in use.
	minKeeperHeartbeats = startupRounds + 30
)

// streamHosts returns the first n other live hosts in the ranking of the replicas of a stream.
func (m *membership) streamHosts(id stream.ID, n int) []host.ID {
	m.mu.Lock()
	defer m.mu.Unlock()
	ids := placement.Rank(streamKey(id), m.live, n+1)
	ids = slices.DeleteFunc(ids, func(id host.ID) bool { return id == m.n.cfg.Host })
	return ids[:min(len(ids), n)]
}

// recordNoReply starts the backoff of a host that did not reply. It does nothing during a backoff.
func (m *membership) recordNoReply(now time.Time, id host.ID) {
	m.mu.Lock()
	defer m.mu.Unlock()
	backoff := m.backoffs[id]
	if now.Before(backoff.until) {
		return
	}
	backoff.until = now.Add(min(minHostBackoff<<min(backoff.failures, 8), maxHostBackoff))
	backoff.failures++
	m.backoffs[id] = backoff
}

// recordReply ends the backoff of a host.
func (m *membership) recordReply(id host.ID) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.backoffs, id)
}

// readersPerRegion is how many hosts of a region are ranked as readers: the first activeReaders of them read the platform
// continuously, the others are their backups.
const readersPerRegion = 8

// rankedReaders returns the readers of this host's region in order of preference.
func (m *membership) rankedReaders() []host.ID {
	m.mu.Lock()
	defer m.mu.Unlock()
	return placement.Rank("store/"+string(m.n.cfg.Region), m.highCapacity, readersPerRegion)
}
