package pool

import (
	"time"

	"balsamknot.org/fleet/chat"
	"balsamknot.org/fleet/endpoint"
	"balsamknot.org/fleet/site"
)

// List asks the engines of a service what their caches hold; a Listed answers for each.
type List struct {
	Service   site.ServiceName
	Endpoints []endpoint.Record
}

// Listed is what an engine says that its cache holds. Parts is empty when it did not answer.
type Listed struct {
	Service  site.ServiceName
	Instance endpoint.Instance
	Parts    []chat.PartID
}

func (List) command() {}
func (Listed) event() {}

// listWait is how long a keeper that knows nothing lets requests wait for the lists. A prompt that is read again costs more.
const listWait = 60 * time.Millisecond

// listing is what a keeper does when it begins: nobody told it what engines hold, so that it asks them, once.
type listing struct {
	// begun is also set when another keeper told what it knows.
	begun bool
	// open counts the lists that are not there yet, and until is when they are waited for no longer.
	open  int
	until time.Time
}

// list begins with a keeper's first request, unless other keepers told what the engines hold.
func (s *service) list(now time.Time, e Asked) []Command {
	if s.listing.begun || s.engine == nil || e.Alone {
		return nil
	}
	s.listing = listing{begun: true, until: now.Add(listWait)}
	list := List{Service: s.name}
	for _, st := range s.order {
		list.Endpoints = append(list.Endpoints, st.record)
	}
	s.listing.open = len(list.Endpoints)
	return []Command{list}
}

// listed takes in an engine's list, and places who waited once the last one is there.
func (s *service) listed(now time.Time, e Listed) []Command {
	if st := s.seats[e.Instance.ID]; st != nil && st.record.Instance == e.Instance {
		for _, part := range e.Parts {
			st.hold(now, part)
		}
	}
	s.listing.open--
	return s.drain(now)
}

// awaitsLists reports whether requests had better wait a moment.
func (s *service) awaitsLists(now time.Time) bool {
	return s.listing.open > 0 && now.Before(s.listing.until)
}
