package pool

import (
	"cmp"
	"slices"
	"time"

	"balsamknot.org/fleet/chat"
	"balsamknot.org/fleet/endpoint"
	"balsamknot.org/fleet/site"
)

// ListCache requests the cache contents of an engine. The caller replies with one CacheListed, within TimeLimit.
type ListCache struct {
	Service   site.ServiceName
	Endpoint  endpoint.Record
	TimeLimit time.Duration
}

// CacheListed reports the cache contents of an engine, or that the engine did not list them.
type CacheListed struct {
	Service  site.ServiceName
	Instance endpoint.Instance
	// Failed is true if there is no list, so that it remains unknown what the engine caches.
	Failed bool
	// Parts has the tokens that the engine keeps of each part.
	Parts []chat.Part
}

// ListsNeeded asks for the lists of a service's engines if these have several software versions. A keeper that has just started gets it, so that it
// knows what engines cached before it granted slots, and what those cached that leave soon.
type ListsNeeded struct{ Service site.ServiceName }

func (ListCache) command() {}
func (CacheListed) event() {}
func (ListsNeeded) event() {}

const (
	// cacheListWait is how long a keeper without cache information queues requests while it waits for the lists. Processing
	// a prompt again takes longer than that.
	cacheListWait = 60 * time.Millisecond
	// listDemandPeriod is how long engines are asked for lists after the event that needs them: the first slot request, or a PartQueried.
	listDemandPeriod = 500 * time.Millisecond
	// maxConcurrentLists is how many engines of a service are asked at the same time: three groups, since a host of a small fleet lists several.
	// Each is asked once at a time.
	maxConcurrentLists = 3 * maxGroupSize
	// minListTimeLimit is the time for an engine's first two lists: that of a slow list after a pause of a second. It doubles with each second
	// failure, up to maxListTimeLimit.
	minListTimeLimit = 3500 * time.Millisecond
	maxListTimeLimit = 6400 * time.Millisecond
	// minLateAfter is the time after which a list may be late compared with those of other engines; it doubles with each failure. lateFactor
	// is by how much it takes longer than their median then.
	minLateAfter = 400 * time.Millisecond
	lateFactor   = 3
	// minListBackoff is the time after which an engine without a list is asked again. It doubles with each failure, up to maxListBackoff.
	minListBackoff = 100 * time.Millisecond
	maxListBackoff = 2 * time.Second
	// listPatience is how long a lookup that has found one version waits for the list of an engine of another one, from when the engine was
	// asked first: longer than a sound engine is silent, and shorter than callers wait.
	listPatience = 1500 * time.Millisecond
	// listDemandMemory is the time without an event that needs lists after which a lookup waits for listPatience anew.
	listDemandMemory = 10 * time.Second
)

// cacheListing is the state of the listing of a service's engines.
type cacheListing struct {
	// started is true once slot requests need no further lists: the keeper has requested them, or another keeper has sent the cache
	// contents. Those have no parts that only one request uses.
	started bool
	// deadline is when slot requests no longer wait for lists.
	deadline time.Time
	// wantedUntil is when no engine is asked any more, unless another event needs lists.
	wantedUntil time.Time
	// inFlight is the number of lists that are requested now.
	inFlight int
}

// listState is what a keeper knows of an engine's cache from the engine itself.
type listState int

const (
	// unlisted means that the engine may cache anything.
	unlisted listState = iota
	// listRequested means the same, and that the engine was asked.
	listRequested
	// listed means that the keeper knows what the engine cached when it was asked.
	listed
)

// engineList is the state of the list of one engine.
type engineList struct {
	state listState
	// askedAt is when the engine was asked first; zero before. requestedAt is when it was asked last, and took how long its list took.
	askedAt, requestedAt time.Time
	took                 time.Duration
	// cancelled is true if the keeper gave up the list that is requested now.
	cancelled bool
	// failures is how often the engine was asked in vain, and retryAt when it may be asked again.
	failures int
	retryAt  time.Time
	// wantedUntil is when the engine is no longer asked, unless another event needs its list. wantedSince is when the first event of the present
	// series needed it; a pause of listDemandMemory ends a series.
	wantedSince, wantedUntil time.Time
}

// want records that an event needs the list.
func (l *engineList) want(now time.Time) {
	if now.Sub(l.wantedUntil) > listDemandMemory {
		l.wantedSince = now
	}
	l.wantedUntil = now.Add(listDemandPeriod)
}

// due reports whether the engine is to be asked now.
func (l engineList) due(now time.Time) bool {
	return l.state == unlisted && now.Before(l.wantedUntil) && !now.Before(l.retryAt)
}

// timeLimit returns the time for the engine's next list.
func (l engineList) timeLimit() time.Duration {
	return doubled(minListTimeLimit, l.failures/2, maxListTimeLimit)
}

// request records that the engine was asked.
func (l *engineList) request(now time.Time) {
	l.state, l.requestedAt, l.cancelled = listRequested, now, false
	if l.askedAt.IsZero() {
		l.askedAt = now
	}
}

// overdue reports whether the list is missing although the engine has had listPatience to give it.
func (l engineList) overdue(now time.Time) bool {
	if l.state == listed || l.askedAt.IsZero() {
		return false
	}
	return now.Sub(l.askedAt) >= listPatience && now.Sub(l.wantedSince) >= listPatience
}

// finish records the result of a request for the list.
func (l *engineList) finish(now time.Time, failed bool) {
	if !failed {
		*l = engineList{state: listed, took: now.Sub(l.requestedAt)}
		return
	}
	l.state, l.retryAt = unlisted, now.Add(doubled(minListBackoff, l.failures, maxListBackoff))
	l.failures++
}

// doubled returns d doubled n times, and at most limit.
func doubled(d time.Duration, n int, limit time.Duration) time.Duration {
	for ; n > 0 && d < limit; n-- {
		d *= 2
	}
	return min(d, limit)
}

// listCaches starts the cache listing at the service's first request, unless another keeper has sent the cache contents or
// this host may not be the keeper. The engines of a service that is divided into several groups are listed by the hosts of these, for lookups only.
func (s *service) listCaches(now time.Time, e SlotRequested) []Command {
	if s.listing.started || s.engine == nil || e.KeeperUnconfirmed {
		return nil
	}
	s.listing.started = true
	if s.listGroupCount() > 1 {
		return nil
	}
	s.listing.deadline = now.Add(cacheListWait)
	return s.demandLists(now, s.sorted)
}

// listVersions requests the lists of a service whose engines have several software versions.
func (s *service) listVersions(now time.Time) []Command {
	if s.engine == nil || s.listGroupCount() > 1 || len(s.versions()) < 2 {
		return nil
	}
	return s.demandLists(now, s.sorted)
}

// versions returns the software versions of the registered engines, in order.
func (s *service) versions() []endpoint.Version {
	versions := make([]endpoint.Version, 0, len(s.sorted))
	for _, st := range s.sorted {
		versions = append(versions, st.record.Version)
	}
	return distinct(versions)
}

// demandLists requests the lists of engines from now on for listDemandPeriod.
func (s *service) demandLists(now time.Time, engines []*endpointState) []Command {
	for _, st := range engines {
		st.list.want(now)
	}
	s.listing.wantedUntil = now.Add(listDemandPeriod)
	return s.requestLists(now, engines)
}

// requestLists requests the lists of those engines that are due and not evacuated, as many as may be requested at the same time. Those that failed least come first.
func (s *service) requestLists(now time.Time, engines []*endpointState) []Command {
	if !now.Before(s.listing.wantedUntil) || s.listing.inFlight >= maxConcurrentLists {
		return nil
	}
	var due []*endpointState
	for _, st := range engines {
		if !st.evacuated && st.list.due(now) {
			due = append(due, st)
		}
	}
	slices.SortStableFunc(due, func(a, b *endpointState) int { return cmp.Compare(a.list.failures, b.list.failures) })
	var commands []Command
	for _, st := range due[:min(len(due), maxConcurrentLists-s.listing.inFlight)] {
		st.list.request(now)
		s.listing.inFlight++
		commands = append(commands, ListCache{
			Service: s.name, Endpoint: st.record, TimeLimit: st.list.timeLimit(),
		})
	}
	return commands
}

// cacheListed records an engine's cache contents and requests the next list. If it was the last one for which slot requests wait, these get
// their slots.
func (s *service) cacheListed(now time.Time, e CacheListed) []Command {
	s.listing.inFlight--
	if st := s.endpoints[e.Instance.ID]; st != nil && st.record.Instance == e.Instance {
		st.list.finish(now, e.Failed)
		for _, part := range e.Parts {
			cached := st.cachedParts[part.ID]
			cached.usedAt, cached.listed, cached.tokens = now, true, part.Tokens
			s.putPart(now, st, part.ID, cached)
		}
	}
	return append(s.requestLists(now, s.sorted), s.drainQueue(now)...)
}

// awaitsCacheLists reports whether requests are to stay queued until each engine was asked for its list once.
func (s *service) awaitsCacheLists(now time.Time) bool {
	return now.Before(s.listing.deadline) && slices.ContainsFunc(s.sorted, func(st *endpointState) bool {
		return !st.evacuated && st.list.state != listed && st.list.failures == 0
	})
}
