package pool

import (
	"slices"
	"time"

	"balsamknot.org/fleet/chat"
	"balsamknot.org/fleet/endpoint"
	"balsamknot.org/fleet/site"
)

// ListCaches requests the cache contents of a service's engines. The caller replies with one CacheListed for each endpoint.
type ListCaches struct {
	Service   site.ServiceName
	Endpoints []endpoint.Record
}

// CacheListed reports the cache contents of an engine. Parts is empty when the engine did not respond.
type CacheListed struct {
	Service  site.ServiceName
	Instance endpoint.Instance
	// Parts has the tokens that the engine keeps of each part.
	Parts []chat.Part
}

// PartLookup names a part of a prompt at the length that it has in one request. The last part of a session's prompts has another length in each
// turn.
type PartLookup struct {
	Service site.ServiceName
	Part    chat.PartID
	// MinTokens and MaxTokens bound the tokens that an engine keeps if it ran that request; a MaxTokens of 0 is no bound.
	MinTokens, MaxTokens int
}

// PartQueried asks which versions cache a part of a prompt. The keeper lists the caches, once, if it has not; see Keeper.VersionsCaching.
type PartQueried struct{ Service site.ServiceName }

func (ListCaches) command() {}
func (CacheListed) event()  {}
func (PartQueried) event()  {}

// cacheListWait is how long a keeper without cache information queues requests while it waits for the lists. Processing
// a prompt again takes longer than that.
const cacheListWait = 60 * time.Millisecond

// cacheListing is the state of the cache listing that a new keeper does once, if no other keeper sent it the cache contents.
type cacheListing struct {
	// started is also set when another keeper has sent the cache contents, so that no listing is needed.
	started bool
	// listed is true if this keeper itself has requested lists: what other keepers send has no parts that only one request uses.
	listed bool
	// outstanding is the number of engines that have not been listed yet; after deadline requests no longer wait for them.
	outstanding int
	deadline    time.Time
}

// listCaches starts the cache listing at the service's first request, unless another keeper has sent the cache contents or
// this host may not be the keeper.
func (s *service) listCaches(now time.Time, e SlotRequested) []Command {
	if s.listing.started || s.engine == nil || e.KeeperUnconfirmed {
		return nil
	}
	return s.startListing(now.Add(cacheListWait))
}

// queryPart starts the cache listing unless this keeper has done one. No request waits for it.
func (s *service) queryPart(now time.Time) []Command {
	if s.listing.listed || s.engine == nil {
		return nil
	}
	return s.startListing(now)
}

// startListing requests the lists of all engines. Requests wait for them until deadline.
func (s *service) startListing(deadline time.Time) []Command {
	s.listing = cacheListing{started: true, listed: true, deadline: deadline}
	list := ListCaches{Service: s.name}
	for _, st := range s.sorted {
		list.Endpoints = append(list.Endpoints, st.record)
	}
	s.listing.outstanding = len(list.Endpoints)
	return []Command{list}
}

// cacheListed records an engine's cache contents. If it was the last outstanding list, queued requests get their slots.
func (s *service) cacheListed(now time.Time, e CacheListed) []Command {
	if st := s.endpoints[e.Instance.ID]; st != nil && st.record.Instance == e.Instance {
		for _, part := range e.Parts {
			s.addPart(now, st, part.ID)
			st.listedTokens[part.ID] = part.Tokens
		}
	}
	s.listing.outstanding--
	return s.drainQueue(now)
}

// VersionsCaching returns the software versions whose engines are known to cache a part of a prompt at the given length, in order. known is
// false while the engines' lists are missing.
func (k *Keeper) VersionsCaching(lookup PartLookup) (versions []endpoint.Version, known bool) {
	s := k.service(lookup.Service)
	if !s.listing.listed || s.listing.outstanding > 0 {
		return nil, false
	}
	for _, st := range s.sorted {
		if st.caches(lookup) {
			versions = append(versions, st.record.Version)
		}
	}
	slices.Sort(versions)
	return slices.Compact(versions), true
}

// cacheBlock is the number of tokens that engines keep or evict together, so that they may keep fewer of a part than it has.
const cacheBlock = 16

// caches reports whether the engine caches a part at the length of the lookup. The length of a part that the engine has not listed is not known.
func (st *endpointState) caches(lookup PartLookup) bool {
	if _, cached := st.cachedParts[lookup.Part]; !cached {
		return false
	}
	tokens, listed := st.listedTokens[lookup.Part]
	return !listed || tokens > lookup.MinTokens-cacheBlock && (lookup.MaxTokens == 0 || tokens <= lookup.MaxTokens)
}

// awaitsCacheLists reports whether requests are to stay queued until the cache lists have arrived.
func (s *service) awaitsCacheLists(now time.Time) bool {
	return s.listing.outstanding > 0 && now.Before(s.listing.deadline)
}
