package pool

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"balsamknot.org/fleet/chat"
	"balsamknot.org/fleet/endpoint"
)

const (
	// prefillTokensPerMs is how many prompt tokens an engine processes in a millisecond.
	prefillTokensPerMs = 92.0
	// runningCost is the cost of each running request at an engine, and recentLoadCost that of each request in the decaying
	// mean of the engine's load, in milliseconds; recentLoadHalfLife is the age at which past load has half its weight.
	// Both costs are small compared with processing a part of a prompt again: a chat moves to another engine only when it
	// has to, and a new chat goes to an engine that has had little load for a while.
	runningCost        = 1.0
	recentLoadCost     = 4.0
	recentLoadHalfLife = 4 * time.Second
	// rendezvousCost is the cost of the last endpoint in the rendezvous order of a prefix, in milliseconds. It makes keepers
	// without cache information choose the same engine.
	rendezvousCost = 4.0
	// remoteEngineCost is the cost of an engine in another data centre, in milliseconds: less than that of processing the shared prefix of a
	// short chat again, so that chats stay where they are cached, and begin in the data centre of their callers.
	remoteEngineCost = 4.0
	// remoteCost is the cost of a runner in another data centre, expressed as a number of running requests.
	remoteCost = 1.5
	// queuedCost is the cost of a runner with no free slot, expressed as a number of running requests.
	queuedCost = 4.0
	// runnerFailureCost is the cost of a runner that always fails, expressed as a number of running requests.
	runnerFailureCost = 12.0
	// failureWeight is the weight of the newest result in the moving average of failures.
	failureWeight = 0.15
	// partLifetime is how long an unused part is assumed to stay in an engine's cache.
	partLifetime = 60 * time.Second
	// maxParts is the number of parts recorded for an engine above which expired ones are evicted.
	maxParts = 4096
	// minSuspicion is how long an endpoint is suspected after a connection failure or time-out; the time doubles with
	// each further one up to maxSuspicion.
	minSuspicion = 500 * time.Millisecond
	maxSuspicion = 4 * time.Second
	// rejectionSuspicion is how long an endpoint is suspected after it rejected a request.
	rejectionSuspicion = 200 * time.Millisecond
)

// endpointState is the keeper's view of one endpoint: its load, cached parts and recent failures.
type endpointState struct {
	record endpoint.Record
	// hash is the hash of the endpoint's ID for rendezvous hashing.
	hash uint64
	// group is the one of the service's groups to which the endpoint belongs; nil after its removal.
	group   *group
	running int
	// addedAt is when this host learned of the endpoint.
	addedAt time.Time
	// work is what the endpoint still has to do, and slowdown how long it takes, compared with the other engines.
	work     engineWork
	slowdown slowdown
	// cachedParts holds the parts of prompts that the endpoint is assumed to cache.
	cachedParts map[chat.PartID]cachedPart
	// list is the state of the engine's cache list.
	list engineList
	// failureShare is the moving average of failures, from 0 for none to 1 for all requests.
	failureShare float64
	// connectionFailures counts connection failures and time-outs since the last completed request.
	connectionFailures int
	// recentLoad is the decaying mean of the weight of the running requests at loadUpdatedAt.
	recentLoad    float64
	loadUpdatedAt time.Time
	suspectUntil  time.Time
	// doubtedUntil is until when the endpoint may have restarted unnoticed.
	doubtedUntil time.Time
	// limiter paces the endpoint's requests; nil if it states no limit and is not cold. limited is true if it states one.
	limiter *limiter
	limited bool
	// arrivals is nil if the service has no bound on cold endpoints, and unshared counts grants for other keepers.
	arrivals *arrivals
	unshared unsharedGrants
	// coldTold is true after a ColdChanged that the endpoint is cold.
	coldTold bool
	// brittle is what the endpoint's answers say, and pausedUntil the time before which it gets no requests since it turned one away.
	brittle     endpoint.Brittle
	pausedUntil time.Time
	// evacuated is true while the operator evacuates the endpoint's data centre.
	evacuated bool
}

func newEndpointState(r endpoint.Record) *endpointState {
	return &endpointState{record: r, hash: xxhash.Sum64String(string(r.Instance.ID)), cachedParts: make(map[chat.PartID]cachedPart)}
}

// evictParts removes the parts that have not been used within partLifetime and returns them.
func (st *endpointState) evictParts(now time.Time) []chat.PartID {
	var evicted []chat.PartID
	for id, part := range st.cachedParts {
		if now.Sub(part.usedAt) > partLifetime {
			delete(st.cachedParts, id)
			evicted = append(evicted, id)
		}
	}
	return evicted
}

// finish ends a request and updates the failure statistics.
func (st *endpointState) finish(now time.Time, result Result) {
	switch result {
	case Completed:
		st.failureShare -= failureWeight * st.failureShare
		st.connectionFailures = 0
		st.suspectUntil = time.Time{}
	case Failed:
		st.failureShare += failureWeight * (1 - st.failureShare)
	case Rejected:
		st.failureShare += failureWeight * (1 - st.failureShare)
		st.suspectFor(now, rejectionSuspicion)
		if st.brittle.Stated {
			st.pausedUntil = now.Add(brittlePause)
		}
	case ConnectionFailed, TimedOut:
		st.doubtedUntil = now.Add(restartDoubt)
		st.failureShare += failureWeight * (1 - st.failureShare)
		st.suspectFor(now, min(minSuspicion<<min(st.connectionFailures, 8), maxSuspicion))
		st.connectionFailures++
	case Unknown:
	}
}

// suspectFor marks the endpoint as suspect for at least d.
func (st *endpointState) suspectFor(now time.Time, d time.Duration) {
	if until := now.Add(d); until.After(st.suspectUntil) {
		st.suspectUntil = until
	}
}

func (st *endpointState) suspect(now time.Time) bool { return now.Before(st.suspectUntil) }

// takesRequests reports whether the endpoint gets new requests: it is not leaving, and its data centre is not evacuated.
func (st *endpointState) takesRequests() bool { return !st.record.Leaving && !st.evacuated }

// hasFreeSlot reports whether the endpoint may get one more request under the load limit and its own capacity.
func (st *endpointState) hasFreeSlot(now time.Time, limit, capacity int) bool {
	return st.takesRequests() && !now.Before(st.pausedUntil) && st.running < min(limit, capacity)
}

// missingTokens returns how many tokens of a prompt's shared parts the endpoint does not cache. A cached part is usable
// only if all parts before it are cached too.
func (st *endpointState) missingTokens(now time.Time, p chat.Prompt) int {
	tokens := 0
	cached := true
	for i := range len(p.Parts) - 1 {
		if cached {
			part, found := st.cachedParts[p.Parts[i].ID]
			cached = found && now.Sub(part.usedAt) < partLifetime
		}
		if !cached {
			tokens += p.Parts[i].Tokens
		}
	}
	return tokens
}

// limitedEngineCost is the cost of an engine that states a limit, in milliseconds, and limitedRunnerCost that of a runner, in running
// requests. What a limit allows is left to the chats whose prefix the engine caches, as far as they need it.
const (
	limitedEngineCost = 15.0
	limitedRunnerCost = 1.0
)

// failureRisk returns the endpoint's failure share, reduced for requests that can be retried elsewhere. Requests on their
// last try thus avoid failing endpoints, and those that can be retried still use them.
func (st *endpointState) failureRisk(e SlotRequested) float64 {
	if e.LastTry {
		return st.failureShare
	}
	return retryableFailureWeight * st.failureShare
}

// retryableFailureWeight is the cost of a failure for a request that can be retried, relative to one on its last try.
const retryableFailureWeight = 0.3

// begin adds a running request whose prompt takes readMs to read, and brings the decaying mean up to date.
func (st *endpointState) begin(now time.Time, w work, readMs float64) {
	st.recentLoad, st.loadUpdatedAt = st.currentLoad(now), now
	st.running++
	st.work.begin(now, w, readMs)
}

// end removes a running request.
func (st *endpointState) end(now time.Time, w work) {
	st.recentLoad, st.loadUpdatedAt = st.currentLoad(now), now
	st.running--
	st.work.end(now, w)
}

// load is the weight of the requests running at an endpoint, and its decaying mean.
type load struct{ running, recent float64 }

func (st *endpointState) load(now time.Time) load {
	return load{running: st.work.weight, recent: st.currentLoad(now)}
}

// currentLoad returns the decaying mean of the weight of the running requests at now.
func (st *endpointState) currentLoad(now time.Time) float64 {
	if st.loadUpdatedAt.IsZero() {
		return 0
	}
	weight := 1 / (1 + now.Sub(st.loadUpdatedAt).Seconds()/recentLoadHalfLife.Seconds())
	return weight*st.recentLoad + (1-weight)*st.work.weight
}

// engineFailureCost is the cost of an engine that always fails, in milliseconds.
const engineFailureCost = 1200.0

// runnerCost returns the cost of a plain service's runner, expressed as a number of running requests. Runners in the
// entry's data centre are cheaper, and those at which the request would be queued dearer.
func (st *endpointState) runnerCost(now time.Time, e SlotRequested) float64 {
	c := float64(st.running) + runnerFailureCost*st.failureRisk(e)
	if st.record.DataCentre != e.DataCentre {
		c += remoteCost
	}
	if st.running >= st.record.Slots {
		c += queuedCost
	}
	if st.limiter.avoided(now) {
		c += limitedRunnerCost
	}
	return c
}

// rendezvousRank returns the endpoint's position in the rendezvous order of a key, from 0 for the first choice to 1.
func (st *endpointState) rendezvousRank(key uint64) float64 {
	return float64(mix64(key^st.hash)) / (1 << 64)
}

// mix64 is the finalizer of SplitMix64, which spreads the bits of x over the result.
//
// Source: Steele, Lea and Flood, "Fast Splittable Pseudorandom Number Generators", 2014.
func mix64(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
