package pool

import (
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
	Parts    []chat.PartID
}

func (ListCaches) command() {}
func (CacheListed) event()  {}

// cacheListWait is how long a keeper without cache information queues requests while it waits for the lists. Processing
// a prompt again takes longer than that.
const cacheListWait = 60 * time.Millisecond

// cacheListing is the state of the cache listing that a new keeper does once, if no other keeper sent it the cache contents.
type cacheListing struct {
	// started is also set when another keeper has sent its cache information.
	started bool
	// outstanding is the number of engines that have not been listed yet; after deadline requests no longer wait for them.
	outstanding int
	deadline    time.Time
}

// listCaches starts the cache listing at the keeper's first request, unless another keeper has sent its cache information.
func (s *service) listCaches(now time.Time, e SlotRequested) []Command {
	if s.listing.started || s.engine == nil || e.KeeperUnconfirmed {
		return nil
	}
	s.listing = cacheListing{started: true, deadline: now.Add(cacheListWait)}
	list := ListCaches{Service: s.name}
	for _, st := range s.sorted {
		list.Endpoints = append(list.Endpoints, st.record)
	}
	s.listing.outstanding = len(list.Endpoints)
	return []Command{list}
}

// cacheListed records an engine's cache contents and drains the queue, which waits for the last outstanding list.
func (s *service) cacheListed(now time.Time, e CacheListed) []Command {
	if st := s.endpoints[e.Instance.ID]; st != nil && st.record.Instance == e.Instance {
		for _, part := range e.Parts {
			st.addPart(now, part)
		}
	}
	s.listing.outstanding--
	return s.drainQueue(now)
}

// awaitsCacheLists reports whether requests are to stay queued until the cache lists have arrived.
func (s *service) awaitsCacheLists(now time.Time) bool {
	return s.listing.outstanding > 0 && now.Before(s.listing.deadline)
}
